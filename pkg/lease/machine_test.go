package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// stepsPerCheck is the mean number of transitions in one rapid check.
const stepsPerCheck = "150"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", stepsPerCheck); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// duration is the duration of the simulated lease.
const duration = 10 * time.Second

// candidate is a simulated process whose clock runs at its own rate.
type candidate struct {
	m *Machine
	// rate is how fast its clock runs, in thousandths.
	rate int
	// inFlight is its pending call, if any. Once the store has answered, answered is true
	// and answer passes the result to the machine.
	inFlight *Action
	answered bool
	answer   func(now time.Time)
}

// simulation holds one lease, its candidates, and delayed writes. It records which process
// acted under which fencing token.
type simulation struct {
	now    time.Time
	stored Stored
	// copies holds the earlier states to which the store may be rolled back, oldest first.
	copies []Stored
	// history is the number of rollbacks.
	history       uint64
	delayedWrites []Action
	candidates    []*candidate
	ids           int
	actedBy       map[uint64]string
	highest       uint64
	acted         int
}

// zeroSource makes every random delay nearly zero.
type zeroSource struct{}

func (zeroSource) Uint64() uint64 { return 1 << 24 }

// add starts a new process.
func (sim *simulation) add(t *rapid.T) {
	sim.ids++
	self := fmt.Sprint("p", sim.ids)
	n := 0
	c := &candidate{rate: rapid.IntRange(980, 1020).Draw(t, "rate")}
	source := rand.Source(rand.NewPCG(uint64(sim.ids), 1))
	if rapid.Bool().Draw(t, "no delay") {
		source = zeroSource{}
	}
	c.m = NewMachine(Config{Self: self, Owner: "on " + self, Duration: duration, Rand: rand.New(source), WriteID: func() string {
		n++
		return fmt.Sprint(self, "-", n)
	}})
	sim.candidates = append(sim.candidates, c)
}

// clock returns the time on a process's own clock.
func (sim *simulation) clock(c *candidate) time.Time {
	return time.Unix(0, 0).Add(sim.now.Sub(time.Unix(0, 0)) / 1000 * time.Duration(c.rate))
}

// apply performs a conditional write at the store and reports whether it took effect.
func (sim *simulation) apply(a Action) bool {
	if a.Version != sim.stored.Version {
		return false
	}
	if a.Record.Fence < sim.stored.Fence {
		panic("the fencing token decreased")
	}
	sim.copies = append(sim.copies, sim.stored)
	sim.stored = Stored{Record: a.Record, Version: objectstore.Version(sim.history, objectstore.Revision(sim.stored.Version)+1)}
	return true
}

// rollBack rolls the store back to an earlier state: its newest writes are lost, and the
// versions continue from that state.
func (sim *simulation) rollBack(t *rapid.T) {
	if len(sim.copies) == 0 {
		t.Skip("nothing was written")
	}
	lost := rapid.IntRange(1, min(3, len(sim.copies))).Draw(t, "lost writes")
	sim.history++
	sim.stored = sim.copies[len(sim.copies)-lost]
	sim.copies = sim.copies[:len(sim.copies)-lost]
	sim.stored.Version = objectstore.Version(sim.history, objectstore.Revision(sim.stored.Version))
}

// call performs a process's pending call at the store, with a random fault.
func (sim *simulation) call(t *rapid.T, c *candidate) {
	a, m := *c.inFlight, c.m
	fault := rapid.SampledFrom([]string{"", "", "", "", "down", "lost answer", "lost request", "late"}).Draw(t, "fault")
	c.answered = true
	switch {
	case a.Kind == Read && fault != "":
		c.answer = m.OnUnknown
	case a.Kind == Read:
		s := sim.stored
		c.answer = func(now time.Time) { m.OnRead(now, s) }
	case fault == "down":
		c.answer = func(now time.Time) { m.OnRejected(now, a.Record.WriteID, false) }
	case fault == "late":
		sim.delayedWrites = append(sim.delayedWrites, a)
		c.answer = m.OnUnknown
	case fault == "lost request":
		c.answer = m.OnUnknown
	case !sim.apply(a) && fault == "":
		c.answer = func(now time.Time) { m.OnRejected(now, a.Record.WriteID, true) }
	case fault == "lost answer":
		c.answer = m.OnUnknown
	default:
		s := sim.stored
		c.answer = func(now time.Time) { m.OnWritten(now, s) }
	}
}

// step lets a random process start a call, have it performed by the store, or receive its
// answer. The other processes are paused.
func (sim *simulation) step(t *rapid.T) {
	c := rapid.SampledFrom(sim.candidates).Draw(t, "process")
	now := sim.clock(c)
	switch {
	case c.inFlight == nil:
		if a := c.m.Next(now, true); a.Kind != Wait {
			c.inFlight = &a
		}
	case !c.answered:
		sim.call(t, c)
	default:
		c.answer(now)
		c.inFlight, c.answered = nil, false
	}
}

// check lets every process that considers itself the holder act, and checks that there is
// at most one and that the fencing token grows with every holder.
func (sim *simulation) check(t *rapid.T) {
	holders := 0
	for _, c := range sim.candidates {
		fence, _, ok := c.m.Held(sim.clock(c))
		if !ok {
			continue
		}
		holders++
		sim.acted++
		if other, taken := sim.actedBy[fence]; taken && other != c.m.Self {
			t.Fatalf("%s and %s act under fencing token %d", other, c.m.Self, fence)
		}
		if fence < sim.highest {
			t.Fatalf("%s acts under fencing token %d after %d", c.m.Self, fence, sim.highest)
		}
		sim.actedBy[fence] = c.m.Self
		sim.highest = fence
	}
	if holders > 1 {
		t.Fatalf("%d processes may act at once", holders)
	}
}

func TestMachine_AtMostOneHolder(t *testing.T) {
	acted := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: time.Unix(1000, 0), actedBy: map[uint64]string{}}
		for range rapid.IntRange(1, 4).Draw(t, "n") {
			sim.add(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"advance a little": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			},
			"until due": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.candidates).Draw(t, "process")
				if wait := c.m.nextCallAt.Sub(sim.clock(c)); wait > 0 {
					sim.now = sim.now.Add(wait * 1000 / time.Duration(c.rate))
				}
			},
			"step": sim.step, "step 2": sim.step, "step 3": sim.step, "step 4": sim.step, "step 5": sim.step,
			"late write": func(t *rapid.T) {
				if len(sim.delayedWrites) == 0 {
					t.Skip("no late write")
				}
				i := rapid.IntRange(0, len(sim.delayedWrites)-1).Draw(t, "which")
				sim.apply(sim.delayedWrites[i])
				sim.delayedWrites = append(sim.delayedWrites[:i], sim.delayedWrites[i+1:]...)
			},
			"store rollback": sim.rollBack,
			"release": func(t *rapid.T) {
				c := rapid.SampledFrom(sim.candidates).Draw(t, "process")
				if c.inFlight != nil {
					t.Skip("a call is pending")
				}
				if a, ok := c.m.Release(sim.clock(c)); ok {
					c.inFlight = &a
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(sim.candidates)-1).Draw(t, "process")
				sim.add(t)
				sim.candidates[len(sim.candidates)-1].m.Owner = sim.candidates[i].m.Owner
				sim.candidates[i] = sim.candidates[len(sim.candidates)-1]
				sim.candidates = sim.candidates[:len(sim.candidates)-1]
			},
			"": sim.check,
		})
		acted += sim.acted
	})
	if acted == 0 {
		t.Fatal("no process ever held the lease")
	}
	t.Logf("%d actions under the lease", acted)
}
