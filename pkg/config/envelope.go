package config

import "slices"

// Next returns the envelope for the revision after e. If e is nil, it returns
// the first revision. The document is shared, not copied.
func (e *Envelope) Next(writeID, preset string, doc *Document) *Envelope {
	next := &Envelope{Revision: 1, WriteID: writeID, Preset: preset, Document: *doc}
	if e != nil {
		next.Revision = e.Revision + 1
		next.RecentWrites = slices.Clone(e.RecentWrites)
	}
	next.RecentWrites = append(next.RecentWrites, Write{Revision: next.Revision, WriteID: writeID})
	if excess := len(next.RecentWrites) - MaxRecentWrites; excess > 0 {
		next.RecentWrites = slices.Delete(next.RecentWrites, 0, excess)
	}
	return next
}

// WriteOutcome is the outcome of a write as far as an envelope shows it.
type WriteOutcome int

// The possible outcomes of a write.
const (
	// WriteUnknown means that the outcome can't be determined from the envelope.
	WriteUnknown WriteOutcome = iota
	// WriteApplied means that the write created the revision.
	WriteApplied
	// WriteSuperseded means that another write created the revision, so this one can't take effect.
	WriteSuperseded
)

// Outcome returns the outcome of the write that was to create the given revision.
// It is WriteUnknown if e is nil or older than the revision.
func (e *Envelope) Outcome(revision uint64, writeID string) WriteOutcome {
	if e == nil || e.Revision < revision {
		return WriteUnknown
	}
	if e.Revision == revision {
		return outcomeOf(e.WriteID == writeID)
	}
	for _, w := range e.RecentWrites {
		if w.Revision == revision {
			return outcomeOf(w.WriteID == writeID)
		}
	}
	return WriteUnknown
}

func outcomeOf(applied bool) WriteOutcome {
	if applied {
		return WriteApplied
	}
	return WriteSuperseded
}
