// Package capacity plans which instances run: how many, in which data centre,
// reclaimable or on demand, and which models they load. A plan is a pure
// function of a snapshot and of the state that holders of the duty hand on.
package capacity

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

// Observed is an instance as the list and its own load report show it.
type Observed struct {
	cloud.Instance
	// Load is the last load report; nil if there is none.
	Load *engine.Load
}

// Snapshot is what a plan is based on.
type Snapshot struct {
	Now       time.Time
	Envelope  *config.Envelope
	Instances []Observed
}

// Phase tells what is known of the instance of a slot.
type Phase string

// The phases of a slot.
const (
	// PhaseFree has no instance.
	PhaseFree Phase = "free"
	// PhasePending has a start whose outcome is not known yet.
	PhasePending Phase = "pending"
	// PhaseRunning has an instance.
	PhaseRunning Phase = "running"
)

// Slot is a place for one instance of a service. Each start uses the slot's
// next generation, and the token of a start follows from service, number and
// generation: two holders of the duty that start the same slot start one instance.
type Slot struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	// Generation is that of the present or next start. It grows only when the
	// cloud says that the instance with the token has ended.
	Generation uint64 `json:"generation"`
	Phase      Phase  `json:"phase"`
	// Instance is set while the phase is running.
	Instance string `json:"instance,omitempty"`
	// Request is the start that made the instance, or is to make it.
	Request cloud.StartRequest `json:"request"`
	// Seen is set once the instance list has shown the instance.
	Seen bool `json:"seen,omitempty"`
	// since is when the phase began, on this process's clock.
	phaseSince time.Time
}

// Token returns the idempotent token of the slot's present start.
func (s *Slot) Token() string {
	return fmt.Sprintf("%s/%d/%d", s.Service, s.Number, s.Generation)
}

// Drain is an instance that gets no new work and is stopped once it is idle.
// A drain is never taken back, so that an order or stop that a former holder
// of the duty sends late does no harm.
type Drain struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// LongestMS is how long the drain may last, in milliseconds.
	LongestMS int64 `json:"longest_ms"`
	// since is when this process learned of the drain, listed when the
	// instance was last listed; idle counts the consecutive plans in which it
	// had no work.
	knownSince time.Time
	lastListed time.Time
	idleCount  int
}

// Refusal remembers that starts at a place were refused.
type Refusal struct {
	DataCentre  string `json:"data_centre"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
	// Backoff is the pause after the last refusal; it doubles with each.
	Backoff time.Duration `json:"backoff_ns"`
	// Left is the part of the pause that was left when the state was stored.
	Left  time.Duration `json:"left_ns"`
	until time.Time
}

// State is what holders of the duty hand on. The fields that are not stored
// are learned again by each holder, because clocks of other machines are not trusted.
type State struct {
	// Fence is the fencing number of the holder that stored the state.
	Fence uint64 `json:"fence"`
	// WriteID is unique to the write.
	WriteID  string    `json:"write_id"`
	Slots    []Slot    `json:"slots"`
	Drains   []Drain   `json:"drains"`
	Refusals []Refusal `json:"refusals"`
	services map[string]*serviceHistory
	// began is when this process made its first plan.
	firstPlanAt time.Time
	// ordered holds when a model load was ordered, by instance and model.
	orderedAt map[string]time.Time
}

// memory is what a holder learns about a service.
type serviceHistory struct {
	trend trend
	// surplusSince is since when fewer instances would do; zero if they would not.
	surplusSince time.Time
}

// Clone returns a copy that shares nothing with the original.
func (st *State) Clone() State {
	out := *st
	out.Slots = slices.Clone(st.Slots)
	out.Drains = slices.Clone(st.Drains)
	out.Refusals = slices.Clone(st.Refusals)
	out.services = make(map[string]*serviceHistory, len(st.services))
	for name, m := range st.services {
		kept := *m
		out.services[name] = &kept
	}
	out.orderedAt = make(map[string]time.Time, len(st.orderedAt))
	maps.Copy(out.orderedAt, st.orderedAt)
	return out
}

// Load prepares a stored state for this process at a time of its clock.
func (st *State) Restore(now time.Time) {
	for i := range st.Slots {
		st.Slots[i].phaseSince = now
	}
	for i := range st.Drains {
		st.Drains[i].knownSince = now
	}
	for i := range st.Refusals {
		st.Refusals[i].until = now.Add(st.Refusals[i].Left)
	}
}

// Stored returns the state as it is to be stored at a time of this process's clock.
func (st *State) ForStorage(now time.Time) State {
	out := st.Clone()
	for i := range out.Refusals {
		out.Refusals[i].Left = max(0, out.Refusals[i].until.Sub(now))
	}
	return out
}

// SameDecisions tells whether two states differ in nothing that has to be stored before acting.
func SameDecisions(a, b *State) bool {
	sameSlot := func(x, y Slot) bool {
		return x.Service == y.Service && x.Number == y.Number && x.Generation == y.Generation &&
			x.Phase == y.Phase && x.Instance == y.Instance
	}
	sameDrain := func(x, y Drain) bool { return x.Instance == y.Instance }
	return slices.EqualFunc(a.Slots, b.Slots, sameSlot) && slices.EqualFunc(a.Drains, b.Drains, sameDrain)
}

func (st *State) history(service string) *serviceHistory {
	if st.services == nil {
		st.services = make(map[string]*serviceHistory)
	}
	if st.services[service] == nil {
		st.services[service] = &serviceHistory{}
	}
	return st.services[service]
}

// slotOf returns the slot whose instance has an id.
func (st *State) slotByInstance(instance string) *Slot {
	for i := range st.Slots {
		if st.Slots[i].Phase == PhaseRunning && st.Slots[i].Instance == instance {
			return &st.Slots[i]
		}
	}
	return nil
}

// freeSlot returns the lowest free slot of a service, made if there is none.
func (st *State) freeSlot(service string) *Slot {
	for i := range st.Slots {
		if s := &st.Slots[i]; s.Service == service && s.Phase == PhaseFree {
			return s
		}
	}
	return st.newSlot(service)
}

// newSlot makes a slot with a number that no other slot of the service has.
func (st *State) newSlot(service string) *Slot {
	number := 0
	for _, s := range st.Slots {
		if s.Service == service {
			number = max(number, s.Number+1)
		}
	}
	return st.insert(Slot{Service: service, Number: number, Phase: PhaseFree})
}

func (st *State) draining(instance string) bool {
	return slices.ContainsFunc(st.Drains, func(d Drain) bool { return d.Instance == instance })
}

// parseToken returns the service, number and generation of a token of ours.
func parseToken(token string) (Slot, bool) {
	service, rest, ok := strings.Cut(token, "/")
	if !ok {
		return Slot{}, false
	}
	s := Slot{Service: service}
	n, err := fmt.Sscanf(rest, "%d/%d", &s.Number, &s.Generation)
	return s, n == 2 && err == nil && s.Token() == token
}

// slotAt returns the slot of a service with a number, or nil.
func (st *State) slotByNumber(service string, number int) *Slot {
	i, found := slices.BinarySearchFunc(st.Slots, Slot{Service: service, Number: number}, compareSlots)
	if !found {
		return nil
	}
	return &st.Slots[i]
}

// slotByToken returns the slot whose present start has a token, or nil.
func (st *State) slotByToken(token string) *Slot {
	parsed, ok := parseToken(token)
	if !ok {
		return nil
	}
	s := st.slotByNumber(parsed.Service, parsed.Number)
	if s == nil || s.Generation != parsed.Generation {
		return nil
	}
	return s
}

func (st *State) insert(s Slot) *Slot {
	i, _ := slices.BinarySearchFunc(st.Slots, s, compareSlots)
	st.Slots = slices.Insert(st.Slots, i, s)
	return &st.Slots[i]
}

func compareSlots(a, b Slot) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
}
