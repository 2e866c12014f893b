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

// Time limits of the steps of a change.
const (
	// intentTimeout bounds storing the audit record before the write.
	intentTimeout = 2 * time.Second
	// writeTimeout bounds the write, retries after lost answers included.
	writeTimeout = 5 * time.Second
	// outcomeTimeout bounds storing the outcome after the write.
	outcomeTimeout = 2 * time.Second
)

// presetField stands for the preset in force in a list of changes.
const presetField = "preset in force"

// change is what an operator asks for.
type change struct {
	operator auth.Operator
	action   audit.Action
	writeID  string
	// expected is the revision that the operator has seen.
	expected uint64
	// problems were found in the body before the change is tried.
	problems strictjson.Problems
	// next returns what follows the current configuration, or problems. It must
	// not change the current configuration.
	next func(current *config.Envelope) (preset string, doc *config.Document, problems strictjson.Problems)
}

// record returns the change's line of the audit trail.
func (s *Server) record(ch change, o audit.Outcome, detail string) audit.Record {
	return audit.Record{
		ID: ch.writeID, Time: s.Now().UTC(), Operator: ch.operator.Name, Action: ch.action, Admin: s.ID,
		From: ch.expected, To: ch.expected + 1, Outcome: o, Detail: detail,
	}
}

// apply makes a change: check, record the intent, write, record the outcome,
// and wait until it is in force.
func (s *Server) apply(ctx context.Context, ch change) (*api.Change, error) {
	current, err := s.Config.Read(ctx)
	if err != nil {
		return nil, err
	}
	if current.Envelope.Outcome(ch.expected+1, ch.writeID) == config.WriteApplied {
		return s.replay(ctx, current.Envelope, ch)
	}
	if current.Revision() != ch.expected {
		s.note(ctx, s.record(ch, audit.LostRace, fmt.Sprintf("revision %d is in force", current.Revision())), current.Envelope)
		return nil, lostRace(current.Revision())
	}
	next, err := s.plan(ctx, current.Envelope, ch)
	if err != nil {
		return nil, err
	}
	changes := diff(current.Envelope, next)
	if len(changes) == 0 {
		return s.unchanged(ctx, current.Envelope, ch)
	}
	r, err := s.write(ctx, current, next, ch, changes)
	if err != nil {
		return nil, err
	}
	out := s.spread(ctx, next, changes, false)
	s.lagging(ctx, r, out.Missing)
	return out, nil
}

// lagging adds to the record of a change which entries were late with it.
func (s *Server) lagging(ctx context.Context, r audit.Record, missing []api.Entry) {
	if len(missing) == 0 {
		return
	}
	ids := make([]string, len(missing))
	for i, e := range missing {
		ids[i] = e.ID
	}
	r.Detail = "not known to be in force on " + strings.Join(ids, ", ")
	s.finish(ctx, r, nil)
}

// plan works out the next envelope, and records a refusal.
func (s *Server) plan(ctx context.Context, current *config.Envelope, ch change) (*config.Envelope, error) {
	problems := ch.problems
	var preset string
	var doc *config.Document
	if len(problems) == 0 {
		preset, doc, problems = ch.next(current)
	}
	if len(problems) > 0 {
		s.note(ctx, s.record(ch, audit.Refused, summarise(problems)), current)
		return nil, invalid(problems)
	}
	return current.Next(ch.writeID, preset, doc), nil
}

// summarise names fields, never values.
func summarise(problems strictjson.Problems) string {
	fields := make([]string, 0, len(problems))
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	return fmt.Sprintf("%d problems: %s", len(problems), strings.Join(fields, ", "))
}

// write records the intent, writes, and records the outcome. Without a stored
// intent nothing is written, so that no change is without its record.
func (s *Server) write(ctx context.Context, current Stored, next *config.Envelope, ch change, changes []config.Change) (audit.Record, error) {
	r := s.record(ch, audit.Unknown, "")
	r.Summary = summaryOf(changes)
	repeated, err := s.put(ctx, intentTimeout, r, current.Envelope)
	if err != nil {
		s.Metrics.change(outcomeAuditUnavailable)
		return r, err
	}
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	err = s.Config.Write(writeCtx, current, next)
	if repeated && errors.Is(err, ErrStore) {
		// An earlier try of this change may still be under way.
		err = eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	r.Outcome = outcomeOf(err)
	s.Metrics.change(string(r.Outcome))
	if err == nil {
		s.Log.Info("configuration changed", "revision", next.Revision, "preset", next.Preset, "operator", ch.operator.Name, "action", ch.action)
	}
	s.finish(ctx, r, next)
	return r, s.failure(ctx, err, ch)
}

// summaryOf names the changed fields, and the presets of a switch.
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

// finish records an outcome. If that fails, the record stays unknown until it
// is settled from the configuration's list of writes.
func (s *Server) finish(ctx context.Context, r audit.Record, next *config.Envelope) {
	if r.Outcome == audit.Unknown {
		return
	}
	env := next
	if r.Outcome != audit.Applied {
		env = nil
	}
	if _, err := s.put(ctx, outcomeTimeout, r, env); err != nil {
		s.Metrics.AuditMissed.Inc()
	}
}

// failure turns the error of a write into the operator's error.
func (s *Server) failure(ctx context.Context, err error, ch change) error {
	switch {
	case errors.Is(err, ErrLostRace):
		return lostRace(s.newestRevision(ctx, ch.expected+1))
	case errors.Is(err, ErrOutcomeUnknown):
		return unknownOutcome(ch.writeID)
	}
	return err
}

// newestRevision reads the revision in force, or returns the least that it can be.
func (s *Server) newestRevision(ctx context.Context, least uint64) uint64 {
	now, err := s.Config.Read(ctx)
	if err != nil {
		return least
	}
	return max(least, now.Revision())
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

// put stores a record; it goes on if the operator's connection ends. It reports
// whether the trail held the record before.
func (s *Server) put(ctx context.Context, limit time.Duration, r audit.Record, env *config.Envelope) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return s.Trail.Put(ctx, r, env)
}

// note records a change that had no effect. Operators who are refused often
// don't fill the trail: beyond a rate they are only counted.
func (s *Server) note(ctx context.Context, r audit.Record, env *config.Envelope) {
	s.Metrics.change(string(r.Outcome))
	if !s.refusals.AllowN(s.Now(), 1) {
		s.Metrics.AuditMissed.Inc()
		return
	}
	// The write id may be that of an earlier try; a refusal is a record of its own.
	r.ID = s.NewID()
	if _, err := s.put(ctx, outcomeTimeout, r, env); err != nil {
		s.Metrics.AuditMissed.Inc()
	}
}

// matches tells whether the configuration is what the change asks for.
func (ch *change) matches(env *config.Envelope) bool {
	if len(ch.problems) > 0 {
		return false
	}
	preset, doc, problems := ch.next(env)
	return len(problems) == 0 && preset == env.Preset && len(config.Diff(&env.Document, doc)) == 0
}

// replay answers a repeat of a change that has taken effect before.
func (s *Server) replay(ctx context.Context, env *config.Envelope, ch change) (*api.Change, error) {
	if env.Revision == ch.expected+1 && !ch.matches(env) {
		return nil, reusedWriteID()
	}
	out := s.spread(ctx, env, []config.Change{}, false)
	out.Revision, out.WriteID = ch.expected+1, ch.writeID
	return out, nil
}

// unchanged answers a change that would change nothing; it makes no revision.
func (s *Server) unchanged(ctx context.Context, env *config.Envelope, ch change) (*api.Change, error) {
	return s.spread(ctx, env, []config.Change{}, true), nil
}

// spread waits until a revision is in force on every registered entry.
func (s *Server) spread(ctx context.Context, env *config.Envelope, changes []config.Change, unchanged bool) *api.Change {
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

// diff returns what differs between two envelopes, the preset in force included.
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
