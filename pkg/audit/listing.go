package audit

import (
	"slices"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// listing collects the records of several segments, each id once.
type listing struct {
	env     *config.Envelope
	records []Record
	seen    map[string]bool
}

func newListing(env *config.Envelope) *listing {
	return &listing{env: env, seen: make(map[string]bool)}
}

// add adds a segment's records. Segments must be added newest first, since only
// the first record of an id is kept.
func (l *listing) add(s *segment) {
	for _, r := range s.Records {
		if l.seen[r.ID] {
			continue
		}
		l.seen[r.ID] = true
		l.records = append(l.records, settle(r, l.env))
	}
}

func (l *listing) newest(limit int) []Record {
	slices.SortStableFunc(l.records, func(a, b Record) int { return b.Time.Compare(a.Time) })
	return l.records[:min(limit, len(l.records))]
}
