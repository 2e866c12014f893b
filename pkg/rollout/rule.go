package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// kind is what a choice lets a request use.
type kind int

const (
	// byDefault is a request that isn't part of the small share.
	byDefault kind = iota
	// candidate is a request of the small share for the new version.
	candidate
	// bound is a request that goes on at the version that began it.
	bound
)

// rule says which versions of a service may get requests. It is immutable.
type rule struct {
	// stage is that of the order; 0 if none is in force. order and to name it.
	stage Stage
	order ID
	to    string
	// refused holds the versions of earlier orders, which get nothing. Without an order only those
	// in admitted get requests: of others it isn't known yet whether an order names them.
	refused, admitted map[string]bool
	// baseline holds the versions that were in force when the order came; empty if not known.
	baseline map[string]bool
	// share and validUntil are those of the directive, and stopped is true if this instance has found
	// the new version to be bad.
	share      float64
	validUntil time.Time
	stopped    bool
	// observed holds the ids of the new endpoints that the small share goes to.
	observed map[string]bool
}

// offers reports whether the new version gets a small share of the requests now.
func (r *rule) offers(now time.Time) bool {
	return r.stage == Observing && r.share > 0 && !r.stopped && len(r.observed) > 0 && now.Before(r.validUntil)
}

// moves reports whether all requests go to the new version now.
func (r *rule) moves(now time.Time) bool {
	return r.stage == Moving && !r.stopped && now.Before(r.validUntil)
}

// permits reports whether a request may be sent to an endpoint.
func (r *rule) permits(k kind, id, version string, now time.Time) bool {
	switch {
	case r.refused[version]:
		return false
	case r.stage == Finished:
		return version == r.to
	case r.stage == Reverted, r.stage == Withdrawn:
		return version != r.to && r.wasInForce(version)
	case r.stage == 0:
		return r.admitted[version]
	case r.inForce():
		return true
	case version == r.to:
		return r.permitsNew(k, id, now)
	case !r.wasInForce(version):
		return false
	}
	return k != candidate && (k == bound || !r.moves(now))
}

// wasInForce reports whether a version was in force when the order came, as far as that is known.
func (r *rule) wasInForce(version string) bool { return len(r.baseline) == 0 || r.baseline[version] }

// inForce reports whether the ordered version is the only one in force.
func (r *rule) inForce() bool { return len(r.baseline) == 1 && r.baseline[r.to] }

// permitsNew reports whether a request may be sent to an endpoint of the new version.
func (r *rule) permitsNew(k kind, id string, now time.Time) bool {
	if r.moves(now) {
		return true
	}
	return r.offers(now) && (k == bound || k == candidate && r.observed[id])
}

// observedEndpoints returns the ids of the endpoints of a version that get the small share: as few
// as that share of the others, so that these see usual load. All instances choose the same.
func observedEndpoints(list []*endpoints.Endpoint, to string, share float64) map[string]bool {
	var ids []string
	others := 0
	for _, e := range list {
		if e.Version() == to {
			ids = append(ids, e.ID)
		} else {
			others++
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	count := min(len(ids), max(1, int(math.Ceil(share*float64(others)))))
	out := make(map[string]bool, count)
	for _, id := range ids[:count] {
		out[id] = true
	}
	return out
}
