// Package httpstore implements the object store interface over the HTTP wire format of
// the platform's stand-in: Client calls it, Register serves it. Another wire format
// replaces only this package.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// DefaultTimeout is the default time limit of every call except a watch.
const DefaultTimeout = 2 * time.Second

// WatchTimeout is the maximum time that the server holds a watch call open.
const WatchTimeout = 20 * time.Second

// Client is an objectstore.Store over HTTP.
type Client struct {
	base string
	http *http.Client
	// Timeout is the time limit of every call except a watch; zero means DefaultTimeout.
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
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+DefaultTimeout)
	defer cancel()
	err := c.do(ctx, http.MethodGet, path, nil, "", &out)
	return out, objectstore.ReadError(err)
}

// call makes a request within Timeout.
func (c *Client) call(ctx context.Context, method, path string, body []byte, ifMatch string, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.do(ctx, method, path, body, ifMatch, out)
}

// do makes a request and decodes the response body into out unless that is nil.
func (c *Client) do(ctx context.Context, method, path string, body []byte, ifMatch string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "httpstore: create request")
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return objectstore.TransportError(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return eris.Wrap(objectstore.ErrUnknown, err.Error())
	}
	_, _ = io.Copy(io.Discard, resp.Body)
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
