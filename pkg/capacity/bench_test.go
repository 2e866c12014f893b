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
			w := newSimulation(1)
			w.tuning.MaxModelLoads = 1 << 20
			c := &w.env.Document.Presets[0].Capacity[0]
			c.Min, c.Max = n, n
			w.run(40)
			s := capacity.Snapshot{Now: w.now, Envelope: &w.env}
			for _, in := range w.list {
				s.Instances = append(s.Instances, *in)
			}
			for b.Loop() {
				_, _ = capacity.Plan(s, w.state, w.tuning, w.rng.Float64)
			}
		})
	}
}
