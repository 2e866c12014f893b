// Package lease ensures that at most one process at a time performs a duty. A lease
// is an object that its holder renews by conditional updates. Its fencing token grows
// with every holder. Clocks of other machines aren't trusted: for an observer the
// lease has expired when its version hasn't changed for the lease's duration on the
// observer's own clock, and a holder stops before that.
//
// Machine is a state machine without side effects; Lease runs it on an object store.
//
// Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency", SOSP 1989.
package lease

import (
	"math/rand/v2"
	"time"

	"github.com/medlarsill/medlarsill/pkg/elapsed"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Divisors of a lease's duration.
const (
	// marginDivisor gives the time by which a holder stops before the lease expires. It
	// covers clocks that run at different rates.
	marginDivisor = 10
	// renewDivisor gives the time after which a holder renews.
	renewDivisor = 3
	// jitterDivisor gives the time over which candidates spread their attempts.
	jitterDivisor = 4
	// pollJitterDivisor replaces jitterDivisor if Poll is set, as then only few candidates
	// poll.
	pollJitterDivisor = 16
)

// Record is the stored form of a lease.
type Record struct {
	// Holder names the process that holds the lease; it has a new name after each restart.
	Holder string `json:"holder"`
	// Owner names the instance on which the holder runs; "" if unknown.
	Owner string `json:"owner,omitempty"`
	// Fence is the fencing token. It grows with every holder.
	Fence uint64 `json:"fence"`
	// WriteID is unique to the write. After a lost response it shows whether the write took
	// effect.
	WriteID string `json:"write_id"`
	// Released is true if the holder has ended its work and released the lease.
	Released bool `json:"released,omitempty"`
	// History is the history number of the store when the record was written.
	History uint64 `json:"history,omitempty"`
}

// Stored is a record with the version of its object; version 0 means no object.
type Stored struct {
	Record
	Version uint64
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	// Wait means that there is nothing to do until After has passed.
	Wait ActionKind = iota
	// Read requests a read of the lease.
	Read
	// Write requests a conditional write of Record over Version.
	Write
)

// Action is the next call to the store that the machine requests.
type Action struct {
	Kind    ActionKind
	After   time.Duration
	Record  Record
	Version uint64
}

// Config configures a Machine.
type Config struct {
	// Self names this process. It must be unique, also after a restart.
	Self string
	// Owner names the instance and stays the same after a restart. Only one process may
	// run on an instance at a time, so a lease that an earlier one held is free for the
	// next one. It must be "" if that isn't guaranteed.
	Owner string
	// Duration is the time after which a lease expires without a renewal. It must be the
	// same for all candidates.
	Duration time.Duration
	// Poll is the interval at which a process that doesn't hold the lease reads it; 0
	// means once per Duration.
	Poll time.Duration
	// MinHold is the shortest time for which a lease must have been held to be released.
	// After a shorter hold it expires instead, so that the previous holder can't acquire
	// it again immediately.
	MinHold time.Duration
	Rand    *rand.Rand
	// WriteID returns a new unique string on each call.
	WriteID func() string
}

// Machine is the state of one lease as seen by one process. It isn't safe for concurrent
// use.
type Machine struct {
	Config
	// seen is the newest known state, and seenAt when it was first received. known is
	// false if the stored state may have changed unnoticed.
	known  bool
	seen   Stored
	seenAt time.Time
	// fence is the fencing token under which this process holds the lease; 0 if it
	// doesn't.
	fence uint64
	// renewedAt is when the last write that is known to have taken effect was started.
	renewedAt time.Time
	// acquiredAt is when the lease was acquired.
	acquiredAt time.Time
	// highestFence is the largest fencing token known from records or peers.
	highestFence uint64
	// pending holds the start time of each write whose outcome is unknown, by write id.
	pending map[string]time.Time
	// nextCallAt is when the next call to the store is due.
	nextCallAt time.Time
	// jitterDrawn is true once this candidate has drawn its delay for the current expiry.
	jitterDrawn bool
}

// NewMachine returns a Machine that hasn't read the lease yet.
func NewMachine(c Config) *Machine {
	return &Machine{Config: c, pending: make(map[string]time.Time)}
}

// usableTime returns how long after the start of a renewal the holder may act.
func (m *Machine) usableTime() time.Duration { return m.Duration - m.Duration/marginDivisor }

// Held returns the fencing token and the remaining time if this process holds the lease.
func (m *Machine) Held(now time.Time) (fence uint64, remaining time.Duration, ok bool) {
	remaining = m.usableTime() - elapsed.Between(m.renewedAt, now)
	if m.fence == 0 || remaining <= 0 {
		return 0, 0, false
	}
	return m.fence, remaining, true
}

// Next returns the next action. A candidate acquires a free lease.
func (m *Machine) Next(now time.Time, candidate bool) Action {
	m.expire(now)
	if wait := m.nextCallAt.Sub(now); wait > 0 {
		return Action{After: wait}
	}
	switch {
	case !m.known || len(m.pending) > 0:
		return Action{Kind: Read}
	case m.fence != 0:
		return m.write(now, m.fence, false)
	case !candidate || !m.isFree(now):
		return Action{Kind: Read}
	case !m.jitterDrawn && m.seen.Version != 0 && !m.isOwnRecord():
		m.jitterDrawn = true
		delay := m.jitter()
		m.nextCallAt = now.Add(delay)
		return Action{After: delay}
	}
	return m.write(now, m.nextFence(), false)
}

// expire ends a hold that wasn't renewed in time.
func (m *Machine) expire(now time.Time) {
	if _, _, ok := m.Held(now); !ok {
		m.fence = 0
	}
}

// isFree reports whether the lease can be acquired: it was released, was never held, was
// last held by this process or an earlier one on its instance, or hasn't changed for its
// duration.
// After a rollback of the store only the last condition counts, since a holder whose
// record was lost may still act.
func (m *Machine) isFree(now time.Time) bool {
	if m.rolledBack() || m.seen.Version == 0 && m.HighestFence() > 0 {
		return now.Sub(m.seenAt) >= m.Duration
	}
	return m.seen.Version == 0 || m.seen.Released || m.isOwnRecord() || now.Sub(m.seenAt) >= m.Duration
}

// isOwnRecord reports whether this process or an earlier one on its instance wrote the
// record.
func (m *Machine) isOwnRecord() bool {
	return m.seen.Holder == m.Self || m.Owner != "" && m.seen.Owner == m.Owner
}

// WasLastHolder reports whether, as far as known, this process or an earlier one on its
// instance was the last holder, and this process doesn't hold the lease now.
func (m *Machine) WasLastHolder(now time.Time) bool {
	_, _, held := m.Held(now)
	return !held && m.seen.Version != 0 && m.isOwnRecord()
}

// jitter returns a random delay that spreads the calls of the candidates.
func (m *Machine) jitter() time.Duration {
	divisor := jitterDivisor
	if m.Poll > 0 {
		divisor = pollJitterDivisor
	}
	return time.Duration(m.Rand.Int64N(int64(m.Duration) / int64(divisor)))
}

// write returns the action that writes a record with a fencing token.
func (m *Machine) write(now time.Time, fence uint64, released bool) Action {
	r := Record{Holder: m.Self, Owner: m.Owner, Fence: fence, WriteID: m.WriteID(), Released: released, History: objectstore.History(m.seen.Version)}
	m.pending[r.WriteID] = now
	return Action{Kind: Write, Record: r, Version: m.seen.Version}
}

// Release ends the hold and returns the write that releases the lease, or false if the
// lease isn't held or was acquired less than MinHold ago. The caller must have ended all
// work under the lease.
func (m *Machine) Release(now time.Time) (Action, bool) {
	fence, _, ok := m.Held(now)
	m.fence = 0
	if !ok || now.Sub(m.acquiredAt) < m.MinHold {
		return Action{}, false
	}
	return m.write(now, fence, true), true
}

// OnWritten records that a write took effect.
func (m *Machine) OnWritten(now time.Time, s Stored) { m.observe(now, s) }

// OnRejected records that a write had no effect. conflict is true if the version had
// changed.
func (m *Machine) OnRejected(now time.Time, writeID string, conflict bool) {
	if !conflict {
		delete(m.pending, writeID)
		m.scheduleRetry(now)
		return
	}
	// The conflict may be with an earlier write of this process whose response was lost:
	// read the lease.
	m.known = false
}

// OnUnknown records that the outcome of a write is unknown or that a read failed.
func (m *Machine) OnUnknown(now time.Time) {
	m.known = false
	m.scheduleRetry(now)
}

// scheduleRetry sets a random time for the next call after a failure.
func (m *Machine) scheduleRetry(now time.Time) {
	m.nextCallAt = now.Add(m.Duration/(2*renewDivisor*renewDivisor) + m.jitter()/renewDivisor)
}

// OnRead records the result of a read.
func (m *Machine) OnRead(now time.Time, s Stored) { m.observe(now, s) }

// observe updates the known state from the result of a read or write.
func (m *Machine) observe(now time.Time, s Stored) {
	m.known = true
	if s.Version == 0 && m.seen.Version != 0 {
		// Leases are never deleted, so the store has been rolled back.
		s.Record = m.seen.Record
		s.Holder, s.Owner, s.Released = "", "", false
	} else if s.Version < m.seen.Version {
		return
	}
	m.highestFence = m.HighestFence()
	before := m.seen
	if s.Version != m.seen.Version || m.seenAt.IsZero() {
		m.seen, m.seenAt, m.jitterDrawn = s, now, false
	}
	m.updateHold(now, before)
}

// updateHold updates from the stored state whether this process holds the lease.
func (m *Machine) updateHold(now time.Time, before Stored) {
	writeBegan, ownWrite := m.pending[m.seen.WriteID]
	clear(m.pending)
	switch {
	case ownWrite && before.Version == 0 && m.fenceMayBeReused():
		m.fence = 0 // a holder whose record was lost may have used this token
	case ownWrite && !m.seen.Released:
		m.recordHold(now, writeBegan)
	case m.seen.Holder != m.Self || m.seen.Fence != m.fence || m.seen.Released:
		m.fence = 0
	}
	m.nextCallAt = now.Add(m.nextDelay(now))
}

// recordHold records that a write of this process acquired or renewed the lease.
func (m *Machine) recordHold(now, began time.Time) {
	if m.fence != m.seen.Fence {
		m.acquiredAt = now
		m.fence = m.seen.Fence
	}
	m.renewedAt = began
}

// nextDelay returns the time until a holder renews or another process reads the lease.
func (m *Machine) nextDelay(now time.Time) time.Duration {
	if m.fence != 0 {
		return m.Duration / renewDivisor
	}
	if m.seen.Version == 0 || m.seen.Released {
		return m.jitter()
	}
	if m.isOwnRecord() {
		return 0
	}
	if m.Poll > 0 {
		return max(0, min(m.Poll, m.Duration-now.Sub(m.seenAt)))
	}
	return m.Duration + m.jitter()
}
