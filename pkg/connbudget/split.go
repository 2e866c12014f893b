package connbudget

// The parts of an instance's descriptors.
const (
	// reservedFDs are kept for files, the log and the listeners; at most a quarter of all.
	reservedFDs      = 200
	maxReservedShare = 4
	// Divisors of the rest: a third for callers, a sixth for peers that forward requests, and a
	// twenty-fourth each for metrics and readiness. Five twelfths are left for the connections to
	// endpoints, peers and the platform, as each request in progress needs one of them.
	callerDivisor     = 3
	peerDivisor       = 6
	operationsDivisor = 24
	// leastConns is the smallest bound.
	leastConns = 4
)

// Shares are the largest numbers of incoming connections; 0 means no bound.
type Shares struct {
	Callers, Peers, Metrics, Readiness int
}

// Split returns the shares of an instance with a number of descriptors; 0 means that it is unknown.
func Split(maxFDs int) Shares {
	if maxFDs <= 0 {
		return Shares{}
	}
	rest := maxFDs - min(reservedFDs, maxFDs/maxReservedShare)
	part := func(divisor int) int { return max(leastConns, rest/divisor) }
	return Shares{Callers: part(callerDivisor), Peers: part(peerDivisor), Metrics: part(operationsDivisor), Readiness: part(operationsDivisor)}
}
