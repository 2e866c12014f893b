package kvmove

import "time"

const (
	// StopMargin is the part of the time until an endpoint stops that plans leave unused, so that the
	// last tokens arrive and a wrong estimate leaves time to move.
	StopMargin = 500 * time.Millisecond
	// finishShare is the largest share of the time until the stop that the rest of an answer may take.
	finishShare = 0.8
	// A stream is moved in the last part of the notice period: in reserveShare of it, but at least
	// minReserve and at most maxReserve.
	reserveShare = 0.33
	minReserve   = time.Second
	maxReserve   = 5 * time.Second
	// newsDelay is the time after which an instance is assumed to know of a registration. It wasn't measured
	// for registrations: a change of the configuration is in force at the slowest instance after 0.77 s.
	newsDelay = 500 * time.Millisecond
	// spreadShare is the share of the reserve over which the instances spread the begins of their moves:
	// the transfers from one endpoint run one after another.
	spreadShare = 0.3
)

// EndsInTime reports whether an answer whose rest takes a time is expected to end before its endpoint
// stops.
func EndsInTime(rest, left time.Duration) bool {
	return rest <= left-StopMargin && float64(rest) <= finishShare*float64(left)
}

// Reserve returns the last part of a notice period, in which streams are moved. Most answers end
// before then.
func Reserve(notice time.Duration) time.Duration {
	return min(max(time.Duration(float64(notice)*reserveShare), minReserve), maxReserve)
}

// StopsIn returns the time until an endpoint is expected to stop, of which the registration that has just
// become known says that it is leavesIn.
func StopsIn(leavesIn time.Duration) time.Duration { return max(0, leavesIn-newsDelay) }

// SpreadReserve returns the reserve of one stream, given a random number in [0, 1).
func SpreadReserve(notice time.Duration, random float64) time.Duration {
	return time.Duration((1 - spreadShare*random) * float64(Reserve(notice)))
}

// TransferTime returns the time in which a number of bytes is transferred at a rate in bytes per second.
func TransferTime(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}
