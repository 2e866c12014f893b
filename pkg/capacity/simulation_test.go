package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
)

const (
	step      = time.Second
	bootSteps = 20
	batch     = 8
)

// simulation simulates the cloud and the load of the engines. Time passes only in tick.
type simulation struct {
	env    config.Envelope
	now    time.Time
	state  capacity.State
	tuning capacity.Tuning
	rng    *rand.Rand
	list   []*capacity.Observed
	// started holds when instances were started, or got their reclaim notice.
	started map[string]time.Time
	// tokens holds all instances by the token of their start.
	tokens map[string]cloud.Instance
	// refused holds the data centres that refuse starts.
	refused map[string]bool
	// demand is the number of concurrent requests.
	demand int
	// refusals is the number of refused starts.
	refusals int
	// actions holds the actions of the last plan.
	actions []capacity.Action
}

func document() config.Document {
	price := func(dc string, onDemand, reclaimable float64) config.Price {
		return config.Price{DataCentre: dc, OnDemand: onDemand, Reclaimable: reclaimable}
	}
	bounds := func(service string, minInstances, maxInstances int, share float64) config.Capacity {
		return config.Capacity{Service: service, Min: minInstances, Max: maxInstances, ReclaimableShare: share}
	}
	prices := []config.Price{price("a", 4, 1.4), price("b", 4.2, 1.5), price("c", 4.1, 1.45), price("d", 3.6, 1.2)}
	return config.Document{
		DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}},
		Classes:     []config.MachineClass{{Name: "gpu", Prices: prices}, {Name: "cpu", Prices: prices}},
		Services: []config.Service{
			{Name: "m", Kind: config.KindModel, Models: []string{"x", "y"}, Class: "gpu", BatchLimit: batch, DeadlineMS: 30000},
			{Name: "p", Kind: config.KindPlain, Class: "cpu", BatchLimit: 32, DeadlineMS: 5000, NonIdempotent: []config.Call{{Method: "POST", PathPrefix: "/"}}},
		},
		Workspaces: []config.Workspace{
			{Name: "w", DataCentres: []string{"a", "b", "c", "d"}, Services: []string{"m", "p"}, Weight: 4},
			{Name: "narrow", DataCentres: []string{"a", "b"}, Services: []string{"m", "p"}, Weight: 1},
		},
		Presets: []config.Preset{
			{Name: "ordinary", Capacity: []config.Capacity{bounds("m", 4, 12, 0.6), bounds("p", 2, 3, 0.5)}},
			{Name: "maintenance", ClosedDataCentres: []string{"d"}, Capacity: []config.Capacity{bounds("m", 4, 10, 0.5), bounds("p", 2, 3, 0)}},
		},
	}
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		env: config.Envelope{Preset: "ordinary", Document: document()}, now: time.Unix(0, 0), tuning: capacity.DefaultTuning(),
		rng: rand.New(rand.NewPCG(seed, 0)), started: make(map[string]time.Time), tokens: make(map[string]cloud.Instance), refused: make(map[string]bool),
	}
}

// tick plans once, executes the actions and advances the time by one step.
func (sim *simulation) tick() {
	sim.serve()
	s := capacity.Snapshot{Now: sim.now, Envelope: &sim.env}
	for _, in := range sim.list {
		s.Instances = append(s.Instances, *in)
	}
	sim.state, sim.actions = capacity.Plan(s, sim.state, sim.tuning, sim.rng.Float64)
	for _, a := range sim.actions {
		switch a.Kind {
		case capacity.ActionStart:
			sim.start(a.Start)
		case capacity.ActionStop:
			sim.remove(a.Instance)
		case capacity.ActionOrder:
			sim.find(a.Instance).Load.Leaving = a.Order.Kind == engine.OrderDrain
		}
	}
	sim.now = sim.now.Add(step)
	for _, in := range sim.list {
		if in.State == cloud.StateStarting && sim.now.Sub(sim.started[in.ID]) >= bootSteps*step {
			in.State = cloud.StateReady
			in.Load = &engine.Load{Models: []string{"x", "y"}}
		}
	}
}

// serve spreads the demand evenly over the instances that accept requests.
func (sim *simulation) serve() {
	var ready []*capacity.Observed
	for _, in := range sim.list {
		if in.Service != "m" || in.Load == nil {
			continue
		}
		in.Load.Running, in.Load.Waiting = 0, 0
		if in.State == cloud.StateReady && !in.Load.Leaving {
			ready = append(ready, in)
		}
	}
	for i, in := range ready {
		n := sim.demand / len(ready)
		if i < sim.demand%len(ready) {
			n++
		}
		in.Load.Running, in.Load.Waiting = min(n, batch), max(0, n-batch)
	}
}

func (sim *simulation) start(r cloud.StartRequest) {
	if in, ok := sim.tokens[r.Token]; ok {
		sim.state = capacity.RecordStart(sim.state, r, in, sim.now)
		return
	}
	if sim.refused[r.DataCentre] {
		sim.refusals++
		sim.state = capacity.RecordRefusal(sim.state, r, sim.now, sim.tuning, sim.rng.Float64())
		return
	}
	in := cloud.Instance{
		ID: fmt.Sprint("i", len(sim.tokens)), Service: r.Service, DataCentre: r.DataCentre, Class: r.Class,
		Reclaimable: r.Reclaimable, State: cloud.StateStarting, Token: r.Token, Addr: "addr",
	}
	sim.tokens[r.Token], sim.started[in.ID] = in, sim.now
	sim.list = append(sim.list, &capacity.Observed{Instance: in})
	sim.state = capacity.RecordStart(sim.state, r, in, sim.now)
}

func (sim *simulation) find(id string) *capacity.Observed {
	i := slices.IndexFunc(sim.list, func(in *capacity.Observed) bool { return in.ID == id })
	return sim.list[i]
}

func (sim *simulation) remove(id string) {
	sim.list = slices.DeleteFunc(sim.list, func(in *capacity.Observed) bool {
		if in.ID == id {
			gone := in.Instance
			gone.State = cloud.StateGone
			sim.tokens[in.Token] = gone
		}
		return in.ID == id
	})
}

func (sim *simulation) draining(id string) bool {
	return slices.ContainsFunc(sim.state.Drains, func(d capacity.Drain) bool { return d.Instance == id })
}

// active returns the instances of a service that are neither leaving nor draining.
func (sim *simulation) active(service string) []*capacity.Observed {
	var out []*capacity.Observed
	for _, in := range sim.list {
		if in.Service == service && in.State != cloud.StateLeaving && !sim.draining(in.ID) {
			out = append(out, in)
		}
	}
	return out
}

func (sim *simulation) run(ticks int) {
	for range ticks {
		sim.tick()
	}
}
