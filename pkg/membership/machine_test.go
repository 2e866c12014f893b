package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// simNetwork simulates machines that tick in lock step. blocked reports whether
// messages over a link are lost.
type simNetwork struct {
	machines map[string]*Machine
	ids      []string
	dead     map[string]bool
	blocked  func(from, to string) bool
}

func testMember(i int) Member {
	id := fmt.Sprintf("entry-%d", i)
	return Member{ID: id, DataCentre: fmt.Sprintf("dc-%d", i%4), Addr: id, Incarnation: 1, Boot: uint64(i) + 1}
}

// newSimNetwork returns n members that know each other and have no notes to send.
func newSimNetwork(n int, seed uint64) *simNetwork {
	sim := &simNetwork{machines: map[string]*Machine{}, dead: map[string]bool{}, blocked: func(string, string) bool { return false }}
	var all []Note
	for i := range n {
		all = append(all, Note{Member: testMember(i)})
	}
	for i := range n {
		m := NewMachine(testMember(i), rand.New(rand.NewPCG(seed, uint64(i))))
		m.Merge(all)
		m.queue = noteQueue{}
		m.Events()
		sim.machines[m.self.ID] = m
		sim.ids = append(sim.ids, m.self.ID)
	}
	return sim
}

// call delivers a heartbeat and its reply, and reports whether it was answered.
func (sim *simNetwork) call(from *Machine, to Member) bool {
	peer, ok := sim.machines[to.ID]
	if !ok || sim.dead[to.ID] || sim.blocked(from.self.ID, to.ID) {
		from.Missed(to.ID)
		return false
	}
	from.Answered(to.ID, peer.Receive(from.Heartbeat(to.ID)))
	return true
}

// tick advances every live machine by one tick and makes its calls.
func (sim *simNetwork) tick() {
	for _, id := range sim.ids {
		if sim.dead[id] {
			continue
		}
		m := sim.machines[id]
		step := m.Tick()
		for _, to := range step.Heartbeats {
			sim.call(m, to)
		}
		for _, p := range step.Probes {
			m.Probed(p.Target.ID, sim.anyHelperReaches(m, p))
		}
		if x := step.Exchange; x != nil && !sim.dead[x.ID] && !sim.blocked(id, x.ID) {
			sim.machines[x.ID].Merge(m.Table())
			m.Merge(sim.machines[x.ID].Table())
		}
	}
}

// anyHelperReaches runs a probe and reports whether any helper reached the target.
func (sim *simNetwork) anyHelperReaches(m *Machine, p Probe) bool {
	reached := false
	for _, h := range p.Helpers {
		if !sim.dead[h.ID] && !sim.blocked(m.self.ID, h.ID) && sim.call(sim.machines[h.ID], p.Target) {
			reached = true
		}
	}
	return reached
}

// countStatus returns how many other live members see the given status for an id.
func (sim *simNetwork) countStatus(id string, want Status) int {
	n := 0
	for _, other := range sim.ids {
		if got, ok := sim.machines[other].Status(id); ok && got == want && other != id && !sim.dead[other] {
			n++
		}
	}
	return n
}

func TestMachine_DeadMemberDetectedByAllWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(t, "n")
		sim := newSimNetwork(n, rapid.Uint64().Draw(t, "seed"))
		victim := sim.ids[rapid.IntRange(0, n-1).Draw(t, "victim")]
		for range rapid.IntRange(0, 12).Draw(t, "before") {
			sim.tick()
		}
		sim.dead[victim] = true
		for range DetectionTicks(n) {
			sim.tick()
		}
		if got := sim.countStatus(victim, Gone); got != n-1 {
			t.Fatalf("%d of %d members see the failure after %d ticks", got, n-1, DetectionTicks(n))
		}
	})
}

// A member must not be marked gone while at least one other member reaches it: any
// other member in a group up to maxFullMesh, one that has it as a finger in a larger group.
func TestMachine_ReachableMemberNotDeclaredGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(t, "n")
		sim := newSimNetwork(n, rapid.Uint64().Draw(t, "seed"))
		victim := rapid.IntRange(0, n-1).Draw(t, "victim")
		id := sim.ids[victim]
		var monitors []string
		for _, i := range indexesExcept(n, victim) {
			if n <= maxFullMesh || sim.machines[sim.ids[i]].ring.hasFinger(id) {
				monitors = append(monitors, sim.ids[i])
			}
		}
		connected := map[string]bool{rapid.SampledFrom(monitors).Draw(t, "open"): true}
		for _, i := range rapid.SliceOf(rapid.SampledFrom(indexesExcept(n, victim))).Draw(t, "more") {
			connected[sim.ids[i]] = true
		}
		sim.blocked = func(a, b string) bool { return a == id && !connected[b] || b == id && !connected[a] }
		for range 4 * DetectionTicks(n) {
			sim.tick()
			if got := sim.countStatus(id, Gone); got > 0 {
				t.Fatalf("%d members see a reachable member as gone", got)
			}
		}
	})
}

func indexesExcept(n, skip int) []int {
	var out []int
	for i := range n {
		if i != skip {
			out = append(out, i)
		}
	}
	return out
}

func TestMachine_RefutesFalseGoneReport(t *testing.T) {
	g := NewWithT(t)
	sim := newSimNetwork(6, 1)
	sim.machines["entry-0"].mergeNote(Note{Member: testMember(3), Status: Gone})
	for range 2 * goneRecheckTicks {
		sim.tick()
	}
	g.Expect(sim.countStatus("entry-3", Alive)).To(Equal(5))
	g.Expect(sim.machines["entry-3"].Self().Incarnation).To(BeNumerically(">", 1))
}

func TestMachine_ReportsRestartOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimNetwork(6, 1)
		restarted := testMember(2)
		restarted.Boot = rapid.Uint64Min(1000).Draw(t, "boot")
		if rapid.Bool().Draw(t, "lower") {
			restarted.Boot = 1
		}
		m := NewMachine(restarted, rand.New(rand.NewPCG(1, 1)))
		if rapid.Bool().Draw(t, "table") {
			m.Merge(sim.machines["entry-0"].Table())
		}
		sim.machines["entry-2"] = m
		for range 40 {
			sim.tick()
		}
		for _, id := range sim.ids {
			restarts := 0
			for _, e := range sim.machines[id].Events() {
				if e.Member.ID == "entry-2" && e.Restarted {
					restarts++
				}
			}
			if id != "entry-2" && restarts != 1 {
				t.Fatalf("%s reported %d restarts, want 1", id, restarts)
			}
		}
	})
}

func TestMachine_RecoversAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 16).Draw(t, "n")
		sim := newSimNetwork(n, rapid.Uint64().Draw(t, "seed"))
		k := rapid.IntRange(1, n-1).Draw(t, "k")
		side := func(id string) bool { return sim.machines[id].self.Boot <= uint64(k) }
		sim.blocked = func(a, b string) bool { return side(a) != side(b) }
		for range DetectionTicks(n) * 2 {
			sim.tick()
		}
		sim.blocked = func(string, string) bool { return false }
		for range 12 * goneRecheckTicks {
			sim.tick()
		}
		for _, id := range sim.ids {
			if got := sim.countStatus(id, Alive); got != n-1 {
				t.Fatalf("%d of %d members see %s alive after the partition", got, n-1, id)
			}
		}
	})
}

func TestMachine_JoinAndLeaveReachAllMembers(t *testing.T) {
	g := NewWithT(t)
	sim := newSimNetwork(12, 1)
	joiner := NewMachine(testMember(99), rand.New(rand.NewPCG(9, 9)))
	joiner.Merge(sim.machines["entry-0"].Table())
	sim.machines["entry-99"] = joiner
	sim.ids = append(sim.ids, "entry-99")
	for range 3 * spreadTicks(13) {
		sim.tick()
	}
	g.Expect(sim.countStatus("entry-99", Alive)).To(Equal(12))
	sim.machines["entry-5"].Leave()
	for range 2 * spreadTicks(13) {
		sim.tick()
	}
	g.Expect(sim.countStatus("entry-5", Left)).To(Equal(12))
}
