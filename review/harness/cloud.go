package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// dutyCall is a call that the platform got for a duty.
type dutyCall struct {
	at            time.Time
	holder        string
	fence         uint64
	duty, subject string
	body          string
}

// cloud stands in for the platform's API. It has no servers of the cheap kind at the moment, and
// accepts all else.
type cloud struct {
	d    *deployment
	addr string
	http *http.Server

	mu    sync.Mutex
	calls []dutyCall
}

func newCloud(d *deployment) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{d: d, addr: l.Addr().String()}
	c.http = &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := c.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.note("platform API ended: %v", err)
		}
	}()
	return c, nil
}

func (c *cloud) close() { _ = c.http.Close() }

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get(header("token")), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := dutyCall{at: time.Now(), holder: r.Header.Get(header("holder")), fence: fence, duty: r.URL.Path, body: string(bytes.TrimSpace(body))}
	status := http.StatusOK
	if r.URL.Path == "/scale" {
		var order struct {
			Service, Zone string
			UseSpot       bool
		}
		if err := json.Unmarshal(body, &order); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call.subject = order.Service + "/" + order.Zone
		if order.UseSpot {
			status = http.StatusConflict
		}
	}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.d.note("platform gets %s from %s with token %d: %s -> %d", call.duty, call.holder, call.fence, call.body, status)
	w.WriteHeader(status)
}

// received returns the calls so far.
func (c *cloud) received() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

// staleCalls returns the calls with a lower token than an earlier one for their duty and subject,
// but for those that arrived within thawTime after their sender's link was healed.
func staleCalls(calls []dutyCall, healed func(holder string) time.Time) []string {
	highest := make(map[string]dutyCall)
	var out []string
	for _, call := range calls {
		key := call.duty + " " + call.subject
		seen, ok := highest[key]
		if !ok || call.fence >= seen.fence {
			highest[key] = call
			continue
		}
		after := time.Duration(-1)
		if at := healed(call.holder); !at.IsZero() {
			after = call.at.Sub(at)
		}
		if after >= 0 && after <= thawTime {
			continue
		}
		out = append(out, fmt.Sprintf("call of %s with token %d for %s, %.3f s after one of %s with token %d and %.3f s after its link was healed: %s",
			call.holder, call.fence, key, call.at.Sub(seen.at).Seconds(), seen.holder, seen.fence, after.Seconds(), call.body))
	}
	return out
}
