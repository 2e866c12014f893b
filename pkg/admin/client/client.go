// Package client is a client of the operators' HTTP API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// maxResponseBytes is the largest response body that is read.
const maxResponseBytes = 16 << 20

// changeAttempts is the maximum number of times that a change is sent, with the same
// write id, before its outcome is reported as unknown.
const changeAttempts = 4

// retryDelay is the pause between attempts at a change.
const retryDelay = 300 * time.Millisecond

// Timeouts of one call to one server; after them the next server is tried.
const (
	// readTimeout bounds calls that change nothing.
	readTimeout = 5 * time.Second
	// changeTimeout bounds changes, whose steps may take 15 s together.
	changeTimeout = 17 * time.Second
)

// ErrNoAnswer means that no server responded. A change may have taken effect.
var ErrNoAnswer = eris.New("no server answered")

// Client calls the servers of a list in turn until one responds.
type Client struct {
	servers []string
	key     string
	http    *http.Client
}

// New returns a client of admin processes at base URLs such as "https://10.0.0.1:8443".
func New(servers []string, key string, httpClient *http.Client) *Client {
	trimmed := make([]string, len(servers))
	for i, s := range servers {
		trimmed[i] = strings.TrimRight(s, "/")
	}
	return &Client{servers: trimmed, key: key, http: httpClient}
}

// request is one API call.
type request struct {
	method, path string
	body         []byte
	header       http.Header
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (out api.Config, err error) {
	return out, c.get(ctx, api.PathConfig, &out)
}

// Presets returns the presets.
func (c *Client) Presets(ctx context.Context) (out api.Presets, err error) {
	return out, c.get(ctx, api.PathPresets, &out)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (out api.Status, err error) {
	return out, c.get(ctx, api.PathStatus, &out)
}

// Audit returns the newest records of the audit trail.
func (c *Client) Audit(ctx context.Context, limit int) (out api.Audit, err error) {
	return out, c.get(ctx, api.PathAudit+"?limit="+strconv.Itoa(limit), &out)
}

// Check validates a configuration without applying it. file is its name in error messages.
func (c *Client) Check(ctx context.Context, file string, data []byte) (out api.Check, err error) {
	return out, c.post(ctx, api.PathCheck, file, data, &out)
}

// Diff returns what applying a configuration would change.
func (c *Client) Diff(ctx context.Context, file string, data []byte) (out api.Diff, err error) {
	return out, c.post(ctx, api.PathDiff, file, data, &out)
}

// Apply replaces the configuration if the expected revision is in force.
func (c *Client) Apply(ctx context.Context, file string, data []byte, expected uint64) (api.Change, error) {
	h := http.Header{}
	h.Set(api.HeaderFile, url.QueryEscape(file))
	return c.change(ctx, request{method: http.MethodPut, path: api.PathConfig, body: data, header: h}, expected)
}

// SwitchPreset switches the preset if the expected revision is in force.
func (c *Client) SwitchPreset(ctx context.Context, preset string, expected uint64) (api.Change, error) {
	data, err := json.Marshal(api.SwitchPreset{Preset: preset})
	if err != nil {
		return api.Change{}, eris.Wrap(err, "encode request")
	}
	return c.change(ctx, request{method: http.MethodPut, path: api.PathPreset, body: data, header: http.Header{}}, expected)
}

// change sends a change. If its outcome is unknown, it is retried with the same
// write id, which makes the retry idempotent.
func (c *Client) change(ctx context.Context, r request, expected uint64) (out api.Change, err error) {
	r.header.Set(api.HeaderIfMatch, strconv.Quote(strconv.FormatUint(expected, 10)))
	r.header.Set(api.HeaderWriteID, uuid.NewString())
	uncertain := false
	for attempt := range changeAttempts {
		if attempt > 0 {
			sleep.For(ctx, retryDelay)
		}
		out = api.Change{}
		err = c.do(ctx, r, &out)
		if !outcomeUnknown(err) {
			break
		}
		uncertain = true
	}
	if uncertain && storeRefused(err) {
		// A refused retry doesn't show whether an earlier attempt took effect.
		return out, eris.Wrap(ErrNoAnswer, err.Error())
	}
	return out, err
}

// outcomeUnknown reports whether a change may have taken effect despite the error.
func outcomeUnknown(err error) bool {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == api.CodeOutcomeUnknown || apiErr.Code == api.CodeInternal
	}
	return errors.Is(err, ErrNoAnswer)
}

// storeRefused reports whether the attempt had no effect because the object store or
// the audit trail was unavailable. An earlier attempt may still have taken effect.
func storeRefused(err error) bool {
	var apiErr *api.Error
	return errors.As(err, &apiErr) && (apiErr.Code == api.CodeStoreUnavailable || apiErr.Code == api.CodeAuditUnavailable)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, header: http.Header{}}, out)
}

func (c *Client) post(ctx context.Context, path, file string, data []byte, out any) error {
	h := http.Header{}
	h.Set(api.HeaderFile, url.QueryEscape(file))
	return c.do(ctx, request{method: http.MethodPost, path: path, body: data, header: h}, out)
}

// do sends a request to the servers in turn until one responds.
func (c *Client) do(ctx context.Context, r request, out any) error {
	if len(c.servers) == 0 {
		return eris.New("no server address configured")
	}
	var err error
	for _, server := range c.servers {
		err = c.send(ctx, server, r, out)
		if !errors.Is(err, ErrNoAnswer) {
			return err
		}
	}
	return err
}

// send sends a request to one server. It returns ErrNoAnswer if there is no valid response.
func (c *Client) send(ctx context.Context, server string, r request, out any) error {
	limit := readTimeout
	if r.method == http.MethodPut {
		limit = changeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	req.Header = r.header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	return decode(resp, out)
}

func decode(resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, out); err != nil {
			return eris.Wrap(ErrNoAnswer, "decode response: "+err.Error())
		}
		return nil
	}
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
		return &api.Error{Code: api.CodeInternal, Message: "status " + resp.Status}
	}
	return body.Error
}
