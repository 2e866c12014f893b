// Package httpcloud implements cloud.Cloud over the HTTP API of the platform's stand-in.
package httpcloud

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/boundedjson"
	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// Timeout is the timeout of every call except Notices.
const Timeout = 2 * time.Second

// NoticeWait is the maximum time that the server may hold a call for notices.
const NoticeWait = 20 * time.Second

// answerLimits bounds a response. A list of 4,500 instances has some 1.1 MB and 45,000 parts.
var answerLimits = boundedjson.Limits{Bytes: 4 << 20, Parts: 200_000}

// Client is a cloud.Cloud over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ cloud.Cloud = (*Client)(nil)

// NewClient returns a client for the cloud API at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// List implements cloud.Cloud.
func (c *Client) List(ctx context.Context) ([]cloud.Instance, error) {
	var out []cloud.Instance
	err := c.call(ctx, Timeout, http.MethodGet, "/instances", nil, &out)
	return out, err
}

// Start implements cloud.Cloud.
func (c *Client) Start(ctx context.Context, r cloud.StartRequest) (cloud.Instance, error) {
	var out cloud.Instance
	err := c.call(ctx, Timeout, http.MethodPost, "/instances", r, &out)
	return out, err
}

// Stop implements cloud.Cloud.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.call(ctx, Timeout, http.MethodDelete, "/instances/"+url.PathEscape(id), nil, nil)
}

// Notices implements cloud.Cloud.
func (c *Client) Notices(ctx context.Context, after uint64) ([]cloud.Notice, error) {
	var out []cloud.Notice
	path := "/notices?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, NoticeWait+Timeout, http.MethodGet, path, nil, &out)
	return out, err
}

// request returns a request with in as its JSON body; nil means without a body.
func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	if in == nil {
		req, err := http.NewRequestWithContext(ctx, method, c.base+path, http.NoBody)
		return req, eris.Wrap(err, "httpcloud: create request")
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "httpcloud: encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "httpcloud: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// call sends one request with in as its JSON body, if in isn't nil, and decodes the
// response into out unless out is nil.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(cloud.ErrUnknown, err.Error())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusInsufficientStorage:
		return cloud.ErrRefused
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return cloud.ErrUnavailable
	default:
		return eris.Wrapf(cloud.ErrUnknown, "status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := boundedjson.Decode(resp.Body, answerLimits, out); err != nil {
		return eris.Wrap(cloud.ErrUnknown, err.Error())
	}
	return nil
}
