// Package fleet holds an entry's table of the endpoints. It is updated from the
// lagging instance list, reclaim notices, messages of peers and responses of
// endpoints. Routing reads immutable snapshots of it.
package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
)

// Endpoint is one endpoint as routing sees it. It is immutable.
type Endpoint struct {
	ID          string
	Addr        string
	Service     string
	DataCentre  string
	Class       string
	Reclaimable bool
	// Leaving is set by the first notice from any source and never cleared.
	Leaving bool
	// StopAt is when a leaving endpoint is stopped, on this process's clock; zero if unknown.
	StopAt time.Time
	// leavingCtx is cancelled on the first notice; all copies of the endpoint share it.
	leavingCtx context.Context
}

// OnLeaving calls f in its own goroutine once the endpoint is known to be leaving.
// The returned function cancels the call; it reports false if f has been started.
// For an endpoint that was not created by a Table, f is never called.
func (e *Endpoint) OnLeaving(f func()) (stop func() bool) {
	if e.leavingCtx == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(e.leavingCtx, f)
}

// notice is the leaving state of an endpoint, kept across snapshots.
type notice struct {
	leaving       bool
	stopAt        time.Time
	leavingCtx    context.Context
	cancelLeaving context.CancelFunc
	// seenAt is when the endpoint last appeared in a list or a notice.
	seenAt time.Time
}

// noticeRetention is how long a table keeps the notice of an endpoint that is no
// longer listed.
const noticeRetention = 10 * time.Minute

// Snapshot is an immutable view of all endpoints.
type Snapshot struct {
	// Endpoints is sorted by ID.
	Endpoints []*Endpoint
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
}

// ByID returns the endpoint with an ID.
func (s *Snapshot) ByID(id string) (*Endpoint, bool) {
	e, ok := s.byID[id]
	return e, ok
}

// Service returns the endpoints of a service, sorted by ID. The slice is shared and read-only.
func (s *Snapshot) Service(name string) []*Endpoint {
	return s.byService[name]
}

// Table holds the current endpoints. The zero value is not usable; call NewTable.
type Table struct {
	mu      sync.Mutex
	notices map[string]*notice
	byID    map[string]*Endpoint
	now     func() time.Time
	current atomic.Pointer[Snapshot]
	// listed is true once a list has shown an endpoint.
	listed atomic.Bool
	// onLeaving is called once per endpoint, when the first notice of it arrives.
	onLeaving func(id string, stopAt time.Time)
}

// NewTable returns an empty table that uses the given clock. onLeaving may be nil; it
// is called once for each leaving endpoint, without the table's lock held.
func NewTable(now func() time.Time, onLeaving func(id string, stopAt time.Time)) *Table {
	t := &Table{
		notices:   make(map[string]*notice),
		byID:      make(map[string]*Endpoint),
		now:       now,
		onLeaving: onLeaving,
	}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current view.
func (t *Table) Snapshot() *Snapshot {
	return t.current.Load()
}

// ApplyList replaces the endpoints by those of the platform's instance list. An
// endpoint known to be leaving remains leaving even if a stale list shows it as ready.
func (t *Table) ApplyList(list []cloud.Instance) {
	t.mu.Lock()
	seen := make(map[string]*Endpoint, len(list))
	var newlyLeaving []string
	for _, in := range list {
		if in.State == cloud.StateLeaving && t.markLocked(in.ID, in.StopAt) {
			newlyLeaving = append(newlyLeaving, in.ID)
		}
		if in.State == cloud.StateReady || in.State == cloud.StateLeaving {
			seen[in.ID] = t.fromInstance(in)
		}
	}
	if !sameEndpoints(t.byID, seen) {
		t.byID = seen
		t.publishLocked()
	}
	t.pruneLocked()
	t.mu.Unlock()
	if len(seen) > 0 {
		t.listed.Store(true)
	}
	for _, id := range newlyLeaving {
		t.notifyLeaving(id)
	}
}

// Listed reports whether any list has shown an endpoint. The list lags, so an empty
// one at the start of a process means that the endpoints are not known yet.
func (t *Table) Listed() bool { return t.listed.Load() }

// MarkLeaving records that an endpoint is leaving. It reports whether this is the
// first notice of it.
func (t *Table) MarkLeaving(id string, stopAt time.Time) bool {
	t.mu.Lock()
	first := t.markLocked(id, stopAt)
	if e, ok := t.byID[id]; ok && first {
		leaving := *e
		leaving.Leaving = true
		leaving.StopAt = stopAt
		t.byID[id] = &leaving
		t.publishLocked()
	}
	t.mu.Unlock()
	if first {
		t.notifyLeaving(id)
	}
	return first
}

// Leaving returns the IDs of the endpoints known to be leaving, with their stop times.
func (t *Table) Leaving() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Time)
	for id, n := range t.notices {
		if n.leaving {
			out[id] = n.stopAt
		}
	}
	return out
}

// notifyLeaving calls onLeaving for an endpoint.
func (t *Table) notifyLeaving(id string) {
	if t.onLeaving == nil {
		return
	}
	t.mu.Lock()
	at := t.noticeLocked(id).stopAt
	t.mu.Unlock()
	t.onLeaving(id, at)
}

// markLocked records a notice and reports whether it was the first of the endpoint.
func (t *Table) markLocked(id string, stopAt time.Time) bool {
	n := t.noticeLocked(id)
	if n.leaving {
		return false
	}
	n.leaving = true
	n.stopAt = stopAt
	n.cancelLeaving()
	return true
}

// noticeLocked returns the notice of an endpoint, creating it if there is none.
func (t *Table) noticeLocked(id string) *notice {
	n, ok := t.notices[id]
	if !ok {
		n = &notice{}
		n.leavingCtx, n.cancelLeaving = context.WithCancel(context.Background())
		t.notices[id] = n
	}
	n.seenAt = t.now()
	return n
}

// pruneLocked removes the notices of endpoints that have not appeared in a list or a
// notice for noticeRetention.
func (t *Table) pruneLocked() {
	now := t.now()
	for id, n := range t.notices {
		if now.Sub(n.seenAt) > noticeRetention {
			n.cancelLeaving()
			delete(t.notices, id)
		}
	}
}

// fromInstance returns the endpoint of a listed instance. The caller holds the lock.
func (t *Table) fromInstance(in cloud.Instance) *Endpoint {
	n := t.noticeLocked(in.ID)
	return &Endpoint{
		ID: in.ID, Addr: in.Addr, Service: in.Service, DataCentre: in.DataCentre,
		Class: in.Class, Reclaimable: in.Reclaimable, Leaving: n.leaving, StopAt: n.stopAt, leavingCtx: n.leavingCtx,
	}
}

// sameEndpoints reports whether two maps hold the same endpoints in the same state.
func sameEndpoints(a, b map[string]*Endpoint) bool {
	return maps.EqualFunc(a, b, func(x, y *Endpoint) bool { return *x == *y })
}

// publishLocked makes a new snapshot of the endpoints the current one.
func (t *Table) publishLocked() {
	s := &Snapshot{
		byID:      make(map[string]*Endpoint, len(t.byID)),
		byService: make(map[string][]*Endpoint),
	}
	for id, e := range t.byID {
		s.Endpoints = append(s.Endpoints, e)
		s.byID[id] = e
	}
	slices.SortFunc(s.Endpoints, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range s.Endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	t.current.Store(s)
}
