package schedule

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// switchedLimits is a Limits that permits requests to all endpoints or to none.
type switchedLimits struct {
	closed atomic.Bool
	taken  atomic.Int32
}

func (l *switchedLimits) Available(endpoints.Key) bool { return !l.closed.Load() }

func (l *switchedLimits) Take(k endpoints.Key) bool {
	if !l.Available(k) {
		return false
	}
	l.taken.Add(1)
	return true
}

func (l *switchedLimits) Wait(endpoints.Key) time.Duration { return 700 * time.Millisecond }

// Guards against requests that wait in the queue for endpoints whose limits are used up
// meanwhile, and against ones that join it then.
func TestPlace_RefusesWaitingRequestsOnceLimitsAreUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := &switchedLimits{}
		s := New(newTable(1, 1), slotsOf, time.Now)
		s.Limits = limits
		first, err := s.Place(context.Background(), testRequest(time.Now()))
		g.Expect(err).NotTo(HaveOccurred())
		result := make(chan error, 1)
		go func() {
			_, err := s.Place(context.Background(), testRequest(time.Now()))
			result <- err
		}()
		synctest.Wait()
		g.Expect(s.Waiting("s1")).To(Equal(1), "it waits for the slot")
		limits.closed.Store(true)
		before := time.Now()
		_, err = s.Place(context.Background(), testRequest(time.Now()))
		g.Expect(isLimited(err)).To(BeTrue())
		s.PlaceWaiting()
		err = <-result
		var busy *BusyError
		g.Expect(errors.As(err, &busy)).To(BeTrue())
		g.Expect(*busy).To(Equal(BusyError{RetryAfter: 700 * time.Millisecond, Limited: true}))
		g.Expect(time.Since(before)).To(BeZero())
		g.Expect(s.Waiting("s1")).To(BeZero())
		first.End()
		g.Expect(limits.taken.Load()).To(BeEquivalentTo(1), "refused requests take nothing of a limit")
	})
}

// Guards against a placement that takes from one limit although another permits none.
func TestAllOf_TakesFromNoneUnlessAllPermit(t *testing.T) {
	g := NewWithT(t)
	open, closed := &switchedLimits{}, &switchedLimits{}
	closed.closed.Store(true)
	k := endpoints.Key{ID: "i-1"}
	g.Expect(AllOf{open, closed}.Take(k)).To(BeFalse())
	g.Expect(open.taken.Load()).To(BeZero())
	g.Expect(AllOf{open}.Take(k)).To(BeTrue())
	g.Expect(AllOf{open, closed}.Wait(k)).To(Equal(700 * time.Millisecond))
	g.Expect(AllOf{}.Available(k)).To(BeTrue())
}
