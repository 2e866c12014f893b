package revision

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// pushInterval is the time between two rounds of calls that push a change.
const pushInterval = 100 * time.Millisecond

// Entry is a registered entry that a change must reach.
type Entry struct {
	peer.Info
	// Group is the group size in the entry's registration.
	Group int
	// Stopped is true if both the platform's list and the entry's peers report it as gone.
	Stopped bool
}

// Await pushes a stored change to the registered entries until it is in force
// everywhere or the context ends, and returns the last status. list must read the
// registrations from the store; it is called once. The change must be stored
// before Await is called. now is the caller's own clock.
func Await(ctx context.Context, caller Caller, list func(context.Context) ([]Entry, error), env *config.Envelope, now func() time.Time) (RolloutStatus, error) {
	entries, err := list(ctx)
	if err != nil {
		return RolloutStatus{}, err
	}
	a := rollout{caller: caller, env: env, states: make([]EntryState, len(entries))}
	for i, e := range entries {
		a.states[i] = EntryState{ID: e.ID, Group: e.Group, Stopped: e.Stopped}
	}
	for {
		status := a.pushRound(ctx, entries, now)
		if status.InForce || ctx.Err() != nil {
			return status, nil
		}
		sleep.For(ctx, pushInterval)
	}
}

// rollout is the progress of one change.
type rollout struct {
	caller           Caller
	env              *config.Envelope
	states           []EntryState
	noOldQuorumSince time.Time
}

// pushRound pushes the change to the entries that don't have it, and returns the status.
func (a *rollout) pushRound(ctx context.Context, entries []Entry, now func() time.Time) RolloutStatus {
	var targets []peer.Info
	var index []int
	for i, s := range a.states {
		if !s.Stopped && s.Answer.Revision < a.env.Revision {
			targets = append(targets, entries[i].Info)
			index = append(index, i)
		}
	}
	for i, r := range PushAll(ctx, a.caller, targets, a.env) {
		if r.Answered {
			a.states[index[i]].Answered, a.states[index[i]].Answer = true, r.Answer
		}
	}
	status := InForce(a.env.Revision, a.states, 0)
	if !status.NoOldQuorum {
		return status
	}
	at := now()
	if a.noOldQuorumSince.IsZero() {
		a.noOldQuorumSince = at
	}
	return InForce(a.env.Revision, a.states, at.Sub(a.noOldQuorumSince))
}
