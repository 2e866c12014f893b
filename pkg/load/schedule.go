package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
)

// Call is one call of the traffic.
type Call struct {
	// At is when it is sent, in accounted time from the start of the run.
	At        time.Duration
	ID        string
	Kind      Kind
	Workspace string
	// Key is the workspace's API key.
	Key string
	// Model and Messages are set for model calls.
	Model    string
	Messages []engine.Message
	Stream   bool
	// Service, Path and Item are set for calls of plain services.
	Service string
	Path    string
	Item    string
	// Twin sends the call a second time at once, through another entry, with the same key.
	Twin bool
}

// Demand is how the rate of calls changes over a run.
type Demand struct {
	// Rate is the number of calls per accounted second.
	Rate float64
	// Duration is the length of the run in accounted time.
	Duration time.Duration
	// Swing is the part by which the rate rises and falls once over the run, 0 to 1.
	Swing float64
	// Giant multiplies the profile's giant workspace in the middle third; 0 means 1.
	Giant float64
}

// Constants of the traffic.
const (
	// thinkMin and thinkMax bound the time between an answer's request and the next turn.
	thinkMin = 8 * time.Second
	thinkMax = 40 * time.Second
	// systemWords is the length of a workspace's shared first message.
	systemWords = 160
	// followUpWords is the length of a later turn.
	followUpWords = 25
	// wholeShare is the part of the model calls that ask for a whole answer.
	wholeShare = 0.15
	// twinShare is the part of the non-idempotent calls that are sent twice.
	twinShare = 0.1
)

// vocabulary is what prompts are made of.
var vocabulary = strings.Fields(`pressure valve dorm bunk linen breakfast noise window leak ignition burner
	flue sensor reset lockout technician depot street floor lift tenant invoice arrival departure luggage locker
	deposit refund review photo schedule reminder inspection gasket pump thermostat radiator flame relay fuse`)

// generator makes the calls of a run.
type generator struct {
	profile Profile
	rng     *rand.Rand
	seed    uint64
	calls   []Call
	seq     int
	system  map[string]string
}

// Schedule returns the calls of a run in order of time. It is a pure function
// of its arguments: later turns contain the answers that earlier ones must get.
func Schedule(p Profile, d Demand, seed uint64) []Call {
	g := &generator{profile: p, rng: rand.New(rand.NewPCG(seed, 0x6d65646c)), seed: seed, system: make(map[string]string)}
	for _, s := range p.Sources {
		g.source(s, d)
	}
	out := slices.DeleteFunc(g.calls, func(c Call) bool { return c.At >= d.Duration })
	slices.SortStableFunc(out, func(a, b Call) int { return int(a.At - b.At) })
	return out
}

// source adds the conversations or calls of one source: a Poisson process
// whose rate follows the demand.
func (g *generator) source(s Source, d Demand) {
	total := 0.0
	for _, other := range g.profile.Sources {
		total += other.Share
	}
	rate := d.Rate * s.Share / total / g.meanTurns(s)
	peak := rate * (1 + d.Swing) * max(d.giant(s.Workspace == g.profile.Giant, 0.5), 1)
	for t := -g.lead(s); t < d.Duration; {
		t += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		keep := rate * d.at(t) * d.giant(s.Workspace == g.profile.Giant, float64(t)/float64(d.Duration))
		if g.rng.Float64()*peak < keep {
			g.conversation(s, t)
		}
	}
}

// lead is how long before the start conversations begin, so that the run
// starts in the middle of some.
func (g *generator) lead(s Source) time.Duration {
	return time.Duration(s.Turns) * (thinkMin + thinkMax) / 2
}

func (g *generator) meanTurns(s Source) float64 { return float64(1+max(s.Turns, 1)) / 2 }

// at returns the factor of the rate at a time: half a wave up, half a wave down.
func (d Demand) at(t time.Duration) float64 {
	return 1 + d.Swing*math.Sin(2*math.Pi*float64(t)/float64(d.Duration))
}

func (d Demand) giant(isGiant bool, part float64) float64 {
	if !isGiant || d.Giant == 0 || part < 1.0/3 || part > 2.0/3 {
		return 1
	}
	return d.Giant
}

// conversation adds the turns of one conversation, or one call of a plain service.
func (g *generator) conversation(s Source, at time.Duration) {
	if !s.Kind.Model() {
		g.plainCall(s, at)
		return
	}
	messages := []engine.Message{
		{Role: "system", Content: g.systemMessage(s)},
		{Role: "user", Content: g.words(s.MinWords + g.rng.IntN(s.MaxWords-s.MinWords+1))},
	}
	for turn := range 1 + g.rng.IntN(max(s.Turns, 1)) {
		if turn > 0 {
			answer := modelserver.Answer(s.Model, messages, 0)
			messages = append(messages[:len(messages):len(messages)],
				engine.Message{Role: "assistant", Content: answer},
				engine.Message{Role: "user", Content: g.words(followUpWords)})
		}
		c := g.call(s, at)
		c.Model, c.Messages = s.Model, messages
		c.Stream = s.Kind != KindTag && g.rng.Float64() >= wholeShare
		g.add(c)
		at += thinkMin + time.Duration(g.rng.Int64N(int64(thinkMax-thinkMin)))
	}
}

func (g *generator) plainCall(s Source, at time.Duration) {
	c := g.call(s, at)
	c.Service, c.Path, c.Item = s.Service, s.Path, c.ID
	c.Twin = s.Kind == KindHold && g.rng.Float64() < twinShare
	g.add(c)
}

func (g *generator) call(s Source, at time.Duration) Call {
	g.seq++
	id := fmt.Sprintf("%s-%d-%06d", g.profile.Name, g.seed, g.seq)
	return Call{At: at, ID: id, Kind: s.Kind, Workspace: s.Workspace, Key: g.profile.key(s.Workspace)}
}

func (g *generator) add(c Call) {
	if c.At >= 0 {
		g.calls = append(g.calls, c)
	}
}

// systemMessage returns the first message that a workspace's conversations share.
func (g *generator) systemMessage(s Source) string {
	key := s.Workspace + "/" + s.Model
	if g.system[key] == "" {
		g.system[key] = g.words(systemWords)
	}
	return g.system[key]
}

func (g *generator) words(n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[g.rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}
