// Package audit keeps an audit trail of operators' changes in the object store: who,
// when, what, from which revision to which, and the outcome. A record is stored
// with the outcome unknown before the change is attempted and updated after it. If
// an admin process is killed in between, the record stays unknown until another
// process settles it from the configuration's list of recent writes.
package audit

import (
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// Outcome is the outcome of a change.
type Outcome string

// Outcomes of changes.
const (
	// Unknown means that the change may or may not have taken effect. It is the
	// initial outcome of every record.
	Unknown Outcome = "unknown"
	// Applied means that the change created a revision.
	Applied Outcome = "applied"
	// LostRace means that another change came first. This one had no effect.
	LostRace Outcome = "lost-race"
	// Refused means that the change was not allowed or not valid. It had no effect.
	Refused Outcome = "refused"
	// Failed means that the store refused the write. It had no effect; a retry
	// with the same id may still take effect.
	Failed Outcome = "failed"
)

// Final reports whether the outcome can't change any more. Failed isn't final: an
// earlier attempt with the same id may have been in flight.
func (o Outcome) Final() bool { return o != Unknown && o != Failed }

// Action is the kind of change that an operator attempted.
type Action string

// Actions of operators.
const (
	ActionApply  Action = "config.apply"
	ActionPreset Action = "preset.switch"
)

// Limits of a record.
const (
	// MaxSummary is the maximum number of changed fields that a record lists.
	MaxSummary = 20
	// MaxTextBytes is the maximum length of each text of a record.
	MaxTextBytes = 300
)

// Record is one record of the trail. It holds neither keys nor complete documents.
type Record struct {
	// ID is the write id of the change; it is unique.
	ID       string    `json:"id"`
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Action   Action    `json:"action"`
	// Admin is the id of the admin process that served the operator.
	Admin string `json:"admin"`
	// From is the revision that the operator expected.
	From uint64 `json:"from_revision"`
	// To is the revision that the change creates if it is applied.
	To uint64 `json:"to_revision"`
	// Summary lists the changed fields, such as "services[beds].priority".
	Summary []string `json:"summary,omitempty"`
	Outcome Outcome  `json:"outcome"`
	// Detail explains a refusal, or lists the entries on which the change was not yet in force.
	Detail string `json:"detail,omitempty"`
}

// bounded returns the record with its texts truncated to their limits.
func (r Record) bounded() Record {
	r.Operator, r.Detail = truncate(r.Operator), truncate(r.Detail)
	if len(r.Summary) > MaxSummary {
		r.Summary = append(r.Summary[:MaxSummary:MaxSummary], "…")
	}
	summary := make([]string, len(r.Summary))
	for i, s := range r.Summary {
		summary[i] = truncate(s)
	}
	r.Summary = summary
	return r
}

func truncate(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxTextBytes], "")
}

// settle returns the record with its outcome determined from the configuration
// in force, if that is possible.
func settle(r Record, env *config.Envelope) Record {
	if r.Outcome.Final() {
		return r
	}
	switch env.Outcome(r.To, r.ID) {
	case config.WriteApplied:
		r.Outcome = Applied
	case config.WriteSuperseded:
		if r.Outcome == Unknown {
			r.Outcome = LostRace
		}
	}
	return r
}
