package httpstore_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

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
