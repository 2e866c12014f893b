package httpengine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
)

// TestDialTimeoutMeansNotRun checks that a failure to establish the connection is
// reported as ErrNotRun, because the request can't have reached the endpoint.
func TestDialTimeoutMeansNotRun(t *testing.T) {
	g := NewWithT(t)
	c := httpengine.NewClient(&http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		},
	}})
	_, err := c.Generate(context.Background(), "127.0.0.1:9", engine.Request{})
	g.Expect(err).To(MatchError(engine.ErrNotRun))
}

// TestGenerate_MapsStatusToError checks the error for each response status of an
// endpoint.
func TestGenerate_MapsStatusToError(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		notRun bool
		want   error
	}{
		{"refused before running", http.StatusServiceUnavailable, true, engine.ErrNotRun},
		{"failed", http.StatusInternalServerError, false, engine.ErrBroken},
		{"invalid", http.StatusBadRequest, false, engine.ErrRejected},
		{"stale fencing token", http.StatusConflict, false, engine.ErrFenced},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			addr := serve(t, func(w http.ResponseWriter) {
				if test.notRun {
					w.Header().Set(httpengine.NotRunHeader, "leaving")
				}
				w.WriteHeader(test.status)
			})
			_, err := httpengine.NewClient(http.DefaultClient).Generate(context.Background(), addr, engine.Request{})
			g.Expect(err).To(MatchError(test.want))
		})
	}
}

// TestTruncatedStreamIsBroken checks that a stream that ends before its final token
// returns ErrBroken instead of io.EOF.
func TestTruncatedStreamIsBroken(t *testing.T) {
	g := NewWithT(t)
	addr := serve(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"index":0,"text":"a"}`+"\n") })
	s, err := httpengine.NewClient(http.DefaultClient).Generate(context.Background(), addr, engine.Request{})
	g.Expect(err).NotTo(HaveOccurred())
	token, err := s.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(token.Text).To(Equal("a"))
	_, err = s.Next()
	g.Expect(err).To(MatchError(engine.ErrBroken))
	g.Expect(s.Close()).To(Succeed())
	_, _ = s.Next()
}

// Guards against an endpoint whose answer doesn't end, within a token or an object: the
// client must give up after a bounded number of bytes.
func TestEndlessAnswerIsBroken(t *testing.T) {
	endless := func(begin string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			text := begin
			for {
				if _, err := io.WriteString(w, text); err != nil {
					return
				}
				text = strings.Repeat("x", 32<<10)
			}
		}
	}
	t.Run("token", func(t *testing.T) {
		g := NewWithT(t)
		s, err := httpengine.NewClient(http.DefaultClient).Generate(context.Background(), serve(t, endless(`{"index":0,"text":"`)), engine.Request{})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		g.Expect(err).To(MatchError(engine.ErrBroken))
		g.Expect(s.Close()).To(Succeed())
	})
	t.Run("load", func(t *testing.T) {
		g := NewWithT(t)
		_, err := httpengine.NewClient(http.DefaultClient).Load(context.Background(), serve(t, endless(`{"running":"`)))
		g.Expect(err).To(MatchError(engine.ErrBroken))
	})
}

// Guards against a limit that counts all tokens of a stream together.
func TestLongStreamIsRead(t *testing.T) {
	g := NewWithT(t)
	const tokens = 400
	text := strings.Repeat("x", 8<<10)
	s, err := httpengine.NewClient(http.DefaultClient).Generate(context.Background(), serve(t, func(w http.ResponseWriter) {
		for range tokens {
			_, _ = io.WriteString(w, `{"index":0,"text":"`+text+`"}`+"\n")
		}
	}), engine.Request{})
	g.Expect(err).NotTo(HaveOccurred())
	for range tokens {
		token, err := s.Next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(token.Text).To(Equal(text))
	}
	g.Expect(s.Close()).To(Succeed())
}

func serve(t *testing.T, answer func(w http.ResponseWriter)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
