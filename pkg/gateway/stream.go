package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// readBytes is the size of one read of a stream.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// pauseTargets is the number of longest pauses on time after which a stream
	// that may be resumed is taken for silent.
	pauseTargets = 5
)

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// relayStream passes whole events on as they come.
func (a *attempt) relayStream(ctx context.Context, resp *http.Response) outcome {
	rc := http.NewResponseController(a.w)
	buf := make([]byte, 0, readBytes)
	chunk := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(chunk)
		buf = append(buf, chunk[:n]...)
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			events := buf[:end+len(eventEnd)]
			if !a.pass(rc, resp, events) {
				return outcome{state: unknown, reason: "events out of order"}
			}
			buf = append(buf[:0], buf[len(events):]...)
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(buf)) == 0 && a.started {
			return a.streamEnded(resp)
		}
		if err != nil || len(buf) > maxEventBytes {
			return a.streamBroke(ctx)
		}
	}
}

// pass writes whole events to the caller and flushes them; false if they don't
// follow what the caller has.
func (a *attempt) pass(rc *http.ResponseController, resp *http.Response, events []byte) bool {
	first, last, count := eventIDs(events)
	if !follows(a.lastEvent, first) {
		return false
	}
	if !a.started {
		h := a.w.Header()
		copyHeader(h, a.gateway.Protocol.Back(resp.Header))
		h.Del("Content-Length")
		a.w.WriteHeader(resp.StatusCode)
		a.started = true
		a.gateway.Metrics.FirstEvent.Observe(a.gateway.Now().Sub(a.arrived).Seconds())
	}
	a.begin()
	a.place.AnswerStarted()
	a.place.EventsReceived(count)
	if last != "" {
		a.lastEvent = last
	}
	_, err := a.w.Write(events)
	if err == nil {
		err = rc.Flush()
	}
	if err != nil {
		a.gone()
	}
	a.awaitNext()
	return true
}

// awaitNext bounds the silence until the next event, where the stream may go on
// elsewhere.
func (a *attempt) awaitNext() {
	until := time.Time{}
	if a.route.Repeatable() && a.route.GapTarget > 0 && a.ran < a.route.MaxAttempts {
		until = a.gateway.Now().Add(pauseTargets * a.route.GapTarget)
	}
	_ = a.conn.SetReadDeadline(until)
}

// streamEnded takes the proper end of a stream.
func (a *attempt) streamEnded(resp *http.Response) outcome {
	a.whole = true
	a.place.Completed()
	a.place.Endpoint.RecordSuccess()
	a.finished(resp.StatusCode, a.place.Endpoint.ID)
	return outcome{state: answered, done: true}
}

// streamBroke takes a stream that ended early.
func (a *attempt) streamBroke(ctx context.Context) outcome {
	if ctx.Err() == nil {
		a.place.Endpoint.RecordUnreachable(a.gateway.Now())
	}
	return outcome{state: unknown, reason: "stream broke off"}
}

// eventIDs returns the first and the last event id in a series of whole events,
// and the number of ids.
func eventIDs(events []byte) (first, last string, count int) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		count++
		last = string(bytes.TrimSpace(value))
		if first == "" {
			first = last
		}
	}
	return first, last, count
}

// follows tells whether an event id comes after the newest one that the caller has.
func follows(have, next string) bool {
	if have == "" || next == "" {
		return true
	}
	h, errHave := strconv.Atoi(have)
	n, errNext := strconv.Atoi(next)
	return errHave != nil || errNext != nil || n == h+1
}
