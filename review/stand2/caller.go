package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers all attempts of callers.
var attempts atomic.Int64

// result is what a caller got in one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends one attempt over a new connection.
func (w *world) send(g *gateway, method, path string, deadline time.Duration, header http.Header) (*http.Response, string, context.CancelFunc, error) {
	id := fmt.Sprintf("%08x%08x", w.record.started.UnixNano()&0xffffffff, attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.addr(frontPort)+path, nil)
	if err != nil {
		return nil, id, cancel, err
	}
	req.Host = "a.example"
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(wireHeader("requestID"), id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set(wireHeader("deadline"), strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	w.record.line("caller sends %s %s %s to %s %v", id, method, path, g.name, header)
	resp, err := client.Do(req)
	return resp, id, cancel, err
}

// call sends one attempt and reads the whole answer.
func (w *world) call(g *gateway, method, path string, deadline time.Duration, header http.Header) result {
	resp, id, cancel, err := w.send(g, method, path, deadline, header)
	defer cancel()
	r := result{id: id, err: err}
	if err == nil {
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		r.status, r.header, r.body, r.err = resp.StatusCode, resp.Header, string(body), err
	}
	w.record.line("caller got %s: status %d, error %v, body %.60q", id, r.status, r.err, r.body)
	return r
}

// event is one event of a stream, as a caller got it.
type event struct {
	id      int
	version string
}

// streamAttempt sends one attempt of a stream. It returns the events, whether the stream was complete, and
// the time after which the caller may come again.
func (w *world) streamAttempt(g *gateway, path string, deadline time.Duration, header http.Header) (id string, events []event, complete bool, after time.Duration) {
	resp, id, cancel, err := w.send(g, http.MethodPost, path, deadline, header)
	defer cancel()
	if err != nil {
		w.record.line("caller got %s: error %v", id, err)
		return id, nil, false, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		body, _ := io.ReadAll(resp.Body)
		w.record.line("caller got %s: status %d, retry after %.3f s, %.80q", id, resp.StatusCode, seconds, body)
		return id, nil, false, time.Duration(seconds * float64(time.Second))
	}
	events, err = readEvents(resp.Body)
	complete = err == nil
	w.record.line("caller got %s: %s, complete %t, error %v", id, describe(events), complete, err)
	return id, events, complete, 0
}

// errTorn is the error of a stream that ends inside an event.
var errTorn = errors.New("the stream ends inside an event")

// readEvents reads the events of a stream to its end.
func readEvents(body io.Reader) ([]event, error) {
	var out []event
	var current event
	open := false
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		switch text := strings.TrimRight(line, "\n"); {
		case err != nil && errors.Is(err, io.EOF) && (open || line != ""):
			return out, errTorn
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err
		case text == "" && open:
			out, open = append(out, current), false
		case strings.HasPrefix(text, "id: "):
			current.id, _ = strconv.Atoi(text[4:])
			open = true
		case strings.HasPrefix(text, "data: "):
			current.version, _, _ = strings.Cut(text[6:], " ")
			open = true
		}
	}
}

// describe returns the events in short: runs of ids by version.
func describe(events []event) string {
	var b strings.Builder
	for i, e := range events {
		if i == 0 || events[i-1].version != e.version || events[i-1].id+1 != e.id {
			fmt.Fprintf(&b, " %s:%d", e.version, e.id)
		}
	}
	if n := len(events); n > 0 {
		fmt.Fprintf(&b, "..%d", events[n-1].id)
	}
	return fmt.Sprintf("%d events%s", len(events), b.String())
}
