package revision

import "time"

// Parameters of quorums.
const (
	// minQuorum is the smallest quorum, so that no process confirms alone.
	minQuorum = 2
	// quorumDivisor sets the share of the group that a quorum needs: one in three.
	quorumDivisor = 3
	// driftMargin covers different clock rates of two machines.
	driftMargin = MaxConfirmationAge / 100
)

// Quorum returns the number of voters that a process of a group of the given size
// needs to confirm the newest revision while it can't reach the store.
func Quorum(group int) int {
	return max(minQuorum, (group+quorumDivisor-1)/quorumDivisor)
}

// EntryState is the state of one registered entry with respect to a stored change.
// The entries must have been listed from the store after the change was stored.
type EntryState struct {
	ID string
	// Group is the group size in the entry's registration.
	Group int
	// Answered is true if the entry has answered; Answer is then its latest answer.
	Answered bool
	Answer   Answer
	// Stopped is true if both the platform's list and the entry's peers report it as gone.
	Stopped bool
}

// RolloutStatus reports whether a stored change is in force everywhere.
type RolloutStatus struct {
	// InForce is true if no process can accept new work under an older revision.
	InForce bool
	// Missing lists the ids of the entries that aren't known to have the change.
	Missing []string
	// Wait is the time from NoOldQuorum until the change is in force even without
	// further answers; 0 if NoOldQuorum is false or no wait is needed.
	Wait time.Duration
	// NoOldQuorum is true if the entries without the change are too few for a quorum.
	NoOldQuorum bool
}

// InForce returns the rollout status of a change. noOldQuorumFor is the time since
// NoOldQuorum first became true, by the caller's clock; 0 at first. The rule:
//
// Each entry has the change, has stopped, or is unreachable. An unreachable entry that
// can't reach the store confirms its revision only through a quorum of voters. An entry
// with the change answers with the higher revision and so prevents the confirmation; the
// quorum would have to consist of unreachable entries. If there are fewer of them than
// the smallest quorum that one of them needs, none can confirm the older revision, and
// each refuses new work after MaxConfirmationAge.
//
// A process that isn't registered needs a quorum too. An entry that such a process
// has asked reports that, and keeps its registration for MaxConfirmationAge when it
// stops. An entry that has stopped without notice may have been asked too, so it
// counts as one that was.
func InForce(revision uint64, entries []EntryState, noOldQuorumFor time.Duration) RolloutStatus {
	var status RolloutStatus
	nonVotersAsked := false
	smallestQuorum := 0
	for _, e := range entries {
		switch {
		case e.Answered && e.Answer.Revision >= revision:
			nonVotersAsked = nonVotersAsked || e.Answer.Strangers
		case e.Stopped:
			nonVotersAsked = true
		default:
			status.Missing = append(status.Missing, e.ID)
			if q := Quorum(e.Group); smallestQuorum == 0 || q < smallestQuorum {
				smallestQuorum = q
			}
		}
	}
	status.NoOldQuorum = len(status.Missing) == 0 || len(status.Missing) < smallestQuorum
	if !status.NoOldQuorum {
		return status
	}
	if len(status.Missing) > 0 || nonVotersAsked {
		status.Wait = MaxConfirmationAge + driftMargin
	}
	status.InForce = noOldQuorumFor >= status.Wait
	return status
}
