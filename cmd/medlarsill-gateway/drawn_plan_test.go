package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// phase is a part of the system's life in which disruptions begin.
type phase string

// The phases.
const (
	// firstStart is just after the first start of the whole system.
	firstStart phase = "first start"
	steady     phase = "steady"
	// recovery is just after all processes were killed and have started again.
	recovery phase = "recovery"
	// plannedStop is while one gateway stops after SIGTERM.
	plannedStop phase = "planned stop"
)

var phases = []phase{firstStart, steady, recovery, plannedStop}

// begin returns when the disruptions of a phase begin, after the first start.
func (p phase) begin() time.Duration {
	if p == firstStart {
		return 500 * time.Millisecond
	}
	return 6 * time.Second
}

// disruption is one disruption of a plan. Times are in milliseconds.
type disruption struct {
	Injector string `json:"injector"`
	// AtMS is when it begins, after the first start.
	AtMS int `json:"at_ms"`
	// Dose is the share of the injector's largest dose, from 0 to 1.
	Dose float64 `json:"dose"`
	// Target selects a gateway or an endpoint, and Variant a variant of the injector.
	Target  int `json:"target"`
	Variant int `json:"variant"`
}

// plan is what one run of the soak plays.
type plan struct {
	Seed  uint64 `json:"seed"`
	Phase phase  `json:"phase"`
	// WaveMS is the time between two waves of requests; 0 stands for steady traffic.
	WaveMS int `json:"wave_ms"`
	// Versions is the number of software versions that serve side by side.
	Versions    int          `json:"versions"`
	Disruptions []disruption `json:"disruptions"`
}

const (
	minDisruptions, maxDisruptions = 2, 5
	targets, variants              = 12, 4
)

// gaps holds the times between the beginnings of two disruptions that follow each other.
var gaps = []time.Duration{0, 0, 300 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second}

// drawPlan returns the plan of a seed. The seeds go through all phases and ordered pairs of injectors; what
// else is in a plan is random.
func drawPlan(seed uint64) plan {
	random := rand.New(rand.NewPCG(seed, 81))
	names := injectorNames()
	pairs := orderedPairs(names)
	rand.New(rand.NewPCG(1, 81)).Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	pair := pairs[int(seed)%len(pairs)]
	// Each round through the pairs begins with another phase.
	p := plan{Seed: seed, Phase: phases[(int(seed)+int(seed)/len(pairs))%len(phases)], Versions: 1 + random.IntN(2)}
	if random.IntN(2) == 0 {
		p.WaveMS = 2010 + random.IntN(150)
	}
	// The larger of two draws: each further disruption meets all others.
	drawCount := func() int { return minDisruptions + random.IntN(maxDisruptions-minDisruptions+1) }
	count := max(drawCount(), drawCount())
	list := []string{pair[0], pair[1]}
	for len(list) < count {
		if name := names[random.IntN(len(names))]; !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	at := p.Phase.begin()
	for _, name := range list {
		p.Disruptions = append(p.Disruptions, disruption{
			Injector: name, AtMS: int(at.Milliseconds()), Dose: 0.3 + 0.7*random.Float64(), Target: random.IntN(targets), Variant: random.IntN(variants),
		})
		at += gaps[random.IntN(len(gaps))]
	}
	return p
}

// orderedPairs returns all ordered pairs of different names.
func orderedPairs(names []string) (pairs [][2]string) {
	for _, a := range names {
		for _, b := range names {
			if a != b {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	return pairs
}

// meetings returns which ordered pairs of injectors meet in the plan, with its phase.
func (p plan) meetings() (list []string) {
	for i, a := range p.Disruptions {
		for _, b := range p.Disruptions[i+1:] {
			list = append(list, fmt.Sprintf("%s, then %s, at %s", a.Injector, b.Injector, p.Phase))
		}
	}
	return list
}

// String returns the plan as it is given in SOAK_PLAN.
func (p plan) String() string {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // can't happen: texts and numbers
	}
	return string(data)
}

// end returns when the last disruption begins.
func (p plan) end() time.Duration {
	last := p.Phase.begin()
	for _, d := range p.Disruptions {
		last = max(last, time.Duration(d.AtMS)*time.Millisecond)
	}
	return last
}

// smaller returns plans with one disruption less, half of one's dose, or two moved together, in the order
// in which they are tried.
func (p plan) smaller() (list []plan) {
	change := func(do func(q *plan)) {
		q := p
		q.Disruptions = slices.Clone(p.Disruptions)
		do(&q)
		list = append(list, q)
	}
	for i := range p.Disruptions {
		change(func(q *plan) { q.Disruptions = slices.Delete(q.Disruptions, i, i+1) })
	}
	if p.WaveMS > 0 {
		change(func(q *plan) { q.WaveMS = 0 })
	}
	if p.Versions > 1 {
		change(func(q *plan) { q.Versions = 1 })
	}
	for i, d := range p.Disruptions {
		if d.Dose > minDose {
			change(func(q *plan) { q.Disruptions[i].Dose = d.Dose / 2 })
		}
		if i > 0 && d.AtMS-p.Disruptions[i-1].AtMS > minGapMS {
			change(func(q *plan) { q.Disruptions[i].AtMS = (d.AtMS + p.Disruptions[i-1].AtMS) / 2 })
		}
	}
	return list
}

const (
	// minDose is the dose below which none is halved, and minGapMS the gap below which disruptions aren't moved
	// together, in milliseconds.
	minDose  = 0.2
	minGapMS = 500
)
