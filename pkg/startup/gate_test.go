package startup_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/startup"
)

// gateWorld is a process behind a gate. It refuses requests while it knows nothing.
type gateWorld struct {
	known   atomic.Bool
	arrived atomic.Pointer[time.Time]
	handler http.Handler
}

func newGateWorld() *gateWorld {
	w := &gateWorld{}
	gate := &startup.Gate{Known: w.known.Load, Now: time.Now, StartedAt: time.Now(), WithArrival: func(ctx context.Context, at time.Time) context.Context {
		w.arrived.Store(&at)
		return ctx
	}}
	w.handler = gate.Handler(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if !w.known.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return w
}

// request sends a request and returns its status and how long it took.
func (w *gateWorld) request(ctx context.Context) (int, time.Duration) {
	sent := time.Now()
	out := httptest.NewRecorder()
	w.handler.ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
	return out.Code, time.Since(sent)
}

// Guards against callers that are refused by all instances while these read what they need after
// a loss of all of them.
func TestGate_HoldsRequestsUntilProcessKnowsWhatItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		time.AfterFunc(302*time.Millisecond, func() { w.known.Store(true) })
		time.Sleep(100 * time.Millisecond)
		arrived := time.Now()
		status, took := w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(took).To(Equal(205 * time.Millisecond))
		g.Expect(*w.arrived.Load()).To(Equal(arrived))
		status, took = w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(took).To(BeZero())
	})
}

// A process that reaches no store must refuse requests soon, and hold none later on.
func TestGate_HoldsNoRequestsForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		status, took := w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(Equal(600 * time.Millisecond))
		status, took = w.request(t.Context())
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(took).To(BeZero())
	})
}

// A request whose caller has left while it was held must not be sent to an endpoint.
func TestGate_DropsRequestsOfCallersThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newGateWorld()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, took := w.request(ctx)
		g.Expect(took).To(Equal(50 * time.Millisecond))
		g.Expect(w.arrived.Load()).To(BeNil(), "the request isn't passed on")
	})
}
