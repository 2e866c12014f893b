// Package explain shows the timeline of one request from the structured logs of
// all processes.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ErrNotFound means that no log line belongs to the request.
var ErrNotFound = eris.New("explain: request not found in the logs")

// event is one log line.
type event struct {
	time    time.Time
	process string
	message string
	fields  map[string]any
}

// requestField is the log field that holds the request ID.
const requestField = "request"

// reservedFields lists the fields that are not printed as name=value pairs.
var reservedFields = []string{"time", "level", "msg", requestField}

// WriteTimeline writes the log lines of a request in order of time. Each line shows
// the time since the first event, the process, the message and the other log
// fields. Input lines may have a prefix before the JSON object; the last word of
// the prefix is the name of the process. The number of lines that mention the
// request but can't be parsed is written at the end.
func WriteTimeline(id string, logs io.Reader, out io.Writer) error {
	events, unreadable, err := readEvents(id, logs)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return eris.Wrap(ErrNotFound, id)
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.time.Compare(b.time) })
	fmt.Fprintf(out, "request %s, first seen %s\n", id, events[0].time.Format(time.RFC3339Nano))
	for _, e := range events {
		sinceFirst := e.time.Sub(events[0].time)
		fmt.Fprintf(out, "%9.1f ms  %-18s %-16s %s\n", float64(sinceFirst.Microseconds())/1000, e.process, e.message, e.formatFields())
	}
	if unreadable > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", unreadable)
	}
	return nil
}

// readEvents returns the events of a request and the number of lines that mention
// it but can't be parsed.
func readEvents(id string, logs io.Reader) (events []event, unreadable int, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	quoted := `"` + id + `"`
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.Contains(line, quoted) {
			continue
		}
		e, ok := parseLine(line)
		if !ok {
			unreadable++
			continue
		}
		if e.fields[requestField] == id {
			events = append(events, e)
		}
	}
	return events, unreadable, scanner.Err()
}

func parseLine(line string) (event, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return event{}, false
	}
	var e event
	if err := json.Unmarshal([]byte(line[start:]), &e.fields); err != nil {
		return event{}, false
	}
	text, _ := e.fields["time"].(string)
	eventTime, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return event{}, false
	}
	e.time = eventTime
	e.message, _ = e.fields["msg"].(string)
	if words := strings.Fields(line[:start]); len(words) > 0 {
		e.process = words[len(words)-1]
	}
	return e, true
}

// formatFields returns the fields that are not reserved as name=value pairs,
// sorted by name.
func (e event) formatFields() string {
	var out []string
	for _, name := range slices.SortedFunc(maps.Keys(e.fields), cmp.Compare) {
		if slices.Contains(reservedFields, name) {
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", name, e.fields[name]))
	}
	return strings.Join(out, " ")
}
