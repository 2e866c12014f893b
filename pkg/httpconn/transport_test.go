package httpconn_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
)

// get returns the body of the response to a request.
func get(transport http.RoundTripper, url string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against malformed responses that are taken for sound ones on a new connection or on one that was used before, and
// against a request that net/http sends again by itself, since the connection that it uses again failed.
func TestTransport_ReturnsNoMalformedResponse(t *testing.T) {
	all := httpconntest.Malformed("the body")
	all["blank in a trailer"] = httpconntest.MalformedTrailer("the body")
	for name, answer := range all {
		for _, answers := range [][]string{{answer}, {httpconntest.Sound("first"), answer}} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				s := httpconntest.Serve(t, answers...)
				transport := httpconn.NewTransport(&http.Transport{})
				defer transport.CloseIdleConnections()
				for range len(answers) - 1 {
					body, err := get(transport, "http://"+s.HostPort())
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(body).To(Equal("first"))
				}
				body, err := get(transport, "http://"+s.HostPort())
				g.Expect(err).To(HaveOccurred(), body)
				g.Expect(s.Requests()).To(Equal(len(answers)))
			})
		}
	}
}

// Guards against sound responses that are rejected, and connections that aren't used again.
func TestTransport_ReusesConnectionsAfterSoundResponses(t *testing.T) {
	g := NewWithT(t)
	large := strings.Repeat("body\r\n\r\n", 100_000)
	answers := []string{
		httpconntest.Sound("one"), "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + httpconntest.Sound("two"), httpconntest.Sound(large),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nfive",
	}
	s := httpconntest.Serve(t, answers...)
	conns := 0
	transport := httpconn.NewTransport(&http.Transport{DialContext: countDials(&conns)})
	defer transport.CloseIdleConnections()
	for _, want := range []string{"one", "two", large, "four", "five"} {
		body, err := get(transport, "http://"+s.HostPort())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body == want).To(BeTrue(), "%.20q", body)
	}
	g.Expect(conns).To(Equal(1))
}

// Guards against malformed responses under TLS.
func TestTransport_ReturnsNoMalformedResponseUnderTLS(t *testing.T) {
	g := NewWithT(t)
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	config := certified.Client().Transport.(*http.Transport).TLSClientConfig
	for answer, sound := range map[string]bool{httpconntest.Sound("body"): true, httpconntest.Malformed("body")["blank in a name"]: false} {
		l, err := tls.Listen("tcp", "127.0.0.1:0", certified.TLS)
		g.Expect(err).NotTo(HaveOccurred())
		s := httpconntest.ServeOn(t, l, answer)
		transport := httpconn.NewTransport(&http.Transport{TLSClientConfig: config})
		defer transport.CloseIdleConnections()
		body, err := get(transport, "https://"+s.HostPort())
		if !sound {
			g.Expect(err).To(MatchError(httpconn.ErrMalformed))
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body"))
	}
	_, err := get(httpconn.NewTransport(&http.Transport{}), certified.URL)
	g.Expect(err).To(HaveOccurred(), "the authority isn't known")
}

// countDials returns a function that opens connections and counts them.
func countDials(count *int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		*count++
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
}
