// Package httpengine implements engine.Engine for the wire format of the stand-in
// engines: JSON over HTTP, with a token stream as a sequence of JSON values.
package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/httpconn"
)

// Timeout is the time limit of every call except token streams.
const Timeout = 2 * time.Second

const (
	// maxTokenBytes bounds what is read for one token of a stream, and maxObjectBytes the
	// answer to any other call.
	maxTokenBytes  = 1 << 20
	maxObjectBytes = 16 << 20
)

// NotRunHeader is the response header that an endpoint sets if it refuses a
// request before running any of it.
const NotRunHeader = "Endpoint-Not-Run"

// ExportRequest is the body of a KV cache export request.
type ExportRequest struct {
	Attempt string `json:"attempt"`
	To      string `json:"to"`
}

// Client implements engine.Engine over HTTP.
type Client struct {
	http *http.Client
}

var _ engine.Engine = (*Client)(nil)

// NewClient returns a client that uses the given connection pool.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Generate implements engine.Engine.
func (c *Client) Generate(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, addr, "/generate", r)
	if err != nil {
		cancel()
		return nil, transportError(err)
	}
	if err := statusError(resp); err != nil {
		resp.Body.Close()
		cancel()
		return nil, err
	}
	limited := &io.LimitedReader{R: resp.Body}
	return &stream{body: resp.Body, limited: limited, dec: json.NewDecoder(limited), cancel: cancel}, nil
}

// Probe implements engine.Engine.
func (c *Client) Probe(ctx context.Context, addr string) error {
	transport := httpconn.NewTransport(&http.Transport{DisableKeepAlives: true})
	fresh := &Client{http: &http.Client{Transport: transport}}
	_, err := fresh.Load(ctx, addr)
	return err
}

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var out engine.Load
	err := c.get(ctx, addr, "/load", &out)
	return out, err
}

// CacheEvents implements engine.Engine.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	err := c.get(ctx, addr, "/cache-events?after="+strconv.FormatUint(after, 10), &out)
	return out, err
}

// ExportKV implements engine.Engine.
func (c *Client) ExportKV(ctx context.Context, from, to, attempt string) error {
	return c.postCommand(ctx, from, "/kv/export", ExportRequest{Attempt: attempt, To: to})
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	return c.postCommand(ctx, addr, "/orders", o)
}

func (c *Client) postCommand(ctx context.Context, addr, path string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	resp, err := c.post(ctx, addr, path, body)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	return statusError(resp)
}

func (c *Client) post(ctx context.Context, addr, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "httpengine: encode request body")
	}
	u := url.URL{Scheme: "http", Host: addr, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "httpengine: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't retry the POST, which must not be sent twice.
	req.GetBody = nil
	return c.http.Do(req)
}

func (c *Client) get(ctx context.Context, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return eris.Wrap(err, "httpengine: create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxObjectBytes)).Decode(out); err != nil {
		return eris.Wrap(engine.ErrBroken, err.Error())
	}
	return nil
}

// transportError returns ErrNotRun if the connection could not be established, so
// that the request can't have reached the endpoint, and ErrBroken otherwise.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(engine.ErrNotRun, err.Error())
	}
	return eris.Wrap(engine.ErrBroken, err.Error())
}

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get(NotRunHeader) != "":
		return eris.Wrapf(engine.ErrNotRun, "status %d", resp.StatusCode)
	case resp.StatusCode == http.StatusConflict:
		return engine.ErrFenced
	case resp.StatusCode == http.StatusBadRequest:
		return engine.ErrRejected
	}
	return eris.Wrapf(engine.ErrBroken, "status %d", resp.StatusCode)
}

// stream reads tokens from a response body.
type stream struct {
	body io.ReadCloser
	// limited limits what is read of the body for one token.
	limited  *io.LimitedReader
	dec      *json.Decoder
	cancel   context.CancelFunc
	once     sync.Once
	finished bool
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Token, error) {
	if s.finished {
		return engine.Token{}, io.EOF
	}
	var t engine.Token
	s.limited.N = maxTokenBytes
	if err := s.dec.Decode(&t); err != nil {
		return engine.Token{}, eris.Wrap(engine.ErrBroken, err.Error())
	}
	s.finished = t.Finish != engine.FinishNone
	return t, nil
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	var err error
	s.once.Do(func() {
		s.cancel()
		err = s.body.Close()
	})
	return err
}
