package rollout

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// StepInterval is the time between two steps: directives are as recent as datagrams are.
	StepInterval = 200 * time.Millisecond
	// clockMargin is the part of a directive's validity that isn't relied on, as clocks run at
	// different rates and instances look at them at intervals.
	clockMargin = 100 * time.Millisecond
	// findInterval is the time between two searches for instances that have ended.
	findInterval = 500 * time.Millisecond
)

// Lease is the lease of the duties.
type Lease interface {
	Held() (fence uint64, ok bool)
	Do(ctx context.Context, needs time.Duration, action func(ctx context.Context, fence uint64) error) error
}

// HolderOptions configures a Holder. All fields are required.
type HolderOptions struct {
	Registry *Registry
	Lease    Lease
	Store    objectstore.Store
	Statuses StatusWriter
	// Key returns the key of the object that holds an order.
	Key func(o Order) string
	// Self is this instance's id, and Members returns the ids of all instances that may serve, this
	// one included. FindEnded finds out which have ended.
	Self      string
	Members   func() []string
	FindEnded func(ctx context.Context)
	// Known reports whether the endpoints were read.
	Known func() bool
	Log   *slog.Logger
	Now   func() time.Time
	// TrueTime returns the time that all instances agree on.
	TrueTime func() time.Time
}

// Holder carries out the orders while this process holds the lease of the duties.
type Holder struct {
	HolderOptions

	mu sync.Mutex
	// fence is the token under which the progress was loaded; 0 if it wasn't.
	fence    uint64
	seq      uint64
	machines map[string]*Machine
	// issued holds when the latest directives were issued, by sequence number.
	issued map[uint64]time.Time
	// writing holds the services of which a status is being written, tried when one was last tried.
	writing map[string]bool
	tried   map[string]time.Time
	unsaved bool
	saving  bool
	stored  lease.State
	// loadedAt, savedAt and foundAt are when the progress was last read and written, or that was tried,
	// and when instances that have ended were last looked for.
	loadedAt, savedAt, foundAt time.Time
	// failures holds what fails at the moment, to log each failure once.
	failures map[string]bool
	finished sync.WaitGroup
}

// NewHolder returns a holder; Run starts it.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{HolderOptions: o, machines: make(map[string]*Machine), issued: make(map[uint64]time.Time), writing: make(map[string]bool), tried: make(map[string]time.Time), failures: make(map[string]bool)}
}

// Run carries out the orders until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	for sleep.For(ctx, StepInterval) {
		h.Step(ctx)
	}
	h.finished.Wait()
	return nil
}

// Step takes one step: it decides about all services, tells the instances, and begins to write
// what the store lacks.
func (h *Holder) Step(ctx context.Context) {
	h.Registry.Evaluate()
	fence, held := h.Lease.Held()
	if !held || !h.Known() {
		h.forget()
		return
	}
	if !h.load(ctx, fence) {
		return
	}
	h.decide(ctx)
}

// forget forgets the progress, as another instance may hold the lease.
func (h *Holder) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence = 0
}

// logFailure logs the first of several equal failures. The caller holds the lock.
func (h *Holder) logFailure(what, message string, err error) {
	if !h.failures[what] {
		h.failures[what] = true
		h.Log.Warn(message, "error", err.Error())
	}
}

// decide takes one step of each service.
func (h *Holder) decide(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == 0 {
		return
	}
	h.seq++
	now := h.Now()
	h.issued[h.seq] = now
	for seq, at := range h.issued {
		if now.Sub(at) > Validity {
			delete(h.issued, seq)
		}
	}
	var list []Directive
	for _, s := range h.Registry.all() {
		p := h.Registry.progressOf(s)
		if d, ok := h.step(ctx, s.name, p); ok {
			list = append(list, d)
		}
	}
	h.Registry.Issue(list)
	h.save(ctx)
}

// step takes one step of a service, and returns its directive, if there is one.
func (h *Holder) step(ctx context.Context, name string, p progress) (Directive, bool) {
	m := h.machines[name]
	if m == nil && p.order == nil && p.directive == nil {
		return Directive{}, false
	}
	if m == nil {
		m = &Machine{Config: h.Registry.Config}
		h.machines[name] = m
	}
	h.recall(m, p)
	if m.Record.Service == "" && p.order == nil {
		return Directive{}, false
	}
	d := m.Step(h.input(p))
	if d.Changed {
		h.unsaved = true
		h.Log.Info("rollout", "service", name, "to", m.Record.To, "stage", m.Record.Stage.String(), "raised", m.Record.Raised, "reason", m.Record.Reason, "replaced", d.Replaced, "share", d.Share)
	}
	if p.order != nil {
		h.follow(ctx, m, *p.order, d.Write)
	}
	if m.Record.Stage == Moving {
		h.findEnded(ctx, p)
	}
	directive := m.Record.directive(d.Share)
	directive.Holder, directive.Fence, directive.Seq = h.Self, h.fence, h.seq
	return directive, true
}

// recall completes a record by the newest directive: the store may not have been reached, or may
// have been rolled back, since it was issued.
func (h *Holder) recall(m *Machine, p progress) {
	d := p.directive
	switch {
	case d == nil:
	case m.Record.Service == "", p.order != nil && d.order() == p.order.ID() && d.order() != m.Record.order():
		m.Record = recordOf(*d, h.TrueTime())
		h.unsaved = true
	case d.order() == m.Record.order() && d.Stage.decided() && !m.Record.Stage.terminal():
		m.Record.Stage, m.Record.Reason, m.Record.RevertedMS = d.Stage, "decided before", h.TrueTime().UnixMilli()
		h.unsaved = true
	}
}

// input returns what is known of a service.
func (h *Holder) input(p progress) Input {
	next := p.sums.total(true)
	return Input{
		Now: h.TrueTime(), Order: p.order, Bad: p.bad, Doubt: p.doubt, Versions: p.versions, Candidates: p.candidates,
		Sent: next.Sent - min(next.Left, next.Sent), Answers: next.Begun - min(next.Left, next.Begun), Ended: next.Answers,
		Requests: next.Sent + p.sums.total(false).Sent, Drained: h.drained(p), Quiet: h.quiet(p), Drain: p.drain,
	}
}

// drained reports whether no instance has a request in progress at other versions, or can begin
// one before a write that begins now has ended.
func (h *Holder) drained(p progress) bool {
	if p.order == nil {
		return false
	}
	for _, id := range h.Members() {
		report, ok := p.newest[id]
		if id == h.Self {
			report, ok = h.Registry.service(p.order.Service).report(h.Now())
		}
		if !ok || !report.Drained || report.Order != p.order.ID() || report.Fence != h.fence || !h.holds(report.Applied) {
			return false
		}
	}
	return true
}

// quiet reports whether all instances know that the order's version gets nothing any more.
func (h *Holder) quiet(p progress) bool {
	if p.order == nil {
		return false
	}
	for _, id := range h.Members() {
		if report, ok := p.newest[id]; id != h.Self && (!ok || !report.Quiet || report.Order != p.order.ID()) {
			return false
		}
	}
	return true
}

// holds reports whether a directive holds until a write that begins now has ended.
func (h *Holder) holds(seq uint64) bool {
	at, ok := h.issued[seq]
	return ok && h.Now().Add(writeTimeout+clockMargin).Before(at.Add(h.Registry.Config.validity()))
}

// findEnded finds out, while all requests move, whether instances that don't report have ended.
func (h *Holder) findEnded(ctx context.Context, p progress) {
	for _, id := range h.Members() {
		if report, ok := p.newest[id]; id == h.Self || ok && h.holds(report.Applied) {
			continue
		}
		if h.Now().Sub(h.foundAt) >= findInterval {
			h.foundAt = h.Now()
			h.finished.Go(func() { h.FindEnded(ctx) })
		}
		return
	}
}
