package gateway

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
)

// eventStreamType is the media type of event streams.
const eventStreamType = "text/event-stream"

const (
	// readSize is the buffer size of one read of a stream.
	readSize = 4 << 10
	// maxEventBytes limits the size of an event.
	maxEventBytes = 1 << 20
)

// errEvents is the error of events that don't continue the stream.
var errEvents = errors.New("events don't continue the stream")

// errEventTooLarge is the error of an event that exceeds maxEventBytes.
var errEventTooLarge = errors.New("event too large")

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// splitEvents calls write with complete events that continue the stream, as they arrive, until
// the body ends or write returns false. It returns the number of bytes after the last of them.
func splitEvents(body io.Reader, partial *partialResponse, events *continuation, write func(accepted []byte) bool) (left int, err error) {
	defer partial.release()
	buf := make([]byte, 0, readSize)
	chunk := make([]byte, readSize)
	for {
		n, err := body.Read(chunk)
		searched := max(0, len(buf)-len(eventEnd)+1)
		buf = append(buf, chunk[:n]...)
		if bytes.Contains(buf[searched:], eventEnd) {
			size, ok := events.accept(buf)
			if size > 0 && !write(buf[:size]) || !ok {
				return 0, errEvents
			}
			buf = append(buf[:0], buf[size:]...)
			if len(buf) == 0 && cap(buf) > freeResponseBytes {
				buf = make([]byte, 0, readSize)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return len(bytes.TrimSpace(buf)), nil
		case err != nil:
			return 0, err
		case len(buf) > maxEventBytes:
			return 0, errEventTooLarge
		case !partial.hold(cap(buf)):
			return 0, errResponseMemory
		}
	}
}

// continuation checks whether the events of a response continue the stream that the caller has.
type continuation struct {
	// last is the id of the last event before the next one; "" if there is none with an id.
	last string
	// resumes is true if the caller has events of an earlier response. Only the ids tell then
	// that a response goes on with them.
	resumes bool
	// identified is true once an event of this response had an id.
	identified bool
}

// verdict says what is done with an event.
type verdict int

// The verdicts on an event.
const (
	// verdictRejected means that it doesn't continue the stream.
	verdictRejected verdict = iota
	// verdictHeld means that it is passed on once an event follows that continues the stream.
	verdictHeld
	// verdictAccepted means that it is passed on.
	verdictAccepted
)

// accept checks the complete events in buf. It returns the size of those at its beginning that
// may be passed on, and whether none was found that doesn't continue the stream.
func (c *continuation) accept(buf []byte) (size int, ok bool) {
	for at := 0; ; {
		end := bytes.Index(buf[at:], eventEnd)
		if end < 0 {
			return size, true
		}
		event := buf[at : at+end+len(eventEnd)]
		at += len(event)
		switch c.judge(event) {
		case verdictRejected:
			return size, false
		case verdictAccepted:
			size = at
		}
	}
}

// judge decides on one event. A response that begins a stream is the endpoint's own, whatever
// it holds before its first id.
func (c *continuation) judge(event []byte) verdict {
	first, last, count := eventIDs(event)
	if count == 0 && !c.resumes && !c.identified {
		return verdictAccepted
	}
	switch wellFormed, comment := checkLines(event); {
	case !wellFormed || first != last || count > 0 && !follows(c.last, first):
		return verdictRejected
	case count > 0:
		c.last, c.identified = last, true
		return verdictAccepted
	case c.identified:
		return verdictAccepted
	case comment:
		return verdictHeld
	}
	return verdictRejected
}

// standardFields holds the fields of event streams, which may lack a value.
var standardFields = []string{"data", "id", "event", "retry"}

// checkLines reports whether the lines of an event are those of an event stream, and whether
// they are only comments.
func checkLines(event []byte) (wellFormed, comment bool) {
	comment = true
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, _, hasValue := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(name, isNotFieldName) || len(name) > 0 && !hasValue && !slices.Contains(standardFields, string(name)) {
			return false, false
		}
		comment = comment && len(name) == 0
	}
	return true, comment
}

// isNotFieldName reports whether a character doesn't occur in the names of fields.
func isNotFieldName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// isEventStream reports whether a response may be an event stream by its type.
func isEventStream(resp *http.Response) bool {
	text := resp.Header.Get("Content-Type")
	if text == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(text)
	return err == nil && mediaType == eventStreamType
}

// eventIDs returns the first and the last event id in a series of complete events,
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

// everyEventHasID reports whether each event of a series of complete events has an id or is a comment. A
// stream goes on elsewhere after the last id, so that an event without one might be repeated.
func everyEventHasID(events []byte) bool {
	for event := range bytes.SplitSeq(bytes.TrimSuffix(events, eventEnd), eventEnd) {
		if _, _, count := eventIDs(event); count > 0 {
			continue
		}
		if _, comment := checkLines(event); !comment {
			return false
		}
	}
	return true
}

// follows reports whether the event id next directly follows have. An empty one always does,
// and so does any id after one that isn't numeric.
func follows(have, next string) bool {
	if have == "" || next == "" {
		return true
	}
	h, errHave := strconv.Atoi(have)
	n, errNext := strconv.Atoi(next)
	return errHave != nil || errNext == nil && n == h+1
}
