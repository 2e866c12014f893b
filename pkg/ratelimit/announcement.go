// Package ratelimit keeps the rate limits that endpoints announce in their answers. A
// limit is the number of requests a second that an endpoint takes from all instances
// together, for as long as it announces it.
package ratelimit

// Announcement is what an endpoint's answer says of its rate limit.
type Announcement struct {
	// Limited is true if the answer states a limit, and PerSecond is that limit.
	Limited   bool
	PerSecond float64
	// Err is set if the answer states a limit that can't be read. Such an answer
	// neither sets nor lifts a limit.
	Err error
}

// Key identifies one process of an endpoint. A restarted endpoint has another key.
type Key struct {
	Endpoint string
	// Born is the start of the process in Unix milliseconds; 0 if unknown.
	Born int64
}
