// Package startup logs when a process reaches the steps between its start and its first
// successful answer, so that it can be told from the logs what a start waited for.
package startup

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// checkInterval is the time between two checks of the steps.
	checkInterval = 20 * time.Millisecond
	// maxStartupTime is the time after the start from which on steps are no longer awaited.
	maxStartupTime = 10 * time.Second
)

// Step is a condition that a process reaches after its start.
type Step struct {
	Name    string
	Reached func() bool
}

// Options configures a Timeline. All fields are required.
type Options struct {
	Steps []Step
	Log   *slog.Logger
	Now   func() time.Time
}

// Timeline logs the steps of one start. It is safe for concurrent use.
type Timeline struct {
	Options
	startedAt time.Time
	answered  atomic.Bool

	mu sync.Mutex
	// received is the number of requests before the first successful answer, and failures
	// that of the other answers by status.
	received int
	failures map[int]int
}

// New returns a Timeline of a process that starts now.
func New(o Options) *Timeline {
	return &Timeline{Options: o, startedAt: o.Now(), failures: make(map[int]int)}
}

// Run logs the steps when they are reached, and those that aren't reached in maxStartupTime.
// It then waits for the context.
func (t *Timeline) Run(ctx context.Context) error {
	waiting := t.logReached(t.Steps)
	for len(waiting) > 0 && t.Now().Sub(t.startedAt) < maxStartupTime && sleep.For(ctx, checkInterval) {
		waiting = t.logReached(waiting)
	}
	if ctx.Err() == nil {
		for _, s := range waiting {
			t.Log.Info("startup step not reached", "step", s.Name, "after_ms", t.elapsed())
		}
	}
	<-ctx.Done()
	return nil
}

// logReached logs which steps are reached, and returns the others.
func (t *Timeline) logReached(steps []Step) []Step {
	var waiting []Step
	for _, s := range steps {
		if !s.Reached() {
			waiting = append(waiting, s)
			continue
		}
		t.Log.Info("startup step reached", "step", s.Name, "after_ms", t.elapsed())
	}
	return waiting
}

// elapsed returns the time since the start in milliseconds.
func (t *Timeline) elapsed() int64 { return t.Now().Sub(t.startedAt).Milliseconds() }

// Handler passes requests on and logs the first one and the first successful answer.
func (t *Timeline) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.answered.Load() {
			next.ServeHTTP(w, r)
			return
		}
		t.recordRequest()
		next.ServeHTTP(&response{ResponseWriter: w, timeline: t}, r)
	})
}

// recordRequest counts a request, and logs it if it is the first one.
func (t *Timeline) recordRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received++
	if t.received == 1 {
		t.Log.Info("startup step reached", "step", "first request", "after_ms", t.elapsed())
	}
}

// recordStatus counts an answer, and logs it if it is the first successful one.
func (t *Timeline) recordStatus(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.answered.Load() || status < http.StatusOK:
	case status >= http.StatusMultipleChoices:
		t.failures[status]++
	default:
		t.answered.Store(true)
		t.Log.Info("startup step reached", "step", "first answer", "after_ms", t.elapsed(), "requests", t.received, "failures", t.failures)
	}
}

// response passes a response on and records its status.
type response struct {
	http.ResponseWriter
	timeline *Timeline
	started  bool
}

// Unwrap returns the response that this one passes on to, for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.started = r.started || status >= http.StatusOK
	r.timeline.recordStatus(status)
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	if !r.started {
		r.started = true
		r.timeline.recordStatus(http.StatusOK)
	}
	return r.ResponseWriter.Write(b)
}
