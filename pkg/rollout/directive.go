package rollout

import (
	"slices"
	"time"
)

// Stage is how far an order has got.
type Stage int

// The stages of an order.
const (
	// Observing gives a small share of the requests to the new version.
	Observing Stage = iota + 1
	// Moving gives all requests to the new version, while requests at others go on.
	Moving
	// Finished is the end of an order whose version has taken over.
	Finished
	// Reverted is the end of an order whose version is bad or did not come.
	Reverted
	// Withdrawn is the end of an order that the operator has taken back.
	Withdrawn
)

// String returns the name of the stage as logs show it.
func (s Stage) String() string {
	if s < Observing || s > Withdrawn {
		return "none"
	}
	return [...]string{"observing", "moving", "finished", "reverted", "withdrawn"}[s-Observing]
}

// terminal reports whether the order has ended.
func (s Stage) terminal() bool { return s >= Finished }

// decided reports whether the stage stays whatever a holder says later.
func (s Stage) decided() bool { return s == Finished || s == Reverted }

// Directive is what the holder of the duties decides about one service. A terminal stage and the
// lists of versions hold for good; the rest of the directive holds for Validity.
type Directive struct {
	_       struct{} `cbor:",toarray"`
	Service string
	To      string
	// DurationMS and Created belong to the order's identity, Version to its object.
	DurationMS int64
	Created    int64
	Version    uint64
	// Holder is the id of the instance that decides, Fence its fencing token, and Seq counts its
	// directives.
	Holder     string
	Fence, Seq uint64
	Stage      Stage
	// Share is the share of the requests for the new version while it is observed.
	Share float64
	// SeenMS is when the order was first seen, in Unix milliseconds of the true time.
	SeenMS int64
	// AgeMS is the time in milliseconds since the issue.
	AgeMS int64
	// Baseline holds the versions that were in force when the order came, Dropped those of
	// earlier orders that get no requests.
	Baseline []string
	Dropped  []string
}

// order returns the order's identity.
func (d *Directive) order() ID {
	return identity(d.Service, d.To, time.Duration(d.DurationMS)*time.Millisecond, d.Created)
}

// newerThan reports whether a directive replaces another one, which may be nil.
func (d *Directive) newerThan(o *Directive) bool {
	if o == nil || d.Fence != o.Fence {
		return o == nil || d.Fence > o.Fence
	}
	return d.Seq > o.Seq
}

// Bounds of what a directive of a peer may hold.
const (
	maxVersions  = 8
	maxNameBytes = 256
	// directiveBytes is what a directive takes beside its names.
	directiveBytes = 80
)

// size returns about how many bytes a directive takes in a message.
func (d *Directive) size() int {
	size := directiveBytes
	for _, name := range append([]string{d.Service, d.To, d.Holder}, slices.Concat(d.Baseline, d.Dropped)...) {
		size += len(name) + 2
	}
	return size
}

// valid reports whether a peer's directive can be used.
func (d *Directive) valid() bool {
	names := append([]string{d.Service, d.To, d.Holder}, slices.Concat(d.Baseline, d.Dropped)...)
	long := slices.ContainsFunc(names, func(n string) bool { return len(n) > maxNameBytes })
	return !long && d.Service != "" && d.To != "" && d.Stage >= Observing && d.Stage <= Withdrawn &&
		d.Share >= 0 && d.Share <= 1 && d.AgeMS >= 0 && len(d.Baseline) <= maxVersions && len(d.Dropped) <= maxVersions
}
