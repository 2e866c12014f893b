package revision

import "time"

// Constants of the rule by which processes confirm through peers alone.
const (
	// minQuorum is the least number of voters, so that no process confirms alone.
	minQuorum = 2
	// quorumDivisor is the share of the group, one in three, that a quorum needs.
	quorumDivisor = 3
	// driftMargin covers the difference between the rates of two machines' clocks.
	driftMargin = MaxConfirmationAge / 100
)

// Quorum is the number of voters through which a process of a group confirms
// the newest revision while it can't reach the store.
func Quorum(group int) int {
	return max(minQuorum, (group+quorumDivisor-1)/quorumDivisor)
}

// EntryState is what is known of one registered entry after a change was
// stored. The entries must have been listed from the store after that.
type EntryState struct {
	ID string
	// Group is the group size in the entry's registration.
	Group int
	// Answered is true if the entry answered; Answer is then its newest one.
	Answered bool
	Answer   Answer
	// Stopped is true if the platform's list and the entry's peers both say that it is gone.
	Stopped bool
}

// Verdict tells whether a stored change is in force everywhere.
type Verdict struct {
	// InForce is true if no process can take new work under an older revision.
	InForce bool
	// Missing lists the entries that aren't known to have it.
	Missing []string
	// Wait is how long after Held the change will be in force without any further
	// answer; 0 if it needs further answers or none.
	Wait time.Duration
	// Held is true if every entry but a number too small for a quorum has the change.
	Held bool
}

// InForce judges a change. held is the time since the verdict was first Held,
// on the caller's clock; 0 at first. The rule:
//
// Each entry has the change, has stopped, or is silent. A silent entry that
// can't reach the store confirms only through a quorum of voters. The entries
// that have the change would tell it, so the quorum could only be made of
// silent ones. If they are fewer than the quorum of each of them, every silent
// one has refused new work after FreshLimit. A process that isn't registered
// needs the same quorum; an entry that was asked by one reports it, and waits
// for FreshLimit before it removes its registration. What an entry was asked
// that has stopped unplanned isn't known.
func InForce(revision uint64, entries []EntryState, held time.Duration) Verdict {
	var v Verdict
	strangers := false
	quorum := 0
	for _, e := range entries {
		switch {
		case e.Answered && e.Answer.Revision >= revision:
			strangers = strangers || e.Answer.Strangers
		case e.Stopped:
			strangers = true
		default:
			v.Missing = append(v.Missing, e.ID)
			if q := Quorum(e.Group); quorum == 0 || q < quorum {
				quorum = q
			}
		}
	}
	v.Held = len(v.Missing) == 0 || len(v.Missing) < quorum
	if !v.Held {
		return v
	}
	if len(v.Missing) > 0 || strangers {
		v.Wait = MaxConfirmationAge + driftMargin
	}
	v.InForce = held >= v.Wait
	return v
}
