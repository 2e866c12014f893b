package client

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
)

// servers is an http.RoundTripper that maps hosts to response bodies; requests to
// other hosts get no response.
type servers map[string]string

// RoundTrip implements http.RoundTripper.
func (s servers) RoundTrip(r *http.Request) (*http.Response, error) {
	body, ok := s[r.URL.Host]
	if !ok {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func newTestClient(s servers, urls ...string) *Client {
	return New(urls, "key", &http.Client{Transport: s})
}

// TestClient_SkipsUnresponsiveServer lists a server that never responds before one that does.
func TestClient_SkipsUnresponsiveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newTestClient(servers{"good": `{"state": "accepted", "revision": 2}`}, "http://silent", "http://good/")
		begin := time.Now()
		out, err := c.SwitchPreset(context.Background(), "peak", 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.State).To(Equal(api.Accepted))
		g.Expect(time.Since(begin)).To(Equal(changeTimeout))
		_, err = c.Status(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(begin)).To(Equal(changeTimeout + readTimeout))
	})
}

// TestClient_ReturnsErrNoAnswerWithoutResponse checks that a change without a
// response is reported as ErrNoAnswer, since it may have taken effect.
func TestClient_ReturnsErrNoAnswerWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := newTestClient(nil, "http://silent").SwitchPreset(ctx, "peak", 1)
		g.Expect(err).To(MatchError(ErrNoAnswer))
		_, err = newTestClient(nil).Status(ctx)
		g.Expect(err).To(MatchError("no server address configured"))
	})
}
