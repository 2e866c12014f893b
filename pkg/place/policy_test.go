package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// clock is a settable clock.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newClock() *clock { return &clock{t: time.Unix(1000, 0)} }

// placerModel drives all placers with a changing fleet. It keeps its own list of
// instances to check each decision against.
type placerModel struct {
	clock          *clock
	table          *fleet.Table
	view           *loadview.View
	placers        []Placer
	instances      []cloud.Instance
	leaving        map[string]bool
	suspectedUntil map[string]time.Time
}

func newPlacerModel() *placerModel {
	m := &placerModel{clock: newClock(), leaving: make(map[string]bool), suspectedUntil: make(map[string]time.Time)}
	m.table = fleet.NewTable(m.clock.now, nil)
	m.view = loadview.New(m.clock.now)
	m.placers = []Placer{newPolicy(m.view, m.clock.now, 1, 6), NewLeastInFlight(), NewRoundRobin(), NewPrefixHash()}
	return m
}

var testDataCentres = []string{"a", "b", "c", "d"}

func drawDataCentres(t *rapid.T, label string) []string {
	var out []string
	for _, p := range testDataCentres {
		if rapid.Bool().Draw(t, label+p) {
			out = append(out, p)
		}
	}
	return out
}

func (m *placerModel) startInstance(t *rapid.T) {
	m.instances = append(m.instances, cloud.Instance{
		ID: fmt.Sprintf("e%d", len(m.instances)), Service: rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service"),
		DataCentre: rapid.SampledFrom(testDataCentres).Draw(t, "dataCentre"), Reclaimable: rapid.Bool().Draw(t, "reclaimable"),
		State: cloud.StateReady,
	})
	m.table.ApplyList(m.instances)
}

func (m *placerModel) leaveInstance(t *rapid.T) {
	if len(m.instances) == 0 {
		return
	}
	id := rapid.SampledFrom(m.instances).Draw(t, "leaving").ID
	m.leaving[id] = true
	m.table.MarkLeaving(id, m.clock.t.Add(time.Minute))
}

func (m *placerModel) suspectEndpoint(t *rapid.T) {
	if len(m.instances) == 0 {
		return
	}
	id := rapid.SampledFrom(m.instances).Draw(t, "suspect").ID
	m.suspectedUntil[id] = m.clock.t.Add(time.Second)
	m.view.Suspect(id, m.suspectedUntil[id])
}

func (m *placerModel) report(t *rapid.T) {
	if len(m.instances) == 0 {
		return
	}
	id := rapid.SampledFrom(m.instances).Draw(t, "reported").ID
	m.view.Report(id, engine.Load{Running: rapid.IntRange(0, 30).Draw(t, "running"), BatchLimit: 8})
}

// allowed reports whether the hard filter must accept an instance. If suspicion is
// true, the filter must reject suspected endpoints.
func (m *placerModel) allowed(in cloud.Instance, r *Request, suspicion bool) bool {
	if in.Service != r.Service || m.leaving[in.ID] || slices.Contains(r.Exclude, in.ID) {
		return false
	}
	if suspicion && m.clock.t.Before(m.suspectedUntil[in.ID]) {
		return false
	}
	return slices.Contains(r.Allowed, in.DataCentre)
}

func (m *placerModel) place(t *rapid.T) {
	r := request(rapid.IntRange(1, 5).Draw(t, "conversation"), rapid.IntRange(0, 4).Draw(t, "messages"), drawDataCentres(t, "allowed")...)
	r.NonIdempotent = rapid.Bool().Draw(t, "nonIdempotent")
	if len(m.instances) > 0 {
		r.Exclude = []string{rapid.SampledFrom(m.instances).Draw(t, "exclude").ID}
	}
	for i, p := range m.placers {
		m.check(t, p, r, i == 0)
	}
}

// check compares the result of Place with the model, including its errors.
func (m *placerModel) check(t *rapid.T, p Placer, r Request, suspicion bool) {
	any, onDemand := false, false
	for _, in := range m.instances {
		if m.allowed(in, &r, suspicion) {
			any = true
			onDemand = onDemand || !in.Reclaimable
		}
	}
	d, err := p.Place(m.table.Snapshot(), r)
	if err != nil {
		if any {
			t.Fatalf("%T returned an error although an endpoint is allowed: %v", p, err)
		}
		return
	}
	i := slices.IndexFunc(m.instances, func(in cloud.Instance) bool { return in.ID == d.Endpoint.ID })
	if !m.allowed(m.instances[i], &r, suspicion) {
		t.Fatalf("%T placed on %+v, which is not allowed for %+v", p, m.instances[i], r)
	}
	if suspicion && r.NonIdempotent && onDemand && m.instances[i].Reclaimable {
		t.Fatal("non-idempotent request placed on a reclaimable instance although an on-demand one is allowed")
	}
	if rapid.Bool().Draw(t, "done") {
		p.Done(d, r)
	}
}

func TestPlacers_RespectHardFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlacerModel()
		t.Repeat(map[string]func(*rapid.T){
			"start": m.startInstance, "leave": m.leaveInstance, "suspect": m.suspectEndpoint, "report": m.report, "place": m.place,
			"time": func(t *rapid.T) { m.clock.t = m.clock.t.Add(300 * time.Millisecond) },
		})
	})
}

func TestDataCentreAllowed_FollowsConfigurationInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed, closed := drawDataCentres(t, "allowed"), drawDataCentres(t, "closed")
		at := rapid.SampledFrom(testDataCentres).Draw(t, "at")
		env := &config.Envelope{Preset: "p", Document: config.Document{
			Workspaces: []config.Workspace{{Name: "w", DataCentres: allowed}},
			Presets:    []config.Preset{{Name: "p", ClosedDataCentres: closed}},
		}}
		want := slices.Contains(allowed, at) && !slices.Contains(closed, at)
		if got := DataCentreAllowed(env, "w", &fleet.Endpoint{DataCentre: at}); got != want {
			t.Fatalf("DataCentreAllowed = %v, want %v", got, want)
		}
		if DataCentreAllowed(env, "unknown", &fleet.Endpoint{DataCentre: at}) || DataCentreAllowed(nil, "w", &fleet.Endpoint{DataCentre: at}) {
			t.Fatal("DataCentreAllowed = true for an unknown workspace or without a configuration")
		}
	})
}

func TestPolicy_BoundsLoadForHotPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "endpoints")
		s := fleetOf(n, "a")
		c := newClock()
		p := newPolicy(loadview.New(c.now), c.now, 1, 1)
		var placed []Decision
		inFlight := make(map[string]int)
		for i := range rapid.IntRange(1, 1200).Draw(t, "requests") {
			c.t = c.t.Add(10 * time.Millisecond)
			if len(placed) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				p.Done(placed[0], Request{})
				inFlight[placed[0].Endpoint.ID]--
				placed = placed[1:]
			}
			d, err := p.Place(s, request(rapid.IntRange(1, 2).Draw(t, "conversation"), 3, "a"))
			if err != nil {
				t.Fatal(err)
			}
			placed = append(placed, d)
			inFlight[d.Endpoint.ID]++
			mean := float64(len(placed)) / float64(n)
			if limit := DefaultLoadBound*max(mean, minMeanShare*loadview.DefaultBatchLimit) + 1; float64(inFlight[d.Endpoint.ID]) > limit {
				t.Fatalf("request %d: endpoint has %d requests in flight, over the bound for a mean of %.2f", i, inFlight[d.Endpoint.ID], mean)
			}
		}
	})
}

func TestPolicy_SuspicionExpires(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	view := loadview.New(c.now)
	p := newPolicy(view, c.now, 1, 1)
	s := fleetOf(1, "a")
	view.Suspect("e0000", c.t.Add(time.Second))
	_, err := p.Place(s, request(1, 1, "a"))
	g.Expect(err).To(MatchError(ErrNoEndpoint))
	c.t = c.t.Add(2 * time.Second)
	_, err = p.Place(s, request(1, 1, "a"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Place(s, Request{Service: "s"})
	g.Expect(err).To(MatchError(ErrNoDataCentreAllowed))
}
