package overload

// Announcement is what an endpoint's answer says of its sensitivity to overload.
type Announcement struct {
	// Sensitive is true if the answer says that the endpoint fails when it has to refuse more
	// than PerSecond requests a second for want of room.
	Sensitive bool
	PerSecond float64
	// Err is set if the answer states a number that can't be read. Such an answer changes
	// nothing.
	Err error
}
