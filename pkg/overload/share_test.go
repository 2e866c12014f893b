package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

var start = time.Unix(1000, 0)

// newShare returns the share of the member at a position.
func newShare(perSecond float64, members, position int) *share {
	s := &share{perSecond: perSecond, senders: members, position: position, settled: true, tokens: 1, refilledAt: start, service: &serviceShare{}}
	s.service.hasPart.Store(true)
	return s
}

// Guards against parts that together exceed an endpoint's slots, or leave some unused.
func TestShare_PartsAddUpToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		members, slots := rapid.IntRange(1, 900).Draw(t, "members"), rapid.IntRange(0, 200).Draw(t, "slots")
		sum := 0
		perSecond, count := rapid.Float64Range(0, 1000).Draw(t, "limit"), rapid.IntRange(0, 200).Draw(t, "endpoints")
		for position := range members {
			s := newShare(perSecond, members, position)
			s.setSenders(members, count)
			g.Expect(s.senders).To(And(BeNumerically(">=", 1), BeNumerically("<=", members)))
			sum += s.part(slots)
		}
		g.Expect(sum).To(Equal(slots))
	})
}

// Guards against instances that together go beyond their parts so often, or come back so often
// after refusals, that an endpoint without any room beyond the parts refuses too many.
func TestShare_RefusalsStayBelowWhatTheEndpointWithstands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		members := rapid.IntRange(1, 60).Draw(t, "members")
		perSecond := rapid.Float64Range(1, 100).Draw(t, "limit")
		spread := rapid.Float64Range(0, 0.999)
		var shares []*share
		for position := range members {
			shares = append(shares, newShare(perSecond, members, position))
		}
		// All parts are in use; each growth is refused at once.
		const slots, steps, step = 6, 500, 20 * time.Millisecond
		var refusals []time.Time
		for n := range steps {
			now := start.Add(time.Duration(n) * step)
			for _, s := range shares {
				own := s.part(slots)
				v := view{now: now, slots: slots, own: own, total: slots - 1, spread: spread.Draw(t, "spread")}
				if !s.hasRoom(v) {
					continue
				}
				g.Expect(s.placed(v)).To(BeTrue())
				v.own++
				s.refused(v)
				refusals = append(refusals, now)
			}
		}
		for i, at := range refusals {
			in := 0
			for _, later := range refusals[i:] {
				if later.Sub(at) < time.Second {
					in++
				}
			}
			g.Expect(float64(in)).To(BeNumerically("<=", perSecond))
		}
	})
}

// Guards against so many instances before an endpoint that one refusal each is too much for it,
// though the service has endpoints enough.
func TestShare_FewInstancesSendToEachOfManyEndpoints(t *testing.T) {
	g := NewWithT(t)
	senders := func(perSecond float64, members, endpoints int) int {
		s := newShare(perSecond, members, 0)
		s.setSenders(members, endpoints)
		return s.senders
	}
	g.Expect(senders(5, 6, 18)).To(Equal(4))
	g.Expect(senders(1, 6, 24)).To(Equal(1))
	g.Expect(senders(100, 6, 18)).To(Equal(6))
	g.Expect(senders(5, 6, 4)).To(Equal(6), "each instance needs some endpoints")
	g.Expect(senders(5, 880, 4500)).To(Equal(4))
}

// Guards against instances that go on sending to an endpoint which has lost its room, so that
// it refuses too many over time.
func TestShare_SeldomTriesEndpointWithoutRoom(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, perSecond := range []float64{1, 5, 20} {
		const length, slots, members = 60 * time.Second, 24, 6
		refusals := 0
		for position := range members {
			s := newShare(perSecond, members, position)
			for now := start; now.Before(start.Add(length)); now = now.Add(20 * time.Millisecond) {
				v := view{now: now, slots: slots, spread: random.Float64()}
				if s.hasRoom(v) {
					v.own++
					s.refused(v)
					refusals++
				}
			}
		}
		g.Expect(float64(refusals)).To(And(BeNumerically("<=", members+0.5*perSecond*length.Seconds()), BeNumerically(">", members)), "limit %v", perSecond)
	}
}

// Guards against an instance that fills an endpoint up again at once after a refusal, and
// against one that never does.
func TestShare_SlowlyTriesAgainAfterRefusal(t *testing.T) {
	g := NewWithT(t)
	s := newShare(5, 4, 0)
	v := view{now: start, slots: 20, own: 5, total: 5, spread: 0.5}
	s.refused(v)
	v.own = 0
	g.Expect(s.hasRoom(v)).To(BeFalse(), "nothing is sent at first")
	v.now = start.Add(refusalWindow)
	v.own = 2
	g.Expect(s.hasRoom(v)).To(BeFalse(), "the endpoint may have lost more room than for one request")
	v.own = 1
	g.Expect(s.hasRoom(v)).To(BeTrue())
	v.now, v.own = start.Add(s.hold(v)), 2
	g.Expect(s.hasRoom(v)).To(BeTrue(), "one more is tried")
	v.own = 3
	g.Expect(s.hasRoom(v)).To(BeFalse(), "but not two")
	v.own = 4
	for range 3 {
		v.now = v.now.Add(s.hold(v))
		s.raiseCeiling(v)
	}
	g.Expect(s.hasRoom(v)).To(BeTrue(), "the whole part is used again")
}

// Guards against requests that are given up, but still run on an endpoint that is silent for a
// while: others in their place would be refused. After its next answer it is used in full.
func TestShare_CountsUnansweredRequestsUntilNextAnswer(t *testing.T) {
	g := NewWithT(t)
	s := newShare(5, 2, 0)
	v := view{now: start, slots: 10, own: 5, total: 5, spread: 0.5}
	for own := 5; own > 0; own-- {
		v.own = own
		s.unanswered(v)
	}
	v.own = 0
	g.Expect(s.hasRoom(v)).To(BeFalse())
	s.answered(start.Add(-time.Second))
	g.Expect(s.hasRoom(v)).To(BeFalse(), "the answer to an earlier request says nothing of the later ones")
	v.now = start.Add(s.hold(v))
	g.Expect(s.hasRoom(v)).To(BeTrue(), "one request tests it")
	s.answered(v.now)
	v.own = 4
	g.Expect(s.hasRoom(v)).To(BeTrue())
}

// Guards against an instance that keeps the slots of a peer that needs them, and against one
// that gives up borrowed slots for no reason.
func TestShare_GivesBorrowedSlotsBackWhenClaimed(t *testing.T) {
	g := NewWithT(t)
	s := newShare(5, 6, 0)
	s.told = 3
	v := view{now: start, slots: 6, own: 2, total: 5}
	g.Expect(s.hasRoom(v)).To(BeTrue())
	g.Expect(s.placed(v)).To(BeFalse(), "the peers know of three")
	s.claimedUntil = start.Add(time.Second)
	g.Expect(s.hasRoom(v)).To(BeFalse())
	v.own = 0
	g.Expect(s.hasRoom(v)).To(BeTrue(), "its part stays")
	v.total = 6
	g.Expect(s.hasRoom(v)).To(BeFalse(), "others use its part")
	g.Expect(s.wantedUntil).To(BeTemporally(">", start), "and it says so")
}

// Guards against an endpoint whose slots aren't known and which gets nothing, or all.
func TestShare_UnknownSlotsAreBoundedByRefusalsOnly(t *testing.T) {
	g := NewWithT(t)
	s := newShare(5, 6, 0)
	v := view{now: start, own: 20, total: 40, spread: 0.5}
	g.Expect(s.hasRoom(v)).To(BeTrue())
	g.Expect(s.placed(v)).To(BeFalse())
	s.refused(v)
	v.now = start.Add(refusalWindow)
	v.own = 10
	g.Expect(s.hasRoom(v)).To(BeFalse())
	v.own = 8
	g.Expect(s.hasRoom(v)).To(BeTrue())
}

// Guards against a limit that is too small or too large for the arithmetic.
func TestShare_AcceptsAnyLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300, 0.5, 1, 2.5, 1e300} {
		g := NewWithT(t)
		for position := range 6 {
			s := newShare(perSecond, 6, position)
			v := view{now: start, slots: 6, own: 1, total: 5, spread: 0.5}
			if perSecond < 1 {
				g.Expect(s.hasRoom(v)).To(BeFalse(), "%v at %d", perSecond, position)
			}
			s.refused(v)
			g.Expect(s.hold(v)).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxHold)))
			g.Expect(s.growers()).To(And(BeNumerically(">=", 0), BeNumerically("<=", 6)))
			v.now = v.now.Add(time.Minute)
			v.own = 0
			g.Expect(s.hasRoom(v)).To(BeTrue())
		}
	}
}

// Guards against an instance without any part that uses an endpoint with load, uses many idle
// ones at once, or goes on after a refusal, and against one that may use none.
func TestShare_WithoutPartUsesIdleEndpoints(t *testing.T) {
	g := NewWithT(t)
	s := newShare(5, 63, 30)
	v := view{now: start, slots: 6, own: 0, total: 1}
	g.Expect(s.hasRoom(v)).To(BeFalse(), "it has a part elsewhere")
	s.service.hasPart.Store(false)
	g.Expect(s.hasRoom(v)).To(BeTrue())
	g.Expect(s.placed(v)).To(BeFalse())
	g.Expect(s.hasRoom(v)).To(BeFalse(), "one at a time")
	v.now = start.Add(idleInterval)
	g.Expect(s.hasRoom(v)).To(BeTrue())
	v.total = 2
	g.Expect(s.hasRoom(v)).To(BeFalse(), "it isn't idle")
	v.total, v.own = 1, 1
	s.refused(v)
	v.own, v.now = 0, v.now.Add(maxHold+time.Second)
	g.Expect(s.hasRoom(v)).To(BeFalse())
	v.now = v.now.Add(idleHold)
	g.Expect(s.hasRoom(v)).To(BeTrue())
}
