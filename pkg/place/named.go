package place

// Name names a policy that a process's settings choose.
type PolicyName string

// The policies. All but NameScore are baselines for measurements.
const (
	NameScore         PolicyName = "score"
	NameRoundRobin    PolicyName = "round_robin"
	NameLeastInFlight PolicyName = "least_in_flight"
	NamePrefixHash    PolicyName = "prefix_hash"
)

// Names lists the policies.
var PolicyNames = []PolicyName{NameScore, NameRoundRobin, NameLeastInFlight, NamePrefixHash}

// Named returns the placer with a name; the score is that of the given policy.
func NewPlacer(name PolicyName, score *Policy) Placer {
	switch name {
	case NameRoundRobin:
		return NewRoundRobin()
	case NameLeastInFlight:
		return NewLeastInFlight()
	case NamePrefixHash:
		return NewPrefixHash()
	}
	return score
}
