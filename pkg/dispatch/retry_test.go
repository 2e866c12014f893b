package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/retry"
)

// TestAwaitRetryRespectsBudgetAndDeadline fails attempts faster than the budget
// allows retries: further retries wait for the budget, and none is granted after
// the deadline.
func TestAwaitRetryRespectsBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		policy := retry.NewPolicy(time.Now, func() float64 { return 0.5 })
		start := time.Now()
		job := &flight.Job{Service: "s", Deadline: start.Add(20 * time.Second)}
		ctx, cancel := context.WithDeadline(t.Context(), job.Deadline)
		defer cancel()
		granted := 0
		for {
			r := &run{d: &Dispatcher{Retrier: policy}, job: job, failures: 1}
			if !r.awaitRetry(ctx, engine.ErrBroken) {
				break
			}
			granted++
		}
		g.Expect(granted).To(BeNumerically("<=", retry.DefaultBurst+int(retry.DefaultFloor*20)))
		g.Expect(granted).To(BeNumerically(">", retry.DefaultBurst))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 20*time.Second))
	})
}
