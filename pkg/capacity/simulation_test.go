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
func (w *simulation) tick() {
	w.serve()
	s := capacity.Snapshot{Now: w.now, Envelope: &w.env}
	for _, in := range w.list {
		s.Instances = append(s.Instances, *in)
	}
	w.state, w.actions = capacity.Plan(s, w.state, w.tuning, w.rng.Float64)
	for _, a := range w.actions {
		switch a.Kind {
		case capacity.ActionStart:
			w.start(a.Start)
		case capacity.ActionStop:
			w.remove(a.Instance)
		case capacity.ActionOrder:
			w.find(a.Instance).Load.Leaving = a.Order.Kind == engine.OrderDrain
		}
	}
	w.now = w.now.Add(step)
	for _, in := range w.list {
		if in.State == cloud.StateStarting && w.now.Sub(w.started[in.ID]) >= bootSteps*step {
			in.State = cloud.StateReady
			in.Load = &engine.Load{Models: []string{"x", "y"}}
		}
	}
}

// serve spreads the demand evenly over the instances that accept requests.
func (w *simulation) serve() {
	var ready []*capacity.Observed
	for _, in := range w.list {
		if in.Service != "m" || in.Load == nil {
			continue
		}
		in.Load.Running, in.Load.Waiting = 0, 0
		if in.State == cloud.StateReady && !in.Load.Leaving {
			ready = append(ready, in)
		}
	}
	for i, in := range ready {
		n := w.demand / len(ready)
		if i < w.demand%len(ready) {
			n++
		}
		in.Load.Running, in.Load.Waiting = min(n, batch), max(0, n-batch)
	}
}

func (w *simulation) start(r cloud.StartRequest) {
	if in, ok := w.tokens[r.Token]; ok {
		w.state = capacity.RecordStart(w.state, r, in, w.now)
		return
	}
	if w.refused[r.DataCentre] {
		w.refusals++
		w.state = capacity.RecordRefusal(w.state, r, w.now, w.tuning, w.rng.Float64())
		return
	}
	in := cloud.Instance{
		ID: fmt.Sprint("i", len(w.tokens)), Service: r.Service, DataCentre: r.DataCentre, Class: r.Class,
		Reclaimable: r.Reclaimable, State: cloud.StateStarting, Token: r.Token, Addr: "addr",
	}
	w.tokens[r.Token], w.started[in.ID] = in, w.now
	w.list = append(w.list, &capacity.Observed{Instance: in})
	w.state = capacity.RecordStart(w.state, r, in, w.now)
}

func (w *simulation) find(id string) *capacity.Observed {
	i := slices.IndexFunc(w.list, func(in *capacity.Observed) bool { return in.ID == id })
	return w.list[i]
}

func (w *simulation) remove(id string) {
	w.list = slices.DeleteFunc(w.list, func(in *capacity.Observed) bool {
		if in.ID == id {
			gone := in.Instance
			gone.State = cloud.StateGone
			w.tokens[in.Token] = gone
		}
		return in.ID == id
	})
}

func (w *simulation) draining(id string) bool {
	return slices.ContainsFunc(w.state.Drains, func(d capacity.Drain) bool { return d.Instance == id })
}

// active returns the instances of a service that are neither leaving nor draining.
func (w *simulation) active(service string) []*capacity.Observed {
	var out []*capacity.Observed
	for _, in := range w.list {
		if in.Service == service && in.State != cloud.StateLeaving && !w.draining(in.ID) {
			out = append(out, in)
		}
	}
	return out
}

func (w *simulation) run(ticks int) {
	for range ticks {
		w.tick()
	}
}
