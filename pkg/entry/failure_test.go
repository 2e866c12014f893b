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

// indexes returns the indexes of a response's tokens, which end in "#index".
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

// expectCompleteResponse checks that a client received every token of its
// response once and in order, from one continuation and from its own request.
func expectCompleteResponse(g *gomega.WithT, cl *client) {
	g.Expect(cl.failure).To(gomega.BeEmpty(), cl.id)
	g.Expect(cl.complete).To(gomega.BeTrue(), "%s complete after %d attempts, text %q", cl.id, cl.attempts, cl.text.String())
	prompt := modelserver.PromptHash("assistant", []engine.Message{{Role: "user", Content: cl.prompt}})
	n, _ := modelserver.AnswerLength(prompt, 1024)
	want := make([]int, n)
	for i := range want {
		want[i] = i
	}
	g.Expect(indexes(cl.text.String())).To(gomega.Equal(want), cl.id)
	g.Expect(cl.cluster.engines.fromOneContinuation(cl.text.String())).To(gomega.BeTrue(), "%s mixes two continuations: %s", cl.id, cl.text.String())
	for _, word := range strings.Fields(cl.text.String()) {
		g.Expect(word).To(gomega.HavePrefix("w/" + cl.id + "/"))
	}
}

// TestCallersGetCompleteResponsesUnderRandomFaults runs callers against entries
// and endpoints that are killed, reclaimed, stalled, partitioned and drained at random.
func TestCallersGetCompleteResponsesUnderRandomFaults(t *testing.T) {
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
				switch rapid.SampledFrom([]string{"send request", "send request", "send request", "kill endpoint", "reclaim", "stall streams", "kill entry", "drain entry", "cut", "isolate", "heal", "wait"}).Draw(rt, "action") {
				case "send request":
					cl := &client{cluster: c, key: "k", id: fmt.Sprintf("r%d", step), prompt: fmt.Sprintf("prompt %d", step), stream: rapid.Bool().Draw(rt, "stream")}
					clients = append(clients, cl)
					first := rapid.IntRange(0, 4).Draw(rt, "entry")
					wg.Go(func() { cl.run(first) })
				case "kill endpoint":
					i := rapid.IntRange(0, 7).Draw(rt, "endpoint")
					if i != 0 {
						c.engines.kill(c.instances[i].Addr)
					}
				case "reclaim":
					i := rapid.IntRange(1, 7).Draw(rt, "endpoint")
					if c.instances[i].State != cloud.StateLeaving {
						c.reclaim(i, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "grace"))*time.Millisecond)
					}
				case "stall streams":
					c.engines.stallStreams(c.instances[rapid.IntRange(0, 7).Draw(rt, "endpoint")].Addr)
				case "kill entry":
					if n := c.nodes[rapid.IntRange(0, 4).Draw(rt, "entry")]; !n.stopped.Load() && kills < 2 {
						kills++
						c.killEntry(n)
						time.Sleep(3 * time.Second)
					}
				case "drain entry":
					if n := c.nodes[rapid.IntRange(0, 4).Draw(rt, "entry")]; !n.stopped.Load() && kills < 2 {
						kills++
						linked := !c.net.hasBlockedLink(n.id)
						kept := c.drainEntry(n, time.Second)
						g.Expect(linked && kept > 0).To(gomega.BeFalse(), "%d flights not handed over by %s though all its links work", kept, n.id)
					}
				case "cut":
					a, b := rapid.IntRange(0, 4).Draw(rt, "a"), rapid.IntRange(0, 4).Draw(rt, "b")
					c.net.setBlocked(fmt.Sprintf("e%d>e%d", a, b), a != b)
				case "isolate":
					c.isolate(rapid.IntRange(0, 4).Draw(rt, "entry"))
				case "heal":
					for a := range 5 {
						for b := range 5 {
							c.net.setBlocked(fmt.Sprintf("e%d>e%d", a, b), false)
						}
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			}
			wg.Wait()
			for _, cl := range clients {
				expectCompleteResponse(g, cl)
			}
		})
	})
}

// TestSingleEntryFailureDoesNotRestartResponse checks that a caller need not
// start its request again after one entry is killed, except if that happens at once.
func TestSingleEntryFailureDoesNotRestartResponse(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 130 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("stream=%v/delay=%v", stream, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					c := newCluster(4, 4)
					defer c.close()
					cl := &client{cluster: c, key: "k", id: "r", prompt: "hello", stream: stream}
					var wg sync.WaitGroup
					wg.Go(func() { cl.run(0) })
					time.Sleep(delay)
					c.killEntry(c.nodes[0])
					wg.Wait()
					expectCompleteResponse(g, cl)
					g.Expect(cl.restarts <= 1 && (cl.restarts == 0 || delay == 0)).To(gomega.BeTrue(), "client restarted %d times", cl.restarts)
				})
			})
		}
	}
}

// TestStaleCopyIsNotJoinedToNewerOutput isolates an entry, lets its caller read
// beyond the last copy, and kills the entry. The continuation from the stale copy
// must not be appended to the tokens that the caller has read.
func TestStaleCopyIsNotJoinedToNewerOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(4, 4)
		defer c.close()
		cl := &client{cluster: c, key: "k", id: "r", prompt: "hello", stream: true, pause: 400 * time.Millisecond}
		var wg sync.WaitGroup
		wg.Go(func() { cl.run(0) })
		time.Sleep(50 * time.Millisecond)
		c.isolate(0)
		time.Sleep(90 * time.Millisecond)
		c.killEntry(c.nodes[0])
		wg.Wait()
		expectCompleteResponse(g, cl)
		g.Expect(cl.restarts).To(gomega.Equal(1))
	})
}

// TestReaderReconnectsWhenOwnerIsUnreachable isolates an entry while it reads a
// response from the owner. Its caller must get the response from another entry.
func TestReaderReconnectsWhenOwnerIsUnreachable(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				c := newCluster(4, 4)
				defer c.close()
				owner := &client{cluster: c, key: "k", id: "r", prompt: "hello", stream: stream}
				reader := &client{cluster: c, key: "k", id: "r", prompt: "hello", stream: stream}
				var wg sync.WaitGroup
				wg.Go(func() { owner.run(0) })
				time.Sleep(50 * time.Millisecond)
				// An entry that holds a copy could continue the answer without its owner.
				at := 1
				if c.nodes[at].manager.HoldsCopy("w/r") {
					at = 2
				}
				wg.Go(func() { reader.run(at) })
				time.Sleep(50 * time.Millisecond)
				c.isolate(at)
				wg.Wait()
				expectCompleteResponse(g, owner)
				expectCompleteResponse(g, reader)
			})
		})
	}
}

// TestRequestIsRefusedAfterClose checks that a closed entry refuses a request as
// not run.
func TestRequestIsRefusedAfterClose(t *testing.T) {
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

// TestRollingStopLosesNoResponses stops all entries but the last, one after another, under load.
func TestRollingStopLosesNoResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 8)
		defer c.close()
		var clients []*client
		var wg sync.WaitGroup
		for i := range 5 {
			for j := range 10 {
				cl := &client{cluster: c, key: "k", id: fmt.Sprintf("r%d-%d", i, j), prompt: fmt.Sprint(i, j), stream: j%2 == 0}
				clients = append(clients, cl)
				wg.Go(func() { cl.run(j) })
			}
			time.Sleep(100 * time.Millisecond)
			g.Expect(c.drainEntry(c.nodes[i], 400*time.Millisecond)).To(gomega.BeZero())
		}
		wg.Wait()
		for _, cl := range clients {
			expectCompleteResponse(g, cl)
			g.Expect(cl.restartReasons).To(gomega.BeEmpty(), cl.id)
		}
	})
}

// TestStoppingHalfOfTheEntriesLosesNoResponses stops three of six entries at the same time under load.
func TestStoppingHalfOfTheEntriesLosesNoResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 8)
		defer c.close()
		var clients []*client
		var wg sync.WaitGroup
		for j := range 60 {
			cl := &client{cluster: c, key: "k", id: fmt.Sprintf("r%d", j), prompt: fmt.Sprint(j), stream: j%2 == 0}
			clients = append(clients, cl)
			wg.Go(func() { cl.run(j) })
		}
		time.Sleep(100 * time.Millisecond)
		var stops sync.WaitGroup
		for _, n := range c.nodes[:3] {
			stops.Go(func() { c.drainEntry(n, 400*time.Millisecond) })
		}
		stops.Wait()
		wg.Wait()
		for _, cl := range clients {
			expectCompleteResponse(g, cl)
			g.Expect(cl.restartReasons).To(gomega.BeEmpty(), cl.id)
		}
	})
}

// TestReclaimedEndpointGetsNoNewRequests checks that nothing is placed on an
// endpoint after its reclaim notice.
func TestReclaimedEndpointGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(2, 3)
		defer c.close()
		c.reclaim(0, time.Hour)
		for i := range 20 {
			cl := &client{cluster: c, key: "k", id: fmt.Sprintf("r%d", i), prompt: fmt.Sprint(i)}
			cl.run(i)
			expectCompleteResponse(g, cl)
		}
		g.Expect(slices.Contains(c.engines.placements(), c.instances[0].Addr)).To(gomega.BeFalse())
	})
}

// TestNoPlacementWithoutConfirmedConfiguration lets the configuration go stale
// between the admission of a request and its placement, and during a response
// whose endpoint is killed.
func TestNoPlacementWithoutConfirmedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 0)
		defer c.close()
		waiting := &client{cluster: c, key: "k", id: "waiting", prompt: "a"}
		var wg sync.WaitGroup
		wg.Go(func() { waiting.run(0) })
		time.Sleep(100 * time.Millisecond)
		c.config.setStale(true)
		c.addEndpoint("dc-0")
		wg.Wait()
		g.Expect(waiting.failure).To(gomega.ContainSubstring("no_endpoint"))
		g.Expect(c.engines.placements()).To(gomega.BeEmpty())

		c.config.setStale(false)
		running := &client{cluster: c, key: "k", id: "running", prompt: "b", stream: true}
		wg.Go(func() { running.run(0) })
		time.Sleep(100 * time.Millisecond)
		c.config.setStale(true)
		c.addEndpoint("dc-1")
		c.engines.kill("m0")
		time.Sleep(5 * time.Second)
		g.Expect(c.engines.placements()).To(gomega.Equal([]string{"m0"}))
		c.config.setStale(false)
		wg.Wait()
		expectCompleteResponse(g, running)
	})
}

// TestRequestWaitsForConfigurationConfirmation checks that a request is served
// if the configuration is confirmed within FreshWait, and is refused as not run
// after FreshWait otherwise.
func TestRequestWaitsForConfigurationConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(1, 1)
		defer c.close()
		c.config.setStale(true)
		time.AfterFunc(entry.FreshWait/2, func() { c.config.setStale(false) })
		cl := &client{cluster: c, key: "k", id: "r", prompt: "a"}
		cl.run(0)
		expectCompleteResponse(g, cl)
		c.config.setStale(true)
		start := time.Now()
		r := c.nodes[0].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", entry.FreshWait))
	})
}

// TestCopiesStayInAllowedDataCentres checks that copies of a request are held
// only in the data centres that its workspace allows.
func TestCopiesStayInAllowedDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(6, 4)
		defer c.close()
		cl := &client{cluster: c, key: "n", id: "r", prompt: "hello", stream: true}
		var wg sync.WaitGroup
		wg.Go(func() { cl.run(1) })
		time.Sleep(100 * time.Millisecond)
		for _, n := range c.nodes {
			holds := n.manager.HoldsCopy("narrow/r")
			g.Expect(holds && n.manager.Self.DataCentre != "dc-0").To(gomega.BeFalse(), n.id)
		}
		wg.Wait()
		g.Expect(cl.complete).To(gomega.BeTrue())
	})
}
