package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
)

// NotRunHeader is a response header by which an endpoint states that it refused
// the request without running any of it.
const NotRunHeader = "Endpoint-Not-Run"

// Limits of connections to endpoints.
const (
	// dialTimeout bounds connection establishment.
	dialTimeout = 500 * time.Millisecond
	// idleConnsPerEndpoint is the largest number of idle pooled connections per endpoint.
	idleConnsPerEndpoint = 64
	// idleTimeout is the time after which an idle pooled connection is closed.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of an endpoint's response.
	maxHeaderBytes = 32 << 10
)

// NewTransports returns the transports for idempotent and non-idempotent calls.
// The latter never reuses connections: net/http resends a request if a reused
// connection turns out to be closed, although the endpoint may have received the
// request.
func NewTransports() (pooled, single *httpconn.Transport) {
	pooled = httpconn.NewTransport(&http.Transport{
		DialContext: resetconn.DialContext(dialTimeout), MaxIdleConnsPerHost: idleConnsPerEndpoint, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})
	single = httpconn.NewTransport(&http.Transport{
		DialContext: resetconn.DialContext(dialTimeout), DisableKeepAlives: true,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})
	return pooled, single
}

// send makes one attempt. It returns ErrNotRun only if no byte was sent to the
// endpoint or the endpoint states that it did not run the request. It uses the
// transport without an http.Client so that redirects are not followed.
func send(ctx context.Context, transport http.RoundTripper, addr string, call *Call) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, eris.Wrap(ErrNotRun, ctx.Err().Error())
	}
	request, err := call.request(ctx, addr)
	if err != nil {
		return nil, eris.Wrap(ErrNotRun, err.Error())
	}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return nil, transportError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(NotRunHeader) != "" {
		return nil, eris.Wrap(ErrNotRun, "endpoint refused the request")
	}
	return readAnswer(resp)
}

// request returns the HTTP request of the call to an endpoint. It has neither
// GetBody nor an idempotency key, since net/http may resend a request that has
// either.
func (c *Call) request(ctx context.Context, addr string) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: addr, Path: c.Path, RawPath: c.EscapedPath, RawQuery: c.Query}
	request, err := http.NewRequestWithContext(ctx, c.Method, target.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	setHeader(request.Header, "Content-Type", c.ContentType)
	setHeader(request.Header, "Accept", c.Accept)
	setHeader(request.Header, apierror.HeaderRequestID, c.RequestID)
	return request, nil
}

// setHeader sets a header unless the value is empty.
func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// transportError returns ErrNotRun if the connection was not established, and
// ErrUnknown if the endpoint may have received the request.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotRun, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// readAnswer reads a response body of at most MaxAnswerBytes.
func readAnswer(resp *http.Response) (*Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, eris.Wrap(ErrUnknown, err.Error())
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrTooLarge
	}
	return &Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
