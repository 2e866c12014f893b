// Package httpstore implements the object store interface over the HTTP wire format of
// the platform's stand-in: Client calls it, Register serves it. Another wire format
// replaces only this package.
package httpstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/boundedjson"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/progress"
)

// DefaultTimeout is the default time limit of every call except a watch until its response
// begins, and of every response that has begun to make progress.
const DefaultTimeout = 2 * time.Second

// WatchTimeout is the maximum time that the server holds a watch call open.
const WatchTimeout = 20 * time.Second

// answerLimits bounds a response. The largest are single objects of 1.4 MB, and lists of leases and members.
var answerLimits = boundedjson.Limits{Bytes: 8 << 20, Parts: 200_000}

// queryNoWait is the parameter of watches that return at once.
const queryNoWait = "nowait"

// maxRestBytes bounds what is read after the value so that the connection can be used again.
const maxRestBytes = 64 << 10

// Client is an objectstore.Store over HTTP.
type Client struct {
	base string
	http *http.Client
	// Timeout is the time limit of every call except a watch until its response begins; zero
	// means DefaultTimeout.
	Timeout time.Duration
}

var _ objectstore.Store = (*Client)(nil)

// NewClient returns a client of the object API at a base URL such as "http://127.0.0.1:7000".
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	var o objectstore.Object
	err := c.call(ctx, http.MethodGet, "/objects?key="+url.QueryEscape(key), nil, "", &o)
	return o, objectstore.ReadError(err)
}

// Create implements objectstore.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	var o objectstore.Object
	err := c.call(ctx, http.MethodPut, "/objects?key="+url.QueryEscape(key), value, "", &o)
	o.Value = value
	return o, err
}

// Update implements objectstore.Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	var o objectstore.Object
	err := c.call(ctx, http.MethodPut, "/objects?key="+url.QueryEscape(key), value, strconv.FormatUint(version, 10), &o)
	o.Value = value
	return o, err
}

// Delete implements objectstore.Store.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	return c.call(ctx, http.MethodDelete, "/objects?key="+url.QueryEscape(key), nil, strconv.FormatUint(version, 10), nil)
}

// List implements objectstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	var out []objectstore.Object
	err := c.call(ctx, http.MethodGet, "/list?prefix="+url.QueryEscape(prefix), nil, "", &out)
	return out, objectstore.ReadError(err)
}

// Watch implements objectstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (objectstore.Changes, error) {
	var out objectstore.Changes
	path := "/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10)
	if !objectstore.MayWait(ctx) {
		err := c.call(ctx, http.MethodGet, path+"&"+queryNoWait+"=1", nil, "", &out)
		return out, objectstore.ReadError(err)
	}
	err := c.do(ctx, WatchTimeout+DefaultTimeout, http.MethodGet, path, nil, "", &out)
	return out, objectstore.ReadError(err)
}

// call makes a request whose response must begin within Timeout.
func (c *Client) call(ctx context.Context, method, path string, body []byte, ifMatch string, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return c.do(ctx, timeout, method, path, body, ifMatch, out)
}

// do makes a request and decodes the response body into out unless that is nil. The
// response must begin within timeout; how long the rest may take depends on its size.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, body []byte, ifMatch string, out any) error {
	ctx, guard := progress.Start(ctx, timeout)
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, guard.Reader(bytes.NewReader(body)))
	if err != nil {
		return eris.Wrap(err, "httpstore: create request")
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return objectstore.TransportError(ctx, err)
	}
	defer resp.Body.Close()
	guard.Next(DefaultTimeout)
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	answer := guard.Reader(resp.Body)
	if err := boundedjson.Decode(answer, answerLimits, out); err != nil {
		return eris.Wrap(objectstore.ErrUnknown, err.Error())
	}
	_, _ = io.CopyN(io.Discard, answer, maxRestBytes)
	return nil
}

// statusError returns the error for an HTTP status code, or nil for success.
func statusError(code int) error {
	switch code {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return objectstore.ErrNotFound
	case http.StatusConflict:
		return objectstore.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return objectstore.ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return objectstore.ErrUnavailable
	}
	return eris.Wrapf(objectstore.ErrUnknown, "status %d", code)
}
