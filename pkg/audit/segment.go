package audit

import (
	"encoding/json"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// Limits of the trail's size in the object store.
const (
	// MaxCurrentBytes is the size at which the current segment is split.
	MaxCurrentBytes = 64 << 10
	// MaxSegments is how many closed segments are kept; older ones are deleted.
	MaxSegments = 64
	// maxUnsettled is the maximum number of records without a final outcome that
	// stay in the current segment.
	maxUnsettled = 64
)

// segment is the value of the current object and of each closed one.
type segment struct {
	// Number is the segment's number, starting at 1.
	Number  int      `json:"segment"`
	Records []Record `json:"records"`
}

// upsert adds a record or replaces the one with its id, except that a final
// outcome is kept. It reports whether the segment changed, and whether it already
// held the record.
func (s *segment) upsert(r Record) (changed, existed bool) {
	at := slices.IndexFunc(s.Records, func(old Record) bool { return old.ID == r.ID })
	if at < 0 {
		s.Records = append(s.Records, r)
		return true, false
	}
	old := s.Records[at]
	if old.Outcome.Final() && !annotates(old, r) {
		return false, true
	}
	s.Records[at] = r
	return true, true
}

// annotates reports whether r adds a detail to the same outcome.
func annotates(old, r Record) bool {
	return old.Outcome == r.Outcome && old.Detail == "" && r.Detail != ""
}

// settle updates the outcomes of the records from the configuration in force.
func (s *segment) settle(env *config.Envelope) {
	for i := range s.Records {
		s.Records[i] = settle(s.Records[i], env)
	}
}

// split moves records from s to a new closed segment: those with a final outcome,
// and the oldest others beyond maxUnsettled. It returns nil if the segment is
// smaller than maxBytes or no record can be moved.
func (s *segment) split(maxBytes int) *segment {
	data, err := json.Marshal(s)
	if err != nil || len(data) < maxBytes {
		return nil
	}
	unsettled := 0
	for _, r := range s.Records {
		if !r.Outcome.Final() {
			unsettled++
		}
	}
	closed := &segment{Number: s.Number}
	var open []Record
	for _, r := range s.Records {
		switch {
		case r.Outcome.Final():
			closed.Records = append(closed.Records, r)
		case unsettled > maxUnsettled:
			closed.Records = append(closed.Records, r)
			unsettled--
		default:
			open = append(open, r)
		}
	}
	if len(closed.Records) == 0 {
		return nil
	}
	s.Number++
	s.Records = open
	return closed
}

// remove removes the records that a closed segment holds.
func (s *segment) remove(closed *segment) {
	s.Records = slices.DeleteFunc(s.Records, func(r Record) bool {
		return slices.ContainsFunc(closed.Records, func(c Record) bool { return c.ID == r.ID })
	})
}
