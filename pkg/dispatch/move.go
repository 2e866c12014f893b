package dispatch

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/migrate"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Limits of moving a stream off a leaving endpoint.
const (
	// maxExportTime limits the transfer of a KV cache.
	maxExportTime = 2 * time.Second
	// maxTokenInterval is the longest agreed time between tokens.
	maxTokenInterval = 51 * time.Millisecond
	// kvBytesPerToken is the size of the KV cache of one token.
	kvBytesPerToken = 160 << 10
	// kvBandwidth is the transfer rate of KV cache between endpoints, in bytes per second.
	kvBandwidth = 8 << 30
)

// mover prepares the move of a running stream when its endpoint starts to leave.
type mover struct {
	cancel       context.CancelFunc
	stopCallback func() bool
	prepared     chan *target
}

// watchLeaving returns a mover that prepares a move, in a goroutine of its own,
// once the endpoint is known to be leaving. The stream continues while the
// KV cache is transferred.
func (r *run) watchLeaving(ctx context.Context, t *target, id string, stream engine.Stream) *mover {
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{cancel: cancel, prepared: make(chan *target, 1)}
	m.stopCallback = t.decision.Endpoint.OnLeaving(func() {
		next := r.prepareMove(ctx, t, id)
		if next != nil {
			_ = stream.Close()
		}
		m.prepared <- next
	})
	return m
}

// stop stops the mover and returns the prepared target, or nil if there is none.
func (m *mover) stop() *target {
	m.cancel()
	if m.stopCallback() {
		return nil
	}
	return <-m.prepared
}

// prepareMove waits for the time to move, chooses another endpoint and
// transfers the KV cache to it if that is the best plan. It returns nil if the
// answer ends first or no other endpoint can take it; the attempt then continues.
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
	if !ok || plan.Strategy != migrate.Transfer {
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

// awaitMoveTime waits until only the reserve of the notice period is left, since
// most answers end before then. It returns false if the attempt ends first.
func (r *run) awaitMoveTime(ctx context.Context, t *target) bool {
	grace := r.graceLeft(t)
	reserve := kvmove.Reserve(grace)
	if grace <= reserve {
		return ctx.Err() == nil
	}
	return sleep.For(ctx, grace-reserve)
}

// moveStream describes the running answer for migrate.Choose.
func (r *run) moveStream(grace time.Duration) migrate.Stream {
	prompt, done := estimateTokens(r.job.Messages), r.log.Len()
	return migrate.Stream{
		PromptTokens: prompt, DecodedTokens: done, RemainingTokens: r.job.MaxTokens - done, TokenInterval: maxTokenInterval,
		Grace: grace, KVBytes: int64(prompt+done) * kvBytesPerToken, Deadline: r.job.Deadline.Sub(r.d.Now()),
	}
}

// moveTarget describes the endpoint of a placement for migrate.Choose.
func (r *run) moveTarget(d place.Decision) migrate.Target {
	return migrate.Target{
		Endpoint: d.Endpoint, CachedTokens: d.CachedTokens, KVBandwidth: kvBandwidth,
		PrefillPerToken: place.DefaultSpeeds.PrefillPerToken, TokenInterval: place.DefaultSpeeds.TokenInterval, Price: 1,
	}
}

// graceLeft returns how long the leaving endpoint will still run; 0 if it is unknown.
func (r *run) graceLeft(t *target) time.Duration {
	e, ok := r.d.Fleet.Snapshot().ByID(t.decision.Endpoint.ID)
	if !ok || e.StopAt.IsZero() {
		return 0
	}
	return e.StopAt.Sub(r.d.Now())
}
