package startup_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/startup"
)

// logBuffer is a buffer for log lines that is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newTimeline(steps ...startup.Step) (*startup.Timeline, *logBuffer) {
	out := &logBuffer{}
	return startup.New(startup.Options{Steps: steps, Log: slog.New(slog.NewTextHandler(out, nil)), Now: time.Now}), out
}

func TestTimeline_LogsEachStepOnceAndWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var known atomic.Bool
		timeline, out := newTimeline(startup.Step{Name: "configuration", Reached: known.Load}, startup.Step{Name: "peers", Reached: func() bool { return false }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- timeline.Run(ctx) }()
		time.Sleep(110 * time.Millisecond)
		g.Expect(out.String()).To(BeEmpty())
		known.Store(true)
		time.Sleep(time.Minute)
		g.Expect(out.String()).To(MatchRegexp(`(?s)^[^\n]*step reached" step=configuration after_ms=120\n[^\n]*step not reached" step=peers after_ms=10000\n$`))
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

func TestTimeline_LogsFirstRequestAndFirstSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		timeline, out := newTimeline()
		status := http.StatusServiceUnavailable
		h := timeline.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status != http.StatusOK {
				w.WriteHeader(status)
			}
			g.Expect(http.NewResponseController(w).Flush()).To(Succeed())
			_, err := w.Write([]byte("body"))
			g.Expect(err).NotTo(HaveOccurred())
		}))
		request := func() *httptest.ResponseRecorder {
			time.Sleep(50 * time.Millisecond)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			return w
		}
		for range 3 {
			request()
		}
		status = http.StatusOK
		for range 3 {
			g.Expect(request().Body.String()).To(Equal("body"))
		}
		g.Expect(out.String()).To(MatchRegexp(`(?s)^[^\n]*step="first request" after_ms=50\n[^\n]*step="first answer" after_ms=200 requests=4 failures=map\[503:3\]\n$`))
	})
}
