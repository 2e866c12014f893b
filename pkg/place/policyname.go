package place

// PolicyName is the name of a placement policy in an entry's settings.
type PolicyName string

// The placement policies. All but NameScore are baselines for comparison.
const (
	NameScore         PolicyName = "score"
	NameRoundRobin    PolicyName = "round_robin"
	NameLeastInFlight PolicyName = "least_in_flight"
	NamePrefixHash    PolicyName = "prefix_hash"
)

// PolicyNames lists all placement policies.
var PolicyNames = []PolicyName{NameScore, NameRoundRobin, NameLeastInFlight, NamePrefixHash}

// NewPlacer returns the placer with the given name. For NameScore that is the
// given Policy.
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
