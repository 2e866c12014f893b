package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

// maxDeparted bounds the number of departed endpoints, and of drained ones, that are remembered.
const maxDeparted = 100_000

// Table holds the registered endpoints. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	all    map[string]*Endpoint
	expiry map[string]time.Time
	// departed holds the process start of each endpoint that was leaving and has been
	// removed, by id, so that an old copy of its registration doesn't add it again.
	departed map[string]int64
	// drained holds the registrations of the processes that have said that they are
	// leaving, with the key alone if they weren't registered then. Their next registrations may not
	// say so.
	drained map[Key]Info
	// confirmed holds the builds that are recorded where streams begin; nil if that isn't known.
	confirmed map[Build]bool
	lists     atomic.Pointer[map[string][]*Endpoint]
	// settledFrom is the time from which on registrations tell which processes answer; zero if the
	// store was never away.
	settledFrom time.Time
	// batches is the number of batches in progress, and changed is true if one has changed registrations.
	batches int
	changed bool
	// onChange is called after each change, without the lock.
	onChange func()
}

// NewTable returns an empty table. onChange is called after each change.
func NewTable(onChange func()) *Table {
	t := &Table{all: make(map[string]*Endpoint), expiry: make(map[string]time.Time), departed: make(map[string]int64), drained: make(map[Key]Info), onChange: onChange}
	t.lists.Store(&map[string][]*Endpoint{})
	return t
}

// Service returns the endpoints of a service that accept new requests, sorted by id. Those
// whose build isn't confirmed yet are left out while others are. The caller must not modify
// the slice.
func (t *Table) Service(name string) []*Endpoint { return (*t.lists.Load())[name] }

// Confirm sets the builds that are recorded where streams begin. A new build takes requests
// once it is confirmed, or if its service has no endpoint of a confirmed one.
func (t *Table) Confirm(list []Build) {
	t.mu.Lock()
	t.confirmed = make(map[Build]bool, len(list))
	for _, b := range list {
		t.confirmed[b] = true
	}
	t.rebuild()
	t.mu.Unlock()
	t.onChange()
}

// isConfirmed reports whether an endpoint's build is confirmed. One without a version has a
// build of its own, which never is recorded. The caller holds the lock.
func (t *Table) isConfirmed(e *Endpoint) bool {
	return t.confirmed == nil || e.Info().Version == "" || t.confirmed[e.build]
}

// ByID returns the endpoint registered under an id.
func (t *Table) ByID(id string) (*Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.all[id]
	return e, ok
}

// Replaced reports whether the id of an endpoint is registered for another build than its own.
func (t *Table) Replaced(e *Endpoint) bool {
	registered, ok := t.ByID(e.ID)
	return ok && registered.Build() != e.Build()
}

// All returns every registered endpoint, sorted by id.
func (t *Table) All() []*Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(maps.Values(t.all), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Leaving returns the registered endpoints of a service that accept no new requests, in any order.
func (t *Table) Leaving(name string) []*Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaving []*Endpoint
	for _, e := range t.all {
		if e.Service == name && e.Info().Leaving {
			leaving = append(leaving, e)
		}
	}
	return leaving
}

// OtherAddrs returns the addresses of the other registered endpoints, in an order that is
// different for each address.
func (t *Table) OtherAddrs(addr string) []string {
	var addrs []string
	for _, e := range t.All() {
		if e.Addr != addr {
			addrs = append(addrs, e.Addr)
		}
	}
	key := rendezvous.Key(addr)
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Compare(rendezvous.HashWeight(key, rendezvous.Key(a)), rendezvous.HashWeight(key, rendezvous.Key(b)))
	})
	return addrs
}

// Batch calls a function that puts and removes registrations, and rebuilds the lists once for all of
// them: with thousands of endpoints that takes a millisecond.
func (t *Table) Batch(apply func()) {
	t.mu.Lock()
	t.batches++
	t.mu.Unlock()
	apply()
	t.mu.Lock()
	t.batches--
	changed := t.changed && t.batches == 0
	if changed {
		t.changed = false
		t.rebuild()
	}
	t.mu.Unlock()
	if changed {
		t.onChange()
	}
}

// change changes registrations and rebuilds the lists, unless a batch does so at its end.
func (t *Table) change(apply func()) {
	t.mu.Lock()
	apply()
	inBatch := t.batches > 0
	if inBatch {
		t.changed = true
	} else {
		t.rebuild()
	}
	t.mu.Unlock()
	if !inBatch {
		t.onChange()
	}
}

// Put adds or updates a registration, unless it is of a departed process.
func (t *Table) Put(i Info) { t.change(func() { t.put(i) }) }

func (t *Table) put(i Info) {
	if born, left := t.departed[i.ID]; left && born == i.Born {
		return
	}
	if said, ok := t.drained[i.key()]; ok && (said.Addr == "" || said.sameProcess(i)) {
		i.Leaving = true
	}
	delete(t.expiry, i.ID)
	existing, ok := t.all[i.ID]
	if ok && existing.Info().sameProcess(i) {
		existing.update(i)
		return
	}
	if ok {
		existing.markLeaving()
	}
	t.all[i.ID] = newEndpoint(i)
}

// MarkLeaving marks an endpoint as accepting no new requests, whatever its registration
// says from now on. It reports whether that is news.
func (t *Table) MarkLeaving(e *Endpoint) bool {
	i := e.Info()
	if !t.recordDrained(i) {
		return false
	}
	e.markLeaving()
	t.mu.Lock()
	if registered, ok := t.all[i.ID]; ok && registered.Info().sameProcess(i) {
		registered.markLeaving()
	}
	t.rebuild()
	t.mu.Unlock()
	t.onChange()
	return !i.Leaving
}

// MarkKeyLeaving marks the endpoint of a process as MarkLeaving does, also if the process is registered
// later. One whose start is unknown can be told from others only while it is registered.
func (t *Table) MarkKeyLeaving(k Key) {
	if e, ok := t.ByKey(k); ok {
		t.MarkLeaving(e)
		return
	}
	if k.Born != 0 {
		t.recordDrained(Info{ID: k.ID, Born: k.Born})
	}
}

// ByKey returns the endpoint of a process, if it is registered.
func (t *Table) ByKey(k Key) (*Endpoint, bool) {
	e, ok := t.ByID(k.ID)
	return e, ok && e.Key() == k
}

// recordDrained records that a process has said that it is leaving. It reports whether
// that wasn't recorded before.
func (t *Table) recordDrained(i Info) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	said, known := t.drained[i.key()]
	if known && said.sameProcess(i) {
		return false
	}
	if len(t.drained) < maxDeparted {
		t.drained[i.key()] = i
	}
	return true
}

// Remove removes a registration.
func (t *Table) Remove(id string) { t.change(func() { t.remove(id) }) }

func (t *Table) remove(id string) {
	if e, ok := t.all[id]; ok {
		if e.Info().Leaving && e.born != 0 && len(t.departed) < maxDeparted {
			t.departed[id] = e.born
		}
		e.markLeaving()
	}
	delete(t.all, id)
	delete(t.expiry, id)
}

// ExpireAt marks a registration as missing: Expire removes it after the given time
// unless Put adds it again. If it is already marked, the earlier time stays.
func (t *Table) ExpireAt(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.all[id]; !ok {
		return
	}
	if _, ok := t.expiry[id]; !ok {
		t.expiry[id] = until
	}
}

// Expire removes the endpoints whose time set by ExpireAt has passed and returns their ids.
func (t *Table) Expire(now time.Time) (removed []string) {
	t.mu.Lock()
	for id, until := range t.expiry {
		if now.After(until) {
			removed = append(removed, id)
			t.remove(id)
		}
	}
	if len(removed) > 0 {
		t.rebuild()
	}
	t.mu.Unlock()
	if len(removed) > 0 {
		t.onChange()
	}
	return removed
}

// Replace applies a full list of registrations and returns the registered ids that are
// missing from it. These stay registered until they are removed or expire.
func (t *Table) Replace(list []Info) (missing []string) {
	t.mu.Lock()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		t.put(i)
	}
	for id := range t.all {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	t.rebuild()
	t.mu.Unlock()
	t.onChange()
	return missing
}

// rebuild rebuilds the lists returned by Service. The caller holds the lock.
func (t *Table) rebuild() {
	lists := make(map[string][]*Endpoint)
	for _, e := range t.all {
		if !e.Info().Leaving {
			lists[e.Service] = append(lists[e.Service], e)
		}
	}
	for service, list := range lists {
		if slices.ContainsFunc(list, t.isConfirmed) {
			lists[service] = slices.DeleteFunc(list, func(e *Endpoint) bool { return !t.isConfirmed(e) })
		}
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.lists.Store(&lists)
}
