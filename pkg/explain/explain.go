// Package explain tells the story of one request from the structured logs of
// all processes: its lines in order of time, each with what decided it.
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// ErrNotFound means that no line names the request.
var ErrNotFound = eris.New("explain: no line of the logs names the request")

// event is one line of a log.
type event struct {
	at      time.Time
	process string
	message string
	fields  map[string]any
}

// requestField names the request that a line is about.
const requestField = "request"

// plain lists the fields that have a place of their own in the story.
var plain = []string{"time", "level", "msg", requestField}

// Story writes the lines about a request as a timeline: the time since the
// first one, the process, what happened, and the inputs that decided it. Lines
// may carry a prefix before the JSON object; its last word names the process.
// Lines that can't be read are counted at the end.
func Story(id string, logs io.Reader, out io.Writer) error {
	events, unreadable, err := collect(id, logs)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return eris.Wrap(ErrNotFound, id)
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	fmt.Fprintf(out, "request %s, first seen %s\n", id, events[0].at.Format(time.RFC3339Nano))
	for _, e := range events {
		since := e.at.Sub(events[0].at)
		fmt.Fprintf(out, "%9.1f ms  %-18s %-16s %s\n", float64(since.Microseconds())/1000, e.process, e.message, e.inputs())
	}
	if unreadable > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", unreadable)
	}
	return nil
}

// collect reads the lines that name a request.
func collect(id string, logs io.Reader) (events []event, unreadable int, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	quoted := `"` + id + `"`
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.Contains(line, quoted) {
			continue
		}
		e, ok := parse(line)
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

func parse(line string) (event, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return event{}, false
	}
	var e event
	if err := json.Unmarshal([]byte(line[start:]), &e.fields); err != nil {
		return event{}, false
	}
	text, _ := e.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return event{}, false
	}
	e.at = at
	e.message, _ = e.fields["msg"].(string)
	if words := strings.Fields(line[:start]); len(words) > 0 {
		e.process = words[len(words)-1]
	}
	return e, true
}

// inputs writes the remaining fields, in the order of their names.
func (e event) inputs() string {
	var out []string
	for _, name := range slices.SortedFunc(maps.Keys(e.fields), cmp.Compare) {
		if slices.Contains(plain, name) {
			continue
		}
		out = append(out, fmt.Sprintf("%s=%v", name, e.fields[name]))
	}
	return strings.Join(out, " ")
}
