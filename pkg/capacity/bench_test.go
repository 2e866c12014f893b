package capacity_test

import (
	"fmt"
	"testing"

	"github.com/medlarsill/medlarsill/pkg/capacity"
)

// BenchmarkPlan measures one plan for small deployments and for the target size of 4500
// instances.
// Command: go test ./pkg/capacity -run - -bench Plan -benchmem
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{9, 18, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(1)
			sim.tuning.MaxModelLoads = 1 << 20
			c := &sim.env.Document.Presets[0].Capacity[0]
			c.Min, c.Max = n, n
			sim.run(40)
			s := capacity.Snapshot{Now: sim.now, Envelope: &sim.env}
			for _, in := range sim.list {
				s.Instances = append(s.Instances, *in)
			}
			for b.Loop() {
				_, _ = capacity.Plan(s, sim.state, sim.tuning, sim.rng.Float64)
			}
		})
	}
}
