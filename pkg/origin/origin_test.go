package origin

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// network connects registries in virtual time.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Registry
	// lost reports whether the next message is lost; nil means that none is.
	lost func() bool
	// cut holds the instances that reach no other.
	cut map[string]bool
	// messages and bytes count what was sent.
	messages, bytes int
}

// messageDelay is the time that a message takes.
const messageDelay = 2 * time.Millisecond

func newNetwork(count int) *network {
	n := &network{nodes: make(map[string]*Registry), cut: make(map[string]bool)}
	for i := range count {
		n.start(fmt.Sprint("gw-", i))
	}
	return n
}

// start starts an instance, or replaces its process.
func (n *network) start(id string) *Registry {
	r := New(Options{
		Peers: func() []string { return n.peersOf(id) }, Send: func(peer string, data []byte) { n.send(id, peer, data) },
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = r
	return r
}

func (n *network) stop(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

func (n *network) peersOf(id string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for peer := range n.nodes {
		if peer != id && !n.cut[id] && !n.cut[peer] {
			out = append(out, peer)
		}
	}
	return out
}

func (n *network) send(from, to string, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += len(data)
	if n.lost != nil && n.lost() {
		return
	}
	if peer, ok := n.nodes[to]; ok && !n.cut[from] && !n.cut[to] {
		time.AfterFunc(messageDelay, func() { peer.Receive(from, data) })
	}
}

// found returns the share of streams that instances know or find out, with the right build.
func (n *network) found(g *WithT, streams int, at func(i int) string) float64 {
	count := 0
	for i := range streams {
		n.mu.Lock()
		r := n.nodes[at(i)]
		n.mu.Unlock()
		b, err := r.Find(context.Background(), "w1", fmt.Sprint("s", i))
		if err == nil {
			g.Expect(b).To(Equal(buildOf(i)))
			count++
		}
	}
	return float64(count) / float64(streams)
}

// buildOf returns the build at which the i-th stream begins.
func buildOf(i int) endpoints.Build { return endpoints.Build(1 + i%3) }

// begin records streams at the instances in turn.
func (n *network) begin(streams, instances int) {
	for i := range streams {
		n.nodes[fmt.Sprint("gw-", i%instances)].Record("w1", fmt.Sprint("s", i), buildOf(i))
	}
	time.Sleep(10 * messageDelay)
}

// Guards against streams that callers take up at another instance, and that can't go on since
// it doesn't find out where they began: whatever the number of instances, and though some join,
// stop or are replaced meanwhile.
func TestRegistry_FindsWhereStreamsBegan(t *testing.T) {
	for name, change := range map[string]func(n *network, count int){
		"nothing changes":          func(*network, int) {},
		"a tenth joins":            func(n *network, count int) { n.startMany(count, count/10+1) },
		"one has stopped":          func(n *network, _ int) { n.stop("gw-0") },
		"one has been replaced":    func(n *network, _ int) { n.start("gw-0") },
		"one has been cut off":     func(n *network, _ int) { n.cut["gw-0"] = true },
		"a tenth has been stopped": func(n *network, count int) { n.stopMany(count/10 + 1) },
	} {
		for _, count := range []int{2, 6, 63, 880} {
			t.Run(fmt.Sprint(name, ", ", count, " instances"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					n := newNetwork(count)
					const streams = 300
					n.begin(streams, count)
					change(n, count)
					last := fmt.Sprint("gw-", count-1)
					want := 0.95
					if count <= 2 {
						want = 0.5 // half of the streams are known to the one that is left only
					}
					g.Expect(n.found(g, streams, func(int) string { return last })).To(BeNumerically(">=", want))
				})
			})
		}
	}
}

func (n *network) startMany(first, count int) {
	for i := range count {
		n.start(fmt.Sprint("gw-", first+i))
	}
}

func (n *network) stopMany(count int) {
	for i := range min(count, len(n.nodes)-1) {
		n.stop(fmt.Sprint("gw-", i))
	}
}

// Guards against streams that can't go on since messages are lost or an instance is frozen.
func TestRegistry_AsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(6)
		random := rand.New(rand.NewPCG(1, 1))
		n.lost = func() bool { return random.IntN(5) == 0 }
		n.begin(300, 6)
		g.Expect(n.found(g, 300, func(i int) string { return fmt.Sprint("gw-", (i+3)%6) })).To(BeNumerically(">=", 0.95))
	})
}

// Guards against requests that wait for what no one knows.
func TestRegistry_AnswersAtOnceWhatNobodyKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork(6)
		began := time.Now()
		_, err := n.nodes["gw-0"].Find(context.Background(), "w1", "s1")
		g.Expect(err).To(MatchError(ErrUnknown), "all have answered")
		g.Expect(time.Since(began)).To(Equal(2 * messageDelay))
		n.lost = func() bool { return true }
		began = time.Now()
		_, err = n.nodes["gw-0"].Find(context.Background(), "w1", "s1")
		g.Expect(err).To(MatchError(ErrNotFound))
		g.Expect(time.Since(began)).To(Equal(maxAsks * askInterval))
		g.Expect(n.nodes["gw-0"].asked.byKey).To(BeEmpty())
	})
}

// Guards against callers that learn of the streams of others, or mix them up.
func TestRegistry_TellsCallersApart(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1)
	r := n.nodes["gw-0"]
	r.Record("w1", "s1", 1)
	for _, other := range [][2]string{{"w2", "s1"}, {"w", "1s1"}, {"w1s", "1"}, {"", "w1s1"}} {
		_, err := r.Find(context.Background(), other[0], other[1])
		g.Expect(err).To(HaveOccurred(), "%v", other)
	}
}

// Guards against a stream that is guessed to have begun at one of two builds.
func TestMemory_ForgetsStreamWithTwoBuilds(t *testing.T) {
	g := NewWithT(t)
	var m memory
	now := time.Unix(1000, 0)
	m.add(1, 5, now)
	m.add(1, 5, now)
	b, state := m.find(1, now)
	g.Expect(state).To(Equal(streamKnown))
	g.Expect(b).To(Equal(endpoints.Build(5)))
	m.add(1, 6, now)
	m.add(1, 5, now)
	_, state = m.find(1, now)
	g.Expect(state).To(Equal(streamContradictory))
}

// Property: the memory is bounded, whatever streams begin, and knows each one for as long as
// callers may take it up if there are few.
func TestMemory_IsBoundedAndKeepsStreamsForATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var m memory
		now := time.Unix(1000, 0)
		began := make(map[key]time.Time)
		for n := range rapid.IntRange(1, 300).Draw(rt, "streams") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "pause")) * time.Millisecond)
			m.add(key(n), 7, now)
			began[key(n)] = now
			for k, at := range began {
				if _, state := m.find(k, now); state != streamKnown && now.Sub(at) < generationTime {
					rt.Fatalf("stream of %v ago is not known", now.Sub(at))
				}
			}
		}
	})
	g := NewWithT(t)
	var m memory
	for n := range 10 * shards * maxGeneration {
		m.add(key(n), 7, time.Unix(1000, 0))
	}
	for i := range m {
		g.Expect(len(m[i].newer) + len(m[i].older)).To(BeNumerically("<=", 2*maxGeneration))
	}
}

// Guards against traffic between instances that grows with their number.
func TestRegistry_SendsFewMessages(t *testing.T) {
	for _, count := range []int{6, 63, 880} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(count)
			const streams = 200
			n.begin(streams, count)
			t.Logf("%d instances: %.1f messages and %.0f bytes a stream", count, float64(n.messages)/streams, float64(n.bytes)/streams)
			g.Expect(n.messages).To(BeNumerically("<=", keepers*streams))
			g.Expect(n.bytes).To(BeNumerically("<=", keepers*streams*64))
			n.messages, n.bytes = 0, 0
			n.found(g, streams, func(i int) string { return fmt.Sprint("gw-", (i+1)%count) })
			t.Logf("%d instances: %.1f messages and %.0f bytes a stream taken up", count, float64(n.messages)/streams, float64(n.bytes)/streams)
			g.Expect(n.messages).To(BeNumerically("<=", 2*maxAsked*streams))
		})
	}
}

func FuzzReceive(f *testing.F) {
	data, _ := message{Begun: []record{{Key: 1, Build: 2}}, Asked: []key{1}, Answers: []record{{Key: 3, Build: 4}}}.encode()
	f.Add(data)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newNetwork(1)
		n.nodes["gw-0"].Receive("gw-1", data)
		if m, err := decode(data); err == nil && n.messages > len(m.Asked) {
			t.Fatalf("%d messages answer %d questions", n.messages, len(m.Asked))
		}
	})
}
