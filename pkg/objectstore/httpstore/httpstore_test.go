package httpstore_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v5"
	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

func newTestClient(t *testing.T) (*memstore.Store, *httpstore.Client) {
	store := memstore.New()
	e := echo.New()
	httpstore.Register(e, store)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return store, httpstore.NewClient(server.URL, http.DefaultClient)
}

// TestClient_MapsStoreErrors checks that the results and errors of a store arrive
// unchanged over HTTP.
func TestClient_MapsStoreErrors(t *testing.T) {
	g := NewWithT(t)
	store, c := newTestClient(t)
	ctx := context.Background()
	_, err := c.Get(ctx, "a/b c")
	g.Expect(err).To(MatchError(objectstore.ErrNotFound))
	o, err := c.Create(ctx, "a/b c", []byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Create(ctx, "a/b c", []byte("two"))
	g.Expect(err).To(MatchError(objectstore.ErrConflict))
	next, err := c.Update(ctx, "a/b c", []byte("two"), o.Version)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Update(ctx, "a/b c", []byte("three"), o.Version)
	g.Expect(err).To(MatchError(objectstore.ErrConflict))
	_, err = c.Create(ctx, "large", make([]byte, objectstore.MaxValueBytes+1))
	g.Expect(err).To(MatchError(objectstore.ErrTooLarge))
	got, err := c.Get(ctx, "a/b c")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got.Value)).To(Equal("two"))
	list, err := c.List(ctx, "a/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	changes, err := c.Watch(ctx, "a/", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes.Objects).To(HaveLen(1))
	g.Expect(c.Delete(ctx, "a/b c", o.Version)).To(MatchError(objectstore.ErrConflict))
	g.Expect(c.Delete(ctx, "a/b c", next.Version)).To(Succeed())
	store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultLostAnswer })
	_, err = c.Create(ctx, "lost", nil)
	g.Expect(err).To(MatchError(objectstore.ErrUnknown))
	store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
	_, err = c.Create(ctx, "refused", nil)
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
	_, err = c.Get(ctx, "refused")
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
}

// TestClient_DialErrorIsUnavailable checks that a write fails with ErrUnavailable, not
// ErrUnknown, if no connection could be set up.
func TestClient_DialErrorIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	c := httpstore.NewClient("http://127.0.0.1:9", &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		},
	}})
	_, err := c.Create(context.Background(), "k", nil)
	g.Expect(err).To(MatchError(objectstore.ErrUnavailable))
}

// roundTripFunc is an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// slowBody is a response body of which a part comes after each pause, until the context ends.
type slowBody struct {
	ctx  context.Context
	text io.Reader
}

const (
	slowBodyPause = 500 * time.Millisecond
	slowBodyPart  = 64 << 10
)

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(slowBodyPause)
	if b.ctx.Err() != nil {
		return 0, context.Cause(b.ctx)
	}
	return b.text.Read(p[:min(len(p), slowBodyPart)])
}

// Guards against lists that can't be read at all since they take longer than one call may.
func TestClient_ReadsListThatTakesLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		value := strings.Repeat("x", objectstore.MaxValueBytes)
		text, err := json.Marshal([]objectstore.Object{{Key: "a/1", Version: 1, Value: []byte(value)}})
		g.Expect(err).NotTo(HaveOccurred())
		c := httpstore.NewClient("http://store", &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bufio.NewReaderSize(slowBody{ctx: r.Context(), text: bytes.NewReader(text)}, slowBodyPart))}, nil
		})})
		list, err := c.List(t.Context(), "a/")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(1))
	})
}
