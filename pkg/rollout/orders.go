package rollout

import (
	"log/slog"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// returnGrace is the time after a rollback of the store in which a missing order stays in
	// force: the operator writes the lost objects again within some seconds.
	returnGrace = 8 * time.Second
	// maxPast is the number of replaced or withdrawn orders of a service that are remembered.
	maxPast = 8
)

// Decode decodes an order from its object in the store. It returns an error if it isn't one.
type Decode func(key string, version uint64, value []byte) (Order, error)

// orders holds the orders in the store, by key. It isn't safe for concurrent use.
type orders struct {
	decode Decode
	log    *slog.Logger
	now    func() time.Time
	known  map[string]Order
	// missing holds since when orders are missing in a store that was rolled back.
	missing map[string]time.Time
	// past holds the orders of each service that were replaced or withdrawn, newest last.
	past map[string][]Order
	// ignored holds why objects are ignored, by key, to log each reason once.
	ignored map[string]string
	// stored is the highest version of the store that was seen.
	stored uint64
	// rolledBackAt is when the store was last seen to be rolled back; zero if it wasn't.
	rolledBackAt time.Time
}

func newOrders(decode Decode, log *slog.Logger, now func() time.Time) *orders {
	return &orders{
		decode: decode, log: log, now: now, known: make(map[string]Order), missing: make(map[string]time.Time),
		past: make(map[string][]Order), ignored: make(map[string]string),
	}
}

// apply takes changes in.
func (o *orders) apply(c objectstore.Changes) {
	rolledBack := o.stored != 0 && objectstore.History(c.Version) > objectstore.History(o.stored)
	o.stored = max(o.stored, c.Version)
	if rolledBack {
		o.rolledBackAt = o.now()
	}
	listed := make(map[string]bool)
	for _, object := range c.Objects {
		listed[object.Key] = true
		if object.Deleted {
			o.withdraw(object.Key)
			continue
		}
		o.put(object)
	}
	if !c.Reset {
		return
	}
	for key := range o.known {
		if listed[key] {
			continue
		}
		if _, already := o.missing[key]; rolledBack || already {
			o.miss(key)
			continue
		}
		o.withdraw(key)
	}
}

// miss records that an order is missing in a store that was rolled back.
func (o *orders) miss(key string) {
	if _, already := o.missing[key]; !already {
		o.missing[key] = o.now()
		o.log.Info("rollout order missing after rollback of the store", "key", key, "grace_ms", returnGrace.Milliseconds())
	}
}

// expire withdraws the orders that were not written again in time. They aren't remembered: the operator
// may write them later.
func (o *orders) expire() {
	for key, since := range o.missing {
		if o.now().Sub(since) > returnGrace {
			o.log.Info("rollout order withdrawn", "service", o.known[key].Service, "to", o.known[key].To, "reason", "not written again")
			delete(o.known, key)
			delete(o.missing, key)
		}
	}
}

// put takes one object in. One that isn't an order changes nothing.
func (o *orders) put(object objectstore.Object) {
	order, err := o.decode(object.Key, object.Version, object.Value)
	if err != nil {
		o.ignore(object.Key, err.Error())
		return
	}
	known, ok := o.known[object.Key]
	if ok && order.Version < known.Version {
		return
	}
	if ok && order.sameTerms(known) && order.history() > known.history() {
		order.Created = known.Created // the operator's object, from a copy or written again
	}
	if o.isStale(order) {
		o.ignore(object.Key, "replaced order from an older copy of the store")
		if ok {
			o.miss(object.Key)
		}
		return
	}
	delete(o.ignored, object.Key)
	delete(o.missing, object.Key)
	if ok && known.ID() != order.ID() {
		o.remember(known)
		o.log.Info("rollout order replaced", "service", order.Service, "from", known.To, "to", order.To, "version", order.Version)
	}
	if !ok {
		o.log.Info("rollout ordered", "service", order.Service, "to", order.To, "duration_ms", order.Duration.Milliseconds(), "version", order.Version, "state", string(order.Status.State))
	}
	o.known[object.Key] = order
}

// isStale reports whether an order was replaced before the store was rolled back to a copy that
// still has it.
func (o *orders) isStale(order Order) bool {
	for _, p := range o.past[order.Service] {
		if p.sameTerms(order) && order.history() > p.history() && (p.Created == order.Created || order.Created == 0) {
			return true
		}
	}
	return false
}

func (o *orders) ignore(key, reason string) {
	if o.ignored[key] != reason {
		o.ignored[key] = reason
		o.log.Warn("rollout order ignored", "key", key, "reason", reason)
	}
}

// withdraw removes an order.
func (o *orders) withdraw(key string) {
	delete(o.ignored, key)
	delete(o.missing, key)
	known, ok := o.known[key]
	if !ok {
		return
	}
	delete(o.known, key)
	o.remember(known)
	o.log.Info("rollout order withdrawn", "service", known.Service, "to", known.To)
}

func (o *orders) remember(order Order) {
	list := append(o.past[order.Service], order)
	o.past[order.Service] = list[max(0, len(list)-maxPast):]
}

// incomplete reports whether the store may lack orders that the operator writes again.
func (o *orders) incomplete() bool {
	return !o.rolledBackAt.IsZero() && o.now().Sub(o.rolledBackAt) <= returnGrace
}

// byService returns the order of each service. Of several, it is the one in the object that is
// named after the service, or else the first by name.
func (o *orders) byService() map[string]Order {
	out := make(map[string]Order, len(o.known))
	for _, order := range o.known {
		other, ok := out[order.Service]
		if !ok || order.Name == order.Service || other.Name != order.Service && order.Name < other.Name {
			out[order.Service] = order
		}
	}
	return out
}

// isMissing reports whether the store has lost an order that still is in force.
func (o *orders) isMissing(order Order) bool {
	for key, known := range o.known {
		if _, lost := o.missing[key]; lost && known.ID() == order.ID() {
			return true
		}
	}
	return false
}
