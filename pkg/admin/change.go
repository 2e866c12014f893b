package admin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Timeouts of the steps of a change.
const (
	// intentTimeout bounds storing the audit record before the write.
	intentTimeout = 2 * time.Second
	// writeTimeout bounds the write, including retries after lost responses.
	writeTimeout = 5 * time.Second
	// outcomeTimeout bounds storing the outcome after the write.
	outcomeTimeout = 2 * time.Second
)

// presetField is the field name of the preset in force in a list of changes.
const presetField = "preset in force"

// change is a change requested by an operator.
type change struct {
	operator auth.Operator
	action   audit.Action
	writeID  string
	// expected is the revision that the operator has seen.
	expected uint64
	// problems holds the validation errors found in the request body.
	problems strictjson.Problems
	// next returns the preset and document that replace the current configuration,
	// or problems. It must not modify the current configuration.
	next func(current *config.Envelope) (preset string, doc *config.Document, problems strictjson.Problems)
}

// newRecord returns the audit record of a change.
func (s *Server) newRecord(ch change, o audit.Outcome, detail string) audit.Record {
	return audit.Record{
		ID: ch.writeID, Time: s.Now().UTC(), Operator: ch.operator.Name, Action: ch.action, Admin: s.ID,
		From: ch.expected, To: ch.expected + 1, Outcome: o, Detail: detail,
	}
}

// apply validates a change, records the intent, writes the configuration, records
// the outcome, and waits until the change is in force.
func (s *Server) apply(ctx context.Context, ch change) (*api.Change, error) {
	current, err := s.Config.Read(ctx)
	if err != nil {
		return nil, err
	}
	if current.Envelope.Outcome(ch.expected+1, ch.writeID) == config.WriteApplied {
		return s.repeatedResult(ctx, current.Envelope, ch)
	}
	if current.Revision() != ch.expected {
		s.recordRejected(ctx, s.newRecord(ch, audit.LostRace, fmt.Sprintf("revision %d is in force", current.Revision())), current.Envelope)
		return nil, lostRaceError(current.Revision())
	}
	next, err := s.nextEnvelope(ctx, current.Envelope, ch)
	if err != nil {
		return nil, err
	}
	changes := diff(current.Envelope, next)
	if len(changes) == 0 {
		return s.unchangedResult(ctx, current.Envelope, ch)
	}
	r, err := s.writeChange(ctx, current, next, ch, changes)
	if err != nil {
		return nil, err
	}
	out := s.distribute(ctx, next, changes, false)
	s.recordMissing(ctx, r, out.Missing)
	return out, nil
}

// recordMissing adds to the audit record of a change the entries on which it is
// not known to be in force.
func (s *Server) recordMissing(ctx context.Context, r audit.Record, missing []api.Entry) {
	if len(missing) == 0 {
		return
	}
	ids := make([]string, len(missing))
	for i, e := range missing {
		ids[i] = e.ID
	}
	r.Detail = "not known to be in force on " + strings.Join(ids, ", ")
	s.recordOutcome(ctx, r, nil)
}

// nextEnvelope returns the envelope that results from a change. If the change is
// invalid, it records the refusal.
func (s *Server) nextEnvelope(ctx context.Context, current *config.Envelope, ch change) (*config.Envelope, error) {
	problems := ch.problems
	var preset string
	var doc *config.Document
	if len(problems) == 0 {
		preset, doc, problems = ch.next(current)
	}
	if len(problems) > 0 {
		s.recordRejected(ctx, s.newRecord(ch, audit.Refused, summarise(problems)), current)
		return nil, invalidError(problems)
	}
	return current.Next(ch.writeID, preset, doc), nil
}

// summarise lists the fields that have problems, never their values.
func summarise(problems strictjson.Problems) string {
	fields := make([]string, 0, len(problems))
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	return fmt.Sprintf("%d problems: %s", len(problems), strings.Join(fields, ", "))
}

// writeChange records the intent, writes the configuration, and records the
// outcome. If the intent can't be stored, nothing is written, so that every
// change has an audit record.
func (s *Server) writeChange(ctx context.Context, current Stored, next *config.Envelope, ch change, changes []config.Change) (audit.Record, error) {
	r := s.newRecord(ch, audit.Unknown, "")
	r.Summary = summaryOf(changes)
	repeated, err := s.storeRecord(ctx, intentTimeout, r, current.Envelope)
	if err != nil {
		s.Metrics.countChange(outcomeAuditUnavailable)
		return r, err
	}
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	err = s.Config.Write(writeCtx, current, next)
	if repeated && errors.Is(err, ErrStore) {
		// An earlier attempt at this change may still be in flight.
		err = eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	r.Outcome = outcomeOf(err)
	s.Metrics.countChange(string(r.Outcome))
	if err == nil {
		s.Log.Info("configuration changed", "revision", next.Revision, "preset", next.Preset, "operator", ch.operator.Name, "action", ch.action)
	}
	s.recordOutcome(ctx, r, next)
	return r, s.operatorError(ctx, err, ch)
}

// summaryOf lists the changed fields, and the old and new preset of a switch.
func summaryOf(changes []config.Change) []string {
	out := make([]string, 0, len(changes))
	for _, c := range changes {
		if c.Field == presetField {
			c.Field = "preset " + c.From + " to " + c.To
		}
		out = append(out, c.Field)
	}
	return out
}

// recordOutcome stores the outcome of a change. If that fails, the record stays
// unknown until it is settled from the configuration's list of recent writes.
func (s *Server) recordOutcome(ctx context.Context, r audit.Record, next *config.Envelope) {
	if r.Outcome == audit.Unknown {
		return
	}
	env := next
	if r.Outcome != audit.Applied {
		env = nil
	}
	if _, err := s.storeRecord(ctx, outcomeTimeout, r, env); err != nil {
		s.Metrics.AuditMissed.Inc()
	}
}

// operatorError converts the error of a write to the error for the operator.
func (s *Server) operatorError(ctx context.Context, err error, ch change) error {
	switch {
	case errors.Is(err, ErrLostRace):
		return lostRaceError(s.newestRevision(ctx, ch.expected+1))
	case errors.Is(err, ErrOutcomeUnknown):
		return unknownOutcomeError(ch.writeID)
	}
	return err
}

// newestRevision returns the stored revision, but at least the given lower bound;
// if the configuration can't be read, it returns the lower bound.
func (s *Server) newestRevision(ctx context.Context, lowerBound uint64) uint64 {
	current, err := s.Config.Read(ctx)
	if err != nil {
		return lowerBound
	}
	return max(lowerBound, current.Revision())
}

func outcomeOf(err error) audit.Outcome {
	switch {
	case err == nil:
		return audit.Applied
	case errors.Is(err, ErrLostRace):
		return audit.LostRace
	case errors.Is(err, ErrOutcomeUnknown):
		return audit.Unknown
	}
	return audit.Failed
}

// storeRecord stores an audit record, even if the operator's connection ends. It
// reports whether the trail already held the record.
func (s *Server) storeRecord(ctx context.Context, limit time.Duration, r audit.Record, env *config.Envelope) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return s.Trail.Put(ctx, r, env)
}

// recordRejected records a change that had no effect. To keep refused requests
// from filling the trail, those above a rate limit are only counted.
func (s *Server) recordRejected(ctx context.Context, r audit.Record, env *config.Envelope) {
	s.Metrics.countChange(string(r.Outcome))
	if !s.refusals.AllowN(s.Now(), 1) {
		s.Metrics.AuditMissed.Inc()
		return
	}
	// The write id may be that of an earlier attempt; a refusal gets its own record.
	r.ID = s.NewID()
	if _, err := s.storeRecord(ctx, outcomeTimeout, r, env); err != nil {
		s.Metrics.AuditMissed.Inc()
	}
}

// matches reports whether the configuration already is the result of the change.
func (ch *change) matches(env *config.Envelope) bool {
	if len(ch.problems) > 0 {
		return false
	}
	preset, doc, problems := ch.next(env)
	return len(problems) == 0 && preset == env.Preset && len(config.Diff(&env.Document, doc)) == 0
}

// repeatedResult returns the result of a repeated change that has already taken effect.
func (s *Server) repeatedResult(ctx context.Context, env *config.Envelope, ch change) (*api.Change, error) {
	if env.Revision == ch.expected+1 && !ch.matches(env) {
		return nil, reusedWriteIDError()
	}
	out := s.distribute(ctx, env, []config.Change{}, false)
	out.Revision, out.WriteID = ch.expected+1, ch.writeID
	return out, nil
}

// unchangedResult returns the result of a change without effect, which creates no
// revision.
func (s *Server) unchangedResult(ctx context.Context, env *config.Envelope, ch change) (*api.Change, error) {
	return s.distribute(ctx, env, []config.Change{}, true), nil
}

// distribute waits until a revision is in force on every registered entry, for at
// most InForceWait, and returns the result of the change.
func (s *Server) distribute(ctx context.Context, env *config.Envelope, changes []config.Change, unchanged bool) *api.Change {
	out := &api.Change{
		State: api.Accepted, Revision: env.Revision, WriteID: env.WriteID, Preset: env.Preset,
		Changes: changes, Missing: []api.Entry{}, Unchanged: unchanged,
	}
	ctx, cancel := context.WithTimeout(ctx, s.InForceWait)
	defer cancel()
	got, err := s.Fleet.Distribute(ctx, env)
	if err != nil {
		out.State = api.Stored
		out.Missing = []api.Entry{{ID: "*", Error: "the registered entries can't be read: " + err.Error()}}
		return out
	}
	if !got.Everywhere {
		out.State = api.Stored
	}
	out.Missing = append(out.Missing, got.Missing...)
	return out
}

// diff returns the differences between two envelopes, including the preset in force.
func diff(a, b *config.Envelope) []config.Change {
	var from *config.Document
	preset := ""
	if a != nil {
		from, preset = &a.Document, a.Preset
	}
	out := config.Diff(from, &b.Document)
	if preset == b.Preset {
		return out
	}
	return append([]config.Change{{Field: presetField, Kind: config.Changed, From: preset, To: b.Preset}}, out...)
}
