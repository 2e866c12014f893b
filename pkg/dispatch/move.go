package dispatch

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/migrate"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Limits of moving a stream off a leaving endpoint.
const (
	// maxExport bounds the transfer of a KV cache.
	maxExportTime = 2 * time.Second
	// reserveShare, minReserve and maxReserve bound the last part of a notice,
	// in which a stream is moved.
	reserveShare = 0.33
	minReserve   = time.Second
	maxReserve   = 5 * time.Second
	// tokenTime is the longest agreed time between tokens.
	maxTokenInterval = 51 * time.Millisecond
	// kvBytesPerToken is the size of the KV cache of one token.
	kvBytesPerToken = 160 << 10
	// kvBandwidth is the transfer rate of KV cache between endpoints, in bytes per second.
	kvBandwidth = 8 << 30
)

// mover prepares the move of a running stream once its endpoint is leaving.
type mover struct {
	cancel       context.CancelFunc
	stopCallback func() bool
	prepared     chan *target
}

// watchLeaving prepares a move at the endpoint's notice, beside the reading of
// the stream. The stream goes on while the KV cache is transferred.
func (r *run) watchLeaving(ctx context.Context, t *target, id string, stream engine.Stream) *mover {
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{cancel: cancel, prepared: make(chan *target, 1)}
	m.stopCallback = t.decision.Endpoint.AfterLeft(func() {
		next := r.prepareMove(ctx, t, id)
		if next != nil {
			_ = stream.Close()
		}
		m.prepared <- next
	})
	return m
}

// stop ends the wait and returns the prepared target, if any.
func (m *mover) stop() *target {
	m.cancel()
	if m.stopCallback() {
		return nil
	}
	return <-m.prepared
}

// prepareMove waits for the time to move, chooses another endpoint and
// transfers the KV cache to it where that is best. It returns nil if the answer
// ends first, or if nothing else can take it: the attempt then runs on.
func (r *run) prepareMove(ctx context.Context, t *target, id string) *target {
	if !r.awaitMoveTime(ctx, t) {
		return nil
	}
	request, err := r.placeRequest()
	if err != nil {
		return nil
	}
	request.Exclude = append([]string{t.decision.Endpoint.ID}, request.Exclude...)
	d, err := r.tryPlace(request)
	if err != nil {
		return nil
	}
	next := &target{decision: d, request: request, mode: modeRecompute}
	grace := r.graceLeft(t)
	plan, ok := migrate.Choose(r.moveStream(grace), []migrate.Target{r.moveTarget(d)}, request.Preset)
	if !ok || plan.Way != migrate.Transfer {
		return next
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxExportTime, grace))
	defer cancel()
	err = r.d.Engine.ExportKV(ctx, t.decision.Endpoint.Addr, d.Endpoint.Addr, id)
	if err == nil {
		next.resume, next.mode = id, modeImport
	}
	return next
}

// awaitMove waits until only the reserve of the notice is left, since most
// answers end before. It returns false if the attempt ends first.
func (r *run) awaitMoveTime(ctx context.Context, t *target) bool {
	grace := r.graceLeft(t)
	reserve := min(max(time.Duration(float64(grace)*reserveShare), minReserve), maxReserve)
	if grace <= reserve {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, grace-reserve)
}

// stream describes the running answer for the choice of a move.
func (r *run) moveStream(grace time.Duration) migrate.Stream {
	prompt, done := estimateTokens(r.job.Messages), r.log.Len()
	return migrate.Stream{
		PromptTokens: prompt, Done: done, Left: r.job.MaxTokens - done, TokenInterval: maxTokenInterval,
		Grace: grace, KVBytes: int64(prompt+done) * kvBytesPerToken, Deadline: r.job.Deadline.Sub(r.d.Now()),
	}
}

// moveTarget describes a placed endpoint for the choice of a move.
func (r *run) moveTarget(d place.Decision) migrate.Target {
	return migrate.Target{
		Endpoint: d.Endpoint, CachedTokens: d.CachedTokens, KVBandwidth: kvBandwidth,
		PrefillPerToken: place.DefaultSpeeds.PrefillPerToken, TokenInterval: place.DefaultSpeeds.TokenInterval, Price: 1,
	}
}

// graceLeft returns how long the leaving endpoint will run on.
func (r *run) graceLeft(t *target) time.Duration {
	e, ok := r.d.Fleet.Snapshot().ByID(t.decision.Endpoint.ID)
	if !ok || e.StopAt.IsZero() {
		return 0
	}
	return e.StopAt.Sub(r.d.Now())
}
