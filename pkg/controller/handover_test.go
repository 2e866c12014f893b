package controller_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/bubble"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/controller"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// TestController_OneInstancePerSlotAcrossHolders moves the duty between controllers
// that are paused during calls, act on expired leases, and lose responses. No slot may
// ever have two instances, and in the end their number is within the preset's bounds.
func TestController_OneInstancePerSlotAcrossHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble.Run(t, func() { runHandovers(rt) })
	})
}

func runHandovers(t *rapid.T) {
	g := gomega.NewWithT(t)
	store, c, e, f := memstore.New(), newFakeCloud(), &fakeEngines{}, &fixedConfig{env: envelope(true)}
	nodes := []*node{newNode(0, store, c, e, f), newNode(1, store, c, e, f), newNode(2, store, c, e, f)}
	defer func() {
		for _, n := range nodes {
			n.client.resume()
			n.busy.Wait()
		}
	}()
	fence := uint64(1)
	nodes[0].lease.set(fence, true)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		n := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
		switch rapid.SampledFrom([]string{"step", "step", "step", "move", "move unnoticed", "pause writes", "pause reads", "resume", "end", "refuse", "accept", "lose", "answer", "hide", "show", "preset", "store fault", "store recovery"}).Draw(t, "event") {
		case "step":
			n.step()
		case "move":
			for _, other := range nodes {
				other.lease.set(0, false)
			}
			fence++
			n.lease.set(fence, true)
		case "move unnoticed":
			fence++
			n.lease.set(fence, true)
		case "pause writes":
			n.client.writes.close()
		case "pause reads":
			n.client.reads.close()
		case "resume":
			n.client.resume()
			synctest.Wait()
		case "end":
			if list := c.list(); len(list) > 0 {
				c.end(list[rapid.IntRange(0, len(list)-1).Draw(t, "instance")].ID)
			}
		case "refuse":
			c.refused[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc")] = true
		case "accept":
			clear(c.refused)
		case "lose", "answer":
			c.loseAnswers = !c.loseAnswers
		case "hide":
			c.hidden = rapid.IntRange(0, 3).Draw(t, "hidden")
		case "show":
			c.hidden = 0
		case "preset":
			next := *f.env
			next.Preset = rapid.SampledFrom([]string{"all", "without c"}).Draw(t, "preset")
			f.env = &next
		case "store fault":
			kind := rapid.SampledFrom([]memstore.Fault{memstore.FaultLostAnswer, memstore.FaultLostRequest, memstore.FaultUnavailable}).Draw(t, "fault")
			store.SetHook(func(op memstore.Op, _ string) memstore.Fault {
				if op == memstore.OpUpdate || op == memstore.OpCreate {
					return kind
				}
				return memstore.FaultNone
			})
		case "store recovery":
			store.SetHook(nil)
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
		g.Expect(c.duplicates).To(gomega.BeEmpty())
	}
	settle(nodes, store, c, fence+1)
	g.Expect(c.duplicates).To(gomega.BeEmpty())
	live := c.list()
	g.Expect(len(live)).To(gomega.BeNumerically(">=", minInstances))
	g.Expect(len(live)).To(gomega.BeNumerically("<=", maxInstances))
	if f.env.Preset == "without c" {
		g.Expect(slices.ContainsFunc(live, func(in cloud.Instance) bool { return in.DataCentre == "c" })).To(gomega.BeFalse())
	}
}

// settle ends all faults and runs one controller for 200 steps.
func settle(nodes []*node, store *memstore.Store, c *fakeCloud, fence uint64) {
	store.SetHook(nil)
	clear(c.refused)
	c.loseAnswers, c.hidden = false, 0
	for _, n := range nodes {
		n.lease.set(0, false)
		n.client.resume()
		n.busy.Wait()
	}
	nodes[0].lease.set(fence, true)
	for range 200 {
		nodes[0].step()
		time.Sleep(time.Second)
	}
}

// TestController_LateStartAfterRefusal delays a start of a former holder. Meanwhile the
// new holder's start for the same slot is first refused and then succeeds. The late
// start must not create a second instance.
func TestController_LateStartAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c, f := memstore.New(), newFakeCloud(), &fixedConfig{env: envelope(true)}
		a, b := newNode(0, store, c, &fakeEngines{}, f), newNode(1, store, c, &fakeEngines{}, f)
		a.lease.set(1, true)
		a.step()
		a.step()
		c.end(c.list()[0].ID)
		a.step()
		a.client.writes.close()
		a.step()
		g.Expect(a.active).To(gomega.BeTrue(), "no start is blocked")
		b.lease.set(2, true)
		c.refused = map[string]bool{"a": true, "b": true, "c": true}
		for range 10 {
			b.step()
			time.Sleep(5 * time.Second)
		}
		clear(c.refused)
		time.Sleep(time.Hour)
		b.step()
		b.step()
		g.Expect(c.list()).To(gomega.HaveLen(minInstances))
		a.client.resume()
		a.busy.Wait()
		g.Expect(c.duplicates).To(gomega.BeEmpty())
		g.Expect(c.list()).To(gomega.HaveLen(minInstances))
	})
}

// TestController_FormerHolderCannotStore pauses a holder between observing and planning
// until another one has taken over. The former holder must not store or execute its
// plan, even if the new holder has made no decision.
func TestController_FormerHolderCannotStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c, f := memstore.New(), newFakeCloud(), &fixedConfig{env: envelope(true)}
		a, b := newNode(0, store, c, &fakeEngines{}, f), newNode(1, store, c, &fakeEngines{}, f)
		a.lease.set(1, true)
		a.step()
		a.step()
		before := c.list()
		a.client.reads.close()
		a.step()
		b.lease.set(2, true)
		b.step()
		next := *f.env
		next.Preset = "without c"
		f.env = &next
		c.end(before[0].ID)
		a.client.resume()
		a.busy.Wait()
		g.Expect(c.list()).To(gomega.HaveLen(minInstances - 1))
		o, err := store.Get(t.Context(), controller.StateKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(o.Value)).To(gomega.ContainSubstring(`"fence":2`))
	})
}

// TestController_NoActionWithoutLease checks that a controller starts no instances
// before it holds the duty.
func TestController_NoActionWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c := memstore.New(), newFakeCloud()
		n := newNode(0, store, c, &fakeEngines{}, &fixedConfig{env: envelope(true)})
		g.Expect(n.Step(t.Context())).To(gomega.MatchError(controller.ErrNotHolder))
		g.Expect(c.list()).To(gomega.BeEmpty())
		n.lease.set(1, true)
		g.Expect(n.Step(t.Context())).To(gomega.Succeed())
		g.Expect(c.list()).To(gomega.HaveLen(minInstances))
	})
}

// TestController_NoActionWhenStoreFails checks that no action is executed during an
// outage of the object store.
func TestController_NoActionWhenStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c := memstore.New(), newFakeCloud()
		n := newNode(0, store, c, &fakeEngines{}, &fixedConfig{env: envelope(true)})
		n.lease.set(1, true)
		store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
		g.Expect(n.Step(t.Context())).To(gomega.MatchError(controller.ErrNotStored))
		g.Expect(c.list()).To(gomega.BeEmpty())
		store.SetHook(nil)
		g.Expect(n.Step(t.Context())).To(gomega.Succeed())
		g.Expect(c.list()).To(gomega.HaveLen(minInstances))
	})
}

// TestController_OrdersWaitForFormerHolder checks that endpoints that don't check
// fencing tokens get no orders until those of the former holder have arrived.
func TestController_OrdersWaitForFormerHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := &fakeEngines{running: 1}
			f := &fixedConfig{env: envelope(checks)}
			n := newNode(0, memstore.New(), newFakeCloud(), e, f)
			n.lease.set(7, true)
			g.Expect(n.Step(t.Context())).To(gomega.Succeed())
			closed := *f.env
			closed.Preset = "without c"
			f.env = &closed
			g.Expect(n.Step(t.Context())).To(gomega.Succeed())
			g.Expect(len(e.orders) > 0).To(gomega.Equal(checks))
			time.Sleep(controller.DefaultFormerOrderTimeout + 4*time.Second)
			g.Expect(n.Step(t.Context())).To(gomega.Succeed())
			g.Expect(e.orders).To(gomega.ContainElement(engine.Order{Kind: engine.OrderDrain, Fence: 7}))
		})
	}
}

// TestFollowDrains_MarksStoredDrains checks that entries get each stored drain with its
// stop time.
func TestFollowDrains_MarksStoredDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c, f := memstore.New(), newFakeCloud(), &fixedConfig{env: envelope(true)}
		n := newNode(0, store, c, &fakeEngines{running: 1}, f)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		marked := make(map[string]time.Time)
		go func() {
			_ = controller.FollowDrains(ctx, store, time.Now, func(id string, stopAt time.Time) bool {
				marked[id] = stopAt
				return true
			}, slog.New(slog.DiscardHandler))
		}()
		n.lease.set(1, true)
		g.Expect(n.Step(t.Context())).To(gomega.Succeed())
		closed := *f.env
		closed.Preset = "without c"
		f.env = &closed
		g.Expect(n.Step(t.Context())).To(gomega.Succeed())
		synctest.Wait()
		var want []string
		for _, in := range c.list() {
			if in.DataCentre == "c" {
				want = append(want, in.ID)
			}
		}
		g.Expect(want).NotTo(gomega.BeEmpty())
		g.Expect(marked).To(gomega.HaveLen(len(want)))
		for _, id := range want {
			g.Expect(marked[id]).To(gomega.BeTemporally(">", time.Now()))
		}
	})
}
