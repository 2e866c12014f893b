package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestRetriesNeverExceedTheBudget compares grants with a plain count: the burst,
// the share of the successes and the floor.
func TestRetriesNeverExceedTheBudget(t *testing.T) {
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
			"storm": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					a := Attempt{
						Service: "s", Failures: rapid.IntRange(1, 9).Draw(t, "failures"),
						Outcome: Outcome(rapid.IntRange(0, 1).Draw(t, "outcome")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
						Deadline: now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "left")) * time.Millisecond),
					}
					verdict, pause := p.Next(a)
					checkVerdict(t, now, a, verdict, pause)
					if verdict == Granted {
						granted++
					}
				}
			},
			"": check,
		})
	})
}

func checkVerdict(t *rapid.T, now time.Time, a Attempt, v Decision, pause time.Duration) {
	if v == Denied {
		return
	}
	if a.Outcome == Unknown && !a.Idempotent {
		t.Fatal("a request that may have run is repeated")
	}
	if v == Granted && !now.Add(pause).Before(a.Deadline) {
		t.Fatal("the pause ends after the deadline")
	}
	if pause < 0 || pause > MaxDelay {
		t.Fatalf("pause %v", pause)
	}
}

func TestBackoffIsFullJitterUnderADoublingBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "failures")
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		bound := min(float64(MaxDelay), float64(BaseDelay)*float64(uint64(1)<<min(n-1, 40)))
		if got := Backoff(n, random); got != time.Duration(random*bound) {
			t.Fatalf("Backoff(%d, %v) = %v, want %v of %v", n, random, got, random, time.Duration(bound))
		}
	})
}
