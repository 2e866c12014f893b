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
