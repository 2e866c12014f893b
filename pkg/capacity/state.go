// Package capacity plans which instances run: how many, in which data centre,
// reclaimable or on demand, and which models they load. A plan is a pure
// function of a snapshot and of the state stored by the holder of the duty.
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

// Observed is an instance from the instance list with its load report.
type Observed struct {
	cloud.Instance
	// Load is the last load report, or nil if there is none.
	Load *engine.Load
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now       time.Time
	Envelope  *config.Envelope
	Instances []Observed
}

// Phase is the state of a slot.
type Phase string

// The phases of a slot.
const (
	// PhaseFree means that the slot has no instance.
	PhaseFree Phase = "free"
	// PhasePending means that the outcome of the slot's start is not known yet.
	PhasePending Phase = "pending"
	// PhaseRunning means that the slot has an instance.
	PhaseRunning Phase = "running"
)

// Slot holds one instance of a service, or none. The idempotency token of a start
// consists of the slot's service, number and generation. So if a former and the
// current holder of the duty start the same slot, only one instance is started.
type Slot struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	// Generation is the generation of the current or next start. It is incremented
	// only when the cloud reports that the instance with the token has ended.
	Generation uint64 `json:"generation"`
	Phase      Phase  `json:"phase"`
	// Instance is the ID of the instance, set in PhaseRunning.
	Instance string `json:"instance,omitempty"`
	// Request is the start request of the running or pending instance.
	Request cloud.StartRequest `json:"request"`
	// Seen is set once the instance list has shown the instance.
	Seen bool `json:"seen,omitempty"`
	// phaseSince is when the phase began, on this process's clock.
	phaseSince time.Time
}

// Token returns the idempotency token of the slot's current start.
func (s *Slot) Token() string {
	return fmt.Sprintf("%s/%d/%d", s.Service, s.Number, s.Generation)
}

// Drain is an instance that gets no new requests and is stopped once it is idle.
// A drain is never cancelled, so that a late order or stop from a former holder
// of the duty does no harm.
type Drain struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// LongestMS is the maximum duration of the drain in milliseconds.
	LongestMS int64 `json:"longest_ms"`
	// knownSince is when this process created or loaded the drain, lastListed when
	// the instance was last listed. idleCount is the number of consecutive plans in
	// which it had no requests.
	knownSince time.Time
	lastListed time.Time
	idleCount  int
}

// Refusal records that the platform refused to start instances of a machine class
// in a data centre.
type Refusal struct {
	DataCentre  string `json:"data_centre"`
	Class       string `json:"machine_class"`
	Reclaimable bool   `json:"reclaimable"`
	// Backoff is the delay after the last refusal, before jitter.
	Backoff time.Duration `json:"backoff_ns"`
	// Left is the remaining delay when the state was stored.
	Left time.Duration `json:"left_ns"`
	// until is when starts may be retried, on this process's clock.
	until time.Time
}

// State is the state that each holder of the duty passes to the next through the
// object store. Fields that are not stored hold times of this process's clock and
// measurements; each holder collects them anew, as clocks of other machines are not
// trusted.
type State struct {
	// Fence is the fencing token of the holder that stored the state.
	Fence uint64 `json:"fence"`
	// WriteID is unique for each write.
	WriteID  string    `json:"write_id"`
	Slots    []Slot    `json:"slots"`
	Drains   []Drain   `json:"drains"`
	Refusals []Refusal `json:"refusals"`
	services map[string]*serviceHistory
	// firstPlanAt is when this process made its first plan.
	firstPlanAt time.Time
	// orderedAt holds when an order or a stop was last issued, by instance and by
	// model or stopKey.
	orderedAt map[string]time.Time
}

// serviceHistory holds the measurements of a service by this process.
type serviceHistory struct {
	trend trend
	// surplusSince is when the current surplus of instances began; zero if there is none.
	surplusSince time.Time
}

// Clone returns a deep copy.
func (st *State) Clone() State {
	out := *st
	out.Slots = slices.Clone(st.Slots)
	out.Drains = slices.Clone(st.Drains)
	out.Refusals = slices.Clone(st.Refusals)
	out.services = make(map[string]*serviceHistory, len(st.services))
	for name, m := range st.services {
		copied := *m
		out.services[name] = &copied
	}
	out.orderedAt = make(map[string]time.Time, len(st.orderedAt))
	maps.Copy(out.orderedAt, st.orderedAt)
	return out
}

// Restore sets the times of a stored state on this process's clock.
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

// ForStorage returns a copy of the state with the remaining refusal delays filled in.
func (st *State) ForStorage(now time.Time) State {
	out := st.Clone()
	for i := range out.Refusals {
		out.Refusals[i].Left = max(0, out.Refusals[i].until.Sub(now))
	}
	return out
}

// SameDecisions reports whether two states agree in all slots and drains, apart from
// the fields that don't have to be stored before the plan is executed.
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

// slotByInstance returns the running slot of an instance, or nil.
func (st *State) slotByInstance(instance string) *Slot {
	for i := range st.Slots {
		if st.Slots[i].Phase == PhaseRunning && st.Slots[i].Instance == instance {
			return &st.Slots[i]
		}
	}
	return nil
}

// freeSlot returns the lowest free slot of a service. It creates one if there is none.
func (st *State) freeSlot(service string) *Slot {
	for i := range st.Slots {
		if s := &st.Slots[i]; s.Service == service && s.Phase == PhaseFree {
			return s
		}
	}
	return st.newSlot(service)
}

// newSlot creates a slot with the next unused number of a service.
func (st *State) newSlot(service string) *Slot {
	number := 0
	for _, s := range st.Slots {
		if s.Service == service {
			number = max(number, s.Number+1)
		}
	}
	return st.insert(Slot{Service: service, Number: number, Phase: PhaseFree})
}

// draining reports whether an instance is being drained.
func (st *State) draining(instance string) bool {
	return slices.ContainsFunc(st.Drains, func(d Drain) bool { return d.Instance == instance })
}

// parseToken returns the service, number and generation of a token, and whether it
// has the format of Slot.Token.
func parseToken(token string) (Slot, bool) {
	service, rest, ok := strings.Cut(token, "/")
	if !ok {
		return Slot{}, false
	}
	s := Slot{Service: service}
	n, err := fmt.Sscanf(rest, "%d/%d", &s.Number, &s.Generation)
	return s, n == 2 && err == nil && s.Token() == token
}

// slotByNumber returns the slot of a service with a number, or nil.
func (st *State) slotByNumber(service string, number int) *Slot {
	i, found := slices.BinarySearchFunc(st.Slots, Slot{Service: service, Number: number}, compareSlots)
	if !found {
		return nil
	}
	return &st.Slots[i]
}

// slotByToken returns the slot whose current start has a token, or nil.
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

// insert adds a slot at its position in the sorted list.
func (st *State) insert(s Slot) *Slot {
	i, _ := slices.BinarySearchFunc(st.Slots, s, compareSlots)
	st.Slots = slices.Insert(st.Slots, i, s)
	return &st.Slots[i]
}

func compareSlots(a, b Slot) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Number, b.Number))
}
