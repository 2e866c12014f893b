package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestPolicy_GrantsStayWithinBudget checks that the granted retries never exceed the
// sum of the burst, the share of the successes and the floor.
func TestPolicy_GrantsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		p := NewPolicy(func() time.Time { return now }, func() float64 { return 0.5 })
		successes, granted := 0, 0
		check := func(t *rapid.T) {
			limit := DefaultBurst + DefaultShare*float64(successes) + DefaultFloor*now.Sub(start).Seconds()
			if float64(granted) > limit+1e-6 {
				t.Fatalf("%d retries granted, at most %.1f allowed", granted, limit)
			}
		}
		p.budget("s")
		t.Repeat(map[string]func(*rapid.T){
			"success": func(t *rapid.T) { p.Success("s"); successes++ },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"failures": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					a := Attempt{
						Service: "s", Failures: rapid.IntRange(1, 9).Draw(t, "failures"),
						Outcome: Outcome(rapid.IntRange(0, 1).Draw(t, "outcome")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
						Deadline: now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "left")) * time.Millisecond),
					}
					decision, delay := p.Next(a)
					checkDecision(t, now, a, decision, delay)
					if decision == Granted {
						granted++
					}
				}
			},
			"": check,
		})
	})
}

func checkDecision(t *rapid.T, now time.Time, a Attempt, decision Decision, delay time.Duration) {
	if decision == Denied {
		return
	}
	if a.Outcome == Unknown && !a.Idempotent {
		t.Fatal("retry of a non-idempotent request that may have run")
	}
	if decision == Granted && !now.Add(delay).Before(a.Deadline) {
		t.Fatal("delay does not end before the deadline")
	}
	if delay < 0 || delay > MaxDelay {
		t.Fatalf("delay = %v, want 0 to MaxDelay", delay)
	}
}

func TestBackoff_FullJitterWithDoublingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "failures")
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		bound := min(float64(MaxDelay), float64(BaseDelay)*float64(uint64(1)<<min(n-1, 40)))
		if got := Backoff(n, random); got != time.Duration(random*bound) {
			t.Fatalf("Backoff(%d, %v) = %v, want %v of %v", n, random, got, random, time.Duration(bound))
		}
	})
}
