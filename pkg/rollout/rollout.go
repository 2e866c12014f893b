// Package rollout moves the traffic of a service to endpoints of another version of its
// software, when an operator orders it, and back if that version is worse. One instance, the
// holder of the duties, decides (Machine). All instances count what the versions answer, tell
// each other, and choose for each request which versions may get it (Registry).
package rollout

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// State is the state of an order, as its status says.
type State string

// The states of an order. The empty state means that no status was written.
const (
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "rolled back"
)

// Status is what the system writes about an order.
type Status struct {
	State State
	// To is the version that the status is about.
	To string
}

// Order is an operator's order to move a service to a version.
type Order struct {
	// Name is the name of the object that holds the order, Version the version of the object.
	Name    string
	Version uint64
	Service string
	// To is the ordered version.
	To       string
	Duration time.Duration
	// Created is the object's creation, as the store says it; 0 if it doesn't.
	Created int64
	Status  Status
	// Spec is the order as the operator wrote it. It is repeated when the status is written.
	Spec []byte
}

// ID identifies an order, in all its versions in the store. 0 means none.
type ID uint64

// ID returns the order's identity.
func (o Order) ID() ID { return identity(o.Service, o.To, o.Duration, o.Created) }

// identity returns the identity of an order. Lengths are included, so that no two sequences of
// texts have the same input.
func identity(service, to string, duration time.Duration, created int64) ID {
	var text []byte
	for _, s := range []string{service, to} {
		text = binary.BigEndian.AppendUint32(text, uint32(len(s)))
		text = append(text, s...)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(duration))
	text = binary.BigEndian.AppendUint64(text, uint64(created))
	return ID(max(1, xxhash.Sum64(text)))
}

// ended reports whether the status says that the order has ended.
func (o Order) ended() bool {
	return o.Status.To == o.To && (o.Status.State == Done || o.Status.State == RolledBack)
}

// sameTerms reports whether two orders ask for the same.
func (o Order) sameTerms(p Order) bool {
	return o.Service == p.Service && o.To == p.To && o.Duration == p.Duration
}

// history returns the history of the store that the order was read from.
func (o Order) history() uint64 { return objectstore.History(o.Version) }

// Config holds the bounds on what a bad version may get.
type Config struct {
	// Share is the largest share of a service's requests that a bad version may get, and Slack
	// the number of further requests.
	Share float64
	Slack float64
	// Rollback is the longest time after a number of bad answers until nothing is sent to it.
	Rollback time.Duration
}

// minValidity is the shortest validity of a directive: a shorter one would lapse before the reports on it
// reach the holder among many instances, and no order would be done.
const minValidity = 1500 * time.Millisecond

// validity returns the time after its issue in which a directive holds. It leaves half of the time
// until a bad version may get nothing to notice that it is bad.
func (c Config) validity() time.Duration {
	if c.Rollback <= 0 {
		return Validity
	}
	return max(minValidity, min(Validity, c.Rollback/2))
}

// Errors of writes of a status.
var (
	// ErrConflict means that the order has changed since it was read; nothing was written.
	ErrConflict = eris.New("rollout: order changed")
	// ErrUnknown means that the status may have been written or not.
	ErrUnknown = eris.New("rollout: outcome of the status unknown")
	// ErrUnavailable means that the status was not written.
	ErrUnavailable = eris.New("rollout: store unavailable")
)

// Times of directives.
const (
	// Validity is the time after its issue in which a directive holds, unless Config.Rollback calls for
	// a shorter one. Without a directive, nothing is sent to the new version.
	Validity = 2 * time.Second
	// hopDelay is added to a directive's age for each instance that passes it on: the time that
	// a datagram takes isn't part of the age that it states.
	hopDelay = 10 * time.Millisecond
)
