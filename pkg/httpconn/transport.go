package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper over connections of this package.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests by another one, which must not be used otherwise. It
// doesn't negotiate HTTP/2.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
	config := base.TLSClientConfig
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, addr, config)
	}
	return &Transport{base: base}
}

// handshake returns a connection under TLS to the host of an address.
func handshake(ctx context.Context, c net.Conn, addr string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		c.Close()
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	secure := tls.Client(c, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return New(secure), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectResponse}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	CheckTrailers(resp)
	return resp, nil
}

// expectResponse is called before a request is written to a connection.
func expectResponse(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		_ = c.ExpectResponse(nil) // nothing was read ahead, so that nothing can be malformed
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
