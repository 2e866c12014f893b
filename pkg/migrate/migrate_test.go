package migrate

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func drawStream(t *rapid.T) Stream {
	return Stream{
		PromptTokens: rapid.IntRange(0, 20000).Draw(t, "prompt"), DecodedTokens: rapid.IntRange(0, 1000).Draw(t, "done"),
		RemainingTokens: rapid.IntRange(1, 1000).Draw(t, "left"), TokenInterval: 25 * time.Millisecond,
		Grace:    time.Duration(rapid.IntRange(0, 30000).Draw(t, "grace")) * time.Millisecond,
		KVBytes:  int64(rapid.IntRange(0, 4<<30).Draw(t, "kv")),
		Deadline: time.Duration(rapid.IntRange(0, 60000).Draw(t, "deadline")) * time.Millisecond,
	}
}

func drawTargets(t *rapid.T) []Target {
	var out []Target
	for i := range rapid.IntRange(0, 5).Draw(t, "targets") {
		out = append(out, Target{
			Endpoint: &fleet.Endpoint{ID: fmt.Sprint(i)}, CachedTokens: rapid.IntRange(0, 21000).Draw(t, "cached"),
			Wait:        time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond,
			KVBandwidth: float64(rapid.IntRange(0, 10<<30).Draw(t, "bandwidth")), PrefillPerToken: 500 * time.Microsecond,
			TokenInterval: 25 * time.Millisecond, Price: rapid.Float64Range(0.3, 3).Draw(t, "price"),
		})
	}
	return out
}

// TestChooseReturnsCheapestFeasiblePlan compares the chosen plan with all plans
// of all targets and checks that it fits into the notice period.
func TestChooseReturnsCheapestFeasiblePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, targets := drawStream(t), drawTargets(t)
		preset := &config.Preset{LatencyWeight: 1, RecomputeWeight: 2, CostWeight: 0.5}
		plan, ok := Choose(s, targets, preset)
		if s.Grace > 0 && time.Duration(s.RemainingTokens)*s.TokenInterval > s.Grace && ok && plan.Strategy == Finish {
			t.Fatal("chose to finish an answer that can't end within the notice period")
		}
		if !ok && len(targets) > 0 {
			t.Fatal("no plan although there is a target")
		}
		if !ok || plan.Strategy == Finish {
			return
		}
		if plan.Strategy == Transfer && plan.Pause-plan.Target.Wait > s.Grace {
			t.Fatal("the transfer ends after the endpoint stops")
		}
		for i := range targets {
			for _, other := range s.plans(&targets[i]) {
				if s.cost(&other, preset) < s.cost(&plan, preset) {
					t.Fatalf("%+v is cheaper than %+v", other, plan)
				}
			}
		}
	})
}

func TestChoosePicksEachStrategy(t *testing.T) {
	base := Stream{
		PromptTokens: 8000, DecodedTokens: 100, RemainingTokens: 300, TokenInterval: 25 * time.Millisecond,
		Grace: 5 * time.Second, KVBytes: 1 << 30, Deadline: time.Minute,
	}
	target := Target{
		Endpoint: &fleet.Endpoint{ID: "t"}, KVBandwidth: 1 << 31, PrefillPerToken: 500 * time.Microsecond,
		TokenInterval: 25 * time.Millisecond, Price: 1,
	}
	for _, c := range []struct {
		name   string
		change func(s *Stream, t *Target)
		want   Strategy
	}{
		{"few tokens left", func(s *Stream, t *Target) { s.RemainingTokens = 100 }, Finish},
		{"long prompt and time to move it", func(s *Stream, t *Target) {}, Transfer},
		{"notice too short to move", func(s *Stream, t *Target) { s.Grace = 800 * time.Millisecond }, Recompute},
		{"stop time unknown", func(s *Stream, t *Target) { s.Grace = 0 }, Recompute},
		{"prefix cached elsewhere", func(s *Stream, t *Target) { t.CachedTokens = 8000 }, CachedPrefix},
		{"short prompt", func(s *Stream, t *Target) { s.PromptTokens, s.DecodedTokens = 100, 10 }, Recompute},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, dest := base, target
			c.change(&s, &dest)
			plan, ok := Choose(s, []Target{dest}, nil)
			g := NewWithT(t)
			g.Expect(ok).To(BeTrue())
			g.Expect(plan.Strategy).To(Equal(c.want))
		})
	}
	_, ok := Choose(base, nil, nil)
	NewWithT(t).Expect(ok).To(BeFalse())
}
