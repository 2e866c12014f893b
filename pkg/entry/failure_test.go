package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/bubble"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// indexes returns the positions of an answer's tokens, which end in "#position".
func indexes(text string) []int {
	var out []int
	for _, word := range strings.Fields(text) {
		var i int
		if _, err := fmt.Sscanf(word[strings.LastIndex(word, "#"):], "#%d", &i); err == nil {
			out = append(out, i)
		}
	}
	return out
}

// expectWhole checks that a client got its whole answer, once, without a gap
// or a repeat, and only pieces of its own request.
func expectWhole(g *gomega.WithT, k *client) {
	g.Expect(k.failure).To(gomega.BeEmpty(), k.id)
	g.Expect(k.complete).To(gomega.BeTrue(), "%s complete after %d hops, text %q", k.id, k.hops, k.text.String())
	prompt := modelserver.PromptHash("assistant", []engine.Message{{Role: "user", Content: k.prompt}})
	n, _ := modelserver.AnswerLength(prompt, 1024)
	want := make([]int, n)
	for i := range want {
		want[i] = i
	}
	g.Expect(indexes(k.text.String())).To(gomega.Equal(want), k.id)
	g.Expect(k.c.engines.continues(k.text.String())).To(gomega.BeTrue(), "%s mixes two continuations: %s", k.id, k.text.String())
	for _, word := range strings.Fields(k.text.String()) {
		g.Expect(word).To(gomega.HavePrefix("w/" + k.id + "/"))
	}
}

// TestCallersGetWholeAnswers runs callers against entries and endpoints that
// are killed, reclaimed, silenced, cut off and drained at random.
func TestCallersGetWholeAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble.Run(t, func() {
			g := gomega.NewWithT(rt)
			c := newCluster(5, 8)
			defer c.close()
			var clients []*client
			var wg sync.WaitGroup
			kills := 0
			steps := rapid.IntRange(4, 14).Draw(rt, "steps")
			for step := range steps {
				switch rapid.SampledFrom([]string{"ask", "ask", "ask", "kill endpoint", "reclaim", "silence", "kill entry", "drain entry", "cut", "isolate", "heal", "wait"}).Draw(rt, "action") {
				case "ask":
					k := &client{c: c, key: "k", id: fmt.Sprintf("r%d", step), prompt: fmt.Sprintf("prompt %d", step), stream: rapid.Bool().Draw(rt, "stream")}
					clients = append(clients, k)
					first := rapid.IntRange(0, 4).Draw(rt, "entry")
					wg.Go(func() { k.run(first) })
				case "kill endpoint":
					i := rapid.IntRange(0, 7).Draw(rt, "endpoint")
					if i != 0 {
						c.engines.kill(c.instances[i].Addr)
					}
				case "reclaim":
					i := rapid.IntRange(1, 7).Draw(rt, "endpoint")
					if c.instances[i].State != cloud.StateLeaving {
						c.notice(i, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "grace"))*time.Millisecond)
					}
				case "silence":
					c.engines.silence(c.instances[rapid.IntRange(0, 7).Draw(rt, "endpoint")].Addr)
				case "kill entry":
					if n := c.nodes[rapid.IntRange(0, 4).Draw(rt, "entry")]; !n.stopped.Load() && kills < 2 {
						kills++
						c.killEntry(n)
						time.Sleep(3 * time.Second)
					}
				case "drain entry":
					if n := c.nodes[rapid.IntRange(0, 4).Draw(rt, "entry")]; !n.stopped.Load() && kills < 2 {
						kills++
						linked := !c.net.anyCut(n.id)
						kept := c.drainEntry(n, time.Second)
						g.Expect(linked && kept > 0).To(gomega.BeFalse(), "%d answers kept by %s though all its links work", kept, n.id)
					}
				case "cut":
					a, b := rapid.IntRange(0, 4).Draw(rt, "a"), rapid.IntRange(0, 4).Draw(rt, "b")
					c.net.setCut(fmt.Sprintf("e%d>e%d", a, b), a != b)
				case "isolate":
					c.isolate(rapid.IntRange(0, 4).Draw(rt, "entry"))
				case "heal":
					for a := range 5 {
						for b := range 5 {
							c.net.setCut(fmt.Sprintf("e%d>e%d", a, b), false)
						}
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			}
			wg.Wait()
			for _, k := range clients {
				expectWhole(g, k)
			}
		})
	})
}

// TestSingleFaultNeverRestarts checks that with one dead entry at a time no
// caller has to ask for its answer from the start.
func TestSingleFaultNeverRestarts(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 130 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("stream=%v/delay=%v", stream, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					c := newCluster(4, 4)
					defer c.close()
					k := &client{c: c, key: "k", id: "r", prompt: "hello", stream: stream}
					var wg sync.WaitGroup
					wg.Go(func() { k.run(0) })
					time.Sleep(delay)
					c.killEntry(c.nodes[0])
					wg.Wait()
					expectWhole(g, k)
					g.Expect(k.restarts <= 1 && (k.restarts == 0 || delay == 0)).To(gomega.BeTrue(), "restarts %d", k.restarts)
				})
			})
		}
	}
}

// TestOlderCopyIsNotContinued cuts an entry off its peers, lets its caller read
// on beyond the last copy, and kills it: what the holder of the old copy
// continues must not be joined to what the caller has read.
func TestOlderCopyIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(4, 4)
		defer c.close()
		k := &client{c: c, key: "k", id: "r", prompt: "hello", stream: true, pause: 400 * time.Millisecond}
		var wg sync.WaitGroup
		wg.Go(func() { k.run(0) })
		time.Sleep(50 * time.Millisecond)
		c.isolate(0)
		time.Sleep(90 * time.Millisecond)
		c.killEntry(c.nodes[0])
		wg.Wait()
		expectWhole(g, k)
		g.Expect(k.restarts).To(gomega.Equal(1))
	})
}

// TestReaderOfALostOwnerIsSentElsewhere cuts an entry off its peers while it
// reads an answer from one of them: its caller must get the answer elsewhere.
func TestReaderOfALostOwnerIsSentElsewhere(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				c := newCluster(4, 4)
				defer c.close()
				owner := &client{c: c, key: "k", id: "r", prompt: "hello", stream: stream}
				reader := &client{c: c, key: "k", id: "r", prompt: "hello", stream: stream}
				var wg sync.WaitGroup
				wg.Go(func() { owner.run(0) })
				time.Sleep(50 * time.Millisecond)
				// An entry that holds a copy could go on by itself.
				at := 1
				if c.nodes[at].manager.HoldsCopy("w/r") {
					at = 2
				}
				wg.Go(func() { reader.run(at) })
				time.Sleep(50 * time.Millisecond)
				c.isolate(at)
				wg.Wait()
				expectWhole(g, owner)
				expectWhole(g, reader)
			})
		})
	}
}

// TestNothingStartsAfterClose closes an entry while requests come in.
func TestNothingStartsAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 1)
		defer c.close()
		c.nodes[0].server.Close()
		r := c.nodes[0].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
		g.Expect(c.engines.placements()).To(gomega.BeEmpty())
	})
}

// TestPlannedStopOfAllEntriesInTurn stops all entries but the last, one after another, under load.
func TestPlannedStopOfAllEntriesInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 8)
		defer c.close()
		var clients []*client
		var wg sync.WaitGroup
		for i := range 5 {
			for j := range 10 {
				k := &client{c: c, key: "k", id: fmt.Sprintf("r%d-%d", i, j), prompt: fmt.Sprint(i, j), stream: j%2 == 0}
				clients = append(clients, k)
				wg.Go(func() { k.run(j) })
			}
			time.Sleep(100 * time.Millisecond)
			g.Expect(c.drainEntry(c.nodes[i], 400*time.Millisecond)).To(gomega.BeZero())
		}
		wg.Wait()
		for _, k := range clients {
			expectWhole(g, k)
			g.Expect(k.why).To(gomega.BeEmpty(), k.id)
		}
	})
}

// TestPlannedStopOfHalf stops three of six entries at once under load.
func TestPlannedStopOfHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 8)
		defer c.close()
		var clients []*client
		var wg sync.WaitGroup
		for j := range 60 {
			k := &client{c: c, key: "k", id: fmt.Sprintf("r%d", j), prompt: fmt.Sprint(j), stream: j%2 == 0}
			clients = append(clients, k)
			wg.Go(func() { k.run(j) })
		}
		time.Sleep(100 * time.Millisecond)
		var stops sync.WaitGroup
		for _, n := range c.nodes[:3] {
			stops.Go(func() { c.drainEntry(n, 400*time.Millisecond) })
		}
		stops.Wait()
		wg.Wait()
		for _, k := range clients {
			expectWhole(g, k)
			g.Expect(k.why).To(gomega.BeEmpty(), k.id)
		}
	})
}

// TestLeavingEndpointGetsNoNewWork checks that from the notice on nothing new is placed there.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(2, 3)
		defer c.close()
		c.notice(0, time.Hour)
		for i := range 20 {
			k := &client{c: c, key: "k", id: fmt.Sprintf("r%d", i), prompt: fmt.Sprint(i)}
			k.run(i)
			expectWhole(g, k)
		}
		g.Expect(slices.Contains(c.engines.placements(), c.instances[0].Addr)).To(gomega.BeFalse())
	})
}

// TestNothingIsPlacedWithoutAConfirmedConfiguration lets the configuration go
// stale between the admission of a request and its placement, and under a
// running answer whose endpoint dies.
func TestNothingIsPlacedWithoutAConfirmedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 0)
		defer c.close()
		waiting := &client{c: c, key: "k", id: "waiting", prompt: "a"}
		var wg sync.WaitGroup
		wg.Go(func() { waiting.run(0) })
		time.Sleep(100 * time.Millisecond)
		c.config.setStale(true)
		c.addEndpoint("dc-0")
		wg.Wait()
		g.Expect(waiting.failure).To(gomega.ContainSubstring("no_endpoint"))
		g.Expect(c.engines.placements()).To(gomega.BeEmpty())

		c.config.setStale(false)
		running := &client{c: c, key: "k", id: "running", prompt: "b", stream: true}
		wg.Go(func() { running.run(0) })
		time.Sleep(100 * time.Millisecond)
		c.config.setStale(true)
		c.addEndpoint("dc-1")
		c.engines.kill("m0")
		time.Sleep(5 * time.Second)
		g.Expect(c.engines.placements()).To(gomega.Equal([]string{"m0"}))
		c.config.setStale(false)
		wg.Wait()
		expectWhole(g, running)
	})
}

// TestRequestWaitsShortlyForTheConfiguration checks that a request that comes
// right after a pause is served once the configuration is confirmed, and that
// one which comes in a long cut is refused as not run at once after the wait.
func TestRequestWaitsShortlyForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 1)
		defer c.close()
		c.config.setStale(true)
		time.AfterFunc(entry.FreshWait/2, func() { c.config.setStale(false) })
		k := &client{c: c, key: "k", id: "r", prompt: "a"}
		k.run(0)
		expectWhole(g, k)
		c.config.setStale(true)
		start := time.Now()
		r := c.nodes[0].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", entry.FreshWait))
	})
}

// TestCopiesStayInAllowedDataCentres checks that a request's copy is kept only where its data may be.
func TestCopiesStayInAllowedDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 4)
		defer c.close()
		k := &client{c: c, key: "n", id: "r", prompt: "hello", stream: true}
		var wg sync.WaitGroup
		wg.Go(func() { k.run(1) })
		time.Sleep(100 * time.Millisecond)
		for _, n := range c.nodes {
			holds := n.manager.HoldsCopy("narrow/r")
			g.Expect(holds && n.manager.Self.DataCentre != "dc-0").To(gomega.BeFalse(), n.id)
		}
		wg.Wait()
		g.Expect(k.complete).To(gomega.BeTrue())
	})
}
