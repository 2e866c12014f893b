package sharedwatch

import (
	"log/slog"
	"time"
)

// Roles of an instance in a watch, as log lines show them.
const (
	roleDirect   = "direct"
	roleRelay    = "relay"
	roleFollower = "follower"
)

// role returns this instance's role.
func (s *Store) role() string {
	switch {
	case s.isRelay():
		return roleRelay
	case s.isShared():
		return roleFollower
	}
	return roleDirect
}

// Receiving reports whether this instance is receiving a response to its watch of a prefix.
func (s *Store) Receiving(prefix string) bool { return s.feed(prefix).receiving.Load() }

// State returns what is known of the watch of a prefix, for log lines.
func (s *Store) State(prefix string) slog.Attr {
	return slog.Group("watch", "role", s.role(), "rank", s.options.Rank(), s.feed(prefix).state(s.options.Now()))
}

// state returns the position of the watching caller, and what was received from the relays.
func (f *feed) state(now time.Time) slog.Attr {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(0)
	for i := range f.batches {
		newest = max(newest, f.batches[i].To)
	}
	return slog.Group("feed", "position", f.position, "newest_batch", newest, "last_batch_ms", now.Sub(f.lastReceived).Milliseconds(),
		"following", f.following, "relays_silent", f.relaysUnreachable)
}
