package modelserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// KVImport is the body of POST /kv/import: a description of an attempt's KV cache.
type KVImport struct {
	Attempt   string `json:"attempt"`
	Spans     []span `json:"spans"`
	Generated int    `json:"generated"`
}

// durationFactor converts a count to a factor for durations; negative counts become 0.
func durationFactor(n int) time.Duration { return time.Duration(max(n, 0)) }

// exportKV handles POST /kv/export. It sends the KV cache of an attempt to
// another endpoint and responds when that endpoint has imported it.
func (s *Server) exportKV(c *echo.Context) error {
	var r httpengine.ExportRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	a, ok := s.attempts.get(s.cache, r.Attempt)
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	body := KVImport{Attempt: r.Attempt, Spans: a.spans, Generated: a.generated}
	if !s.pushKV(c.Request().Context(), r.To, body) {
		return c.NoContent(http.StatusBadGateway)
	}
	return c.NoContent(http.StatusOK)
}

// pushKV sends body to the endpoint at address to and reports whether it was imported.
func (s *Server) pushKV(ctx context.Context, to string, body KVImport) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	u := url.URL{Scheme: "http", Host: to, Path: "/kv/import"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := s.cfg.Transfer.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// importKV handles POST /kv/import. It takes TransferPerToken for each token
// that is not yet cached.
func (s *Server) importKV(c *echo.Context) error {
	var r KVImport
	if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil || len(r.Spans) == 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	total := totalTokens(r.Spans) + r.Generated
	if s.isLeaving() || total > s.cfg.CacheBudget {
		return c.NoContent(http.StatusInsufficientStorage)
	}
	newTokens := total - s.cache.match(r.Spans)
	if !sleep.For(c.Request().Context(), s.cfg.TransferPerToken*durationFactor(newTokens)) {
		return nil
	}
	s.cfg.Stats.recordTransferred(newTokens)
	s.attempts.add(s.cache, r.Attempt, attempt{spans: r.Spans, generated: r.Generated}, r.Generated)
	return c.NoContent(http.StatusOK)
}
