package dispatch

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// probeTimeout limits the probe of an endpoint whose stream has stalled.
const probeTimeout = 500 * time.Millisecond

// runAttempt runs one attempt to its end. On return, r.next may hold the target
// of the attempt that continues the answer.
func (r *run) runAttempt(ctx context.Context, t *target) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.attempts++
	id := r.job.ID + "/" + r.d.Self + "/" + strconv.Itoa(r.attempts)
	r.assembler.Start(id)
	r.d.Metrics.countAttempt(t.mode)
	timeouts := r.d.timeouts(t)
	stall := newStallTimer(timeouts.firstToken, cancel)
	defer stall.stop()
	stream, err := r.d.Engine.Generate(ctx, t.decision.Endpoint.Addr, engine.Request{
		ID: id, Model: r.job.Model, Messages: r.job.Messages, MaxTokens: r.job.MaxTokens,
		Priority: r.job.Priority, Seed: r.job.Seed, CacheSalt: r.job.Workspace, Generated: r.log.Texts(), Resume: t.resume,
	})
	if err != nil {
		r.reachedEndpoint = r.reachedEndpoint || !errors.Is(err, engine.ErrNotRun)
		return r.prepareResume(t, id, stall, err)
	}
	defer stream.Close()
	r.reachedEndpoint = true
	r.flight.SetAttempt(flight.Point{Endpoint: t.decision.Endpoint.ID, Attempt: id})
	m := r.watchLeaving(ctx, t, id, stream)
	err = r.readStream(id, stream, stall, timeouts.progress, t.mode)
	if prepared := m.stop(); prepared != nil {
		r.next = prepared
		return err
	}
	return r.prepareResume(t, id, stall, err)
}

// readStream appends the tokens of a stream to the log until the answer is
// complete or the stream ends.
func (r *run) readStream(id string, stream engine.Stream, stall *stallTimer, timeout time.Duration, mode startMode) error {
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.checkComplete()
		}
		if err != nil {
			return err
		}
		stall.reset(timeout)
		ready, err := r.assembler.Accept(id, t)
		if err != nil {
			return err
		}
		r.countTokens(ready, mode)
		if err := r.log.Append(ready); err != nil {
			return err
		}
		if r.assembler.Done() {
			return nil
		}
	}
}

// checkComplete returns engine.ErrBroken if the stream ended before the final token.
func (r *run) checkComplete() error {
	if r.assembler.Done() {
		return nil
	}
	return engine.ErrBroken
}

func (r *run) countTokens(tokens []engine.Token, mode startMode) {
	r.d.Metrics.countTokens(len(tokens))
	for _, t := range tokens {
		if t.Usage != nil {
			r.d.Metrics.countRecomputed(mode, t.Usage.RecomputedTokens)
		}
	}
}

// prepareResume sets r.next to resume an attempt whose stream has stalled, if the
// endpoint answers a probe on a new connection, so that only the old connection
// has failed. A resumed attempt is not resumed again. It always returns err, the
// error with which the attempt ended.
func (r *run) prepareResume(t *target, id string, stall *stallTimer, err error) error {
	if err == nil || !stall.fired() || t.resume != "" {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r.d.Engine.Probe(ctx, t.decision.Endpoint.Addr) != nil {
		return err
	}
	request := t.request
	request.Exclude = append(r.endpointsExcept(t.decision.Endpoint.ID), r.exclude...)
	d, placeErr := r.d.Placer.Place(r.d.Fleet.Snapshot(), request)
	if placeErr != nil {
		return err
	}
	r.next = &target{decision: d, request: request, resume: id, mode: modeResume}
	return err
}

// endpointsExcept returns the ids of the service's other endpoints. Excluding
// them forces placement on the endpoint with the given id.
func (r *run) endpointsExcept(id string) []string {
	var out []string
	for _, e := range r.d.Fleet.Snapshot().Service(r.job.Service) {
		if e.ID != id {
			out = append(out, e.ID)
		}
	}
	return out
}

// timeouts holds the maximum waits for the first and for each further token of an attempt.
type timeouts struct {
	firstToken time.Duration
	progress   time.Duration
}

// timeouts returns the timeouts of an attempt. A resumed attempt gets more time,
// since its endpoint has just answered a probe.
func (d *Dispatcher) timeouts(t *target) timeouts {
	out := timeouts{
		firstToken: orDefault(d.FirstTokenTimeout, DefaultFirstTokenTimeout),
		progress:   orDefault(d.ProgressTimeout, DefaultProgressTimeout),
	}
	if t.mode == modeResume {
		out.firstToken *= resumedTimeoutFactor
		out.progress *= resumedTimeoutFactor
	}
	return out
}

// stallTimer cancels an attempt that receives no token in time.
type stallTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

func newStallTimer(timeout time.Duration, cancel func()) *stallTimer {
	s := &stallTimer{}
	s.timer = time.AfterFunc(timeout, func() {
		s.expired.Store(true)
		cancel()
	})
	return s
}

func (s *stallTimer) reset(d time.Duration) { s.timer.Reset(d) }
func (s *stallTimer) stop()                 { s.timer.Stop() }
func (s *stallTimer) fired() bool           { return s.expired.Load() }
