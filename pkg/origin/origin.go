// Package origin remembers at which build of an endpoint's software each stream began, so that
// a caller that takes the stream up at another instance gets it from the same build.
//
// The instance at which a stream begins tells two others, its keepers, which are found by a
// rendezvous hash of the stream's id. An instance that doesn't know a stream asks those that
// are its keepers now or were until lately. Messages are datagrams. For streams that no
// instance knows any more, an Archive in the object store says which builds have served and,
// if these are several, where streams began. What that doesn't say stays unknown.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
)

const (
	// keepers is the number of other instances that are told of a stream.
	keepers = 2
	// maxAsked is the largest number of instances that are asked for a stream: its keepers,
	// and those that were before others joined or left.
	maxAsked = 6
	// askInterval is the time after which instances that haven't answered are asked again, and
	// maxAsks the number of times that they are asked.
	askInterval = 40 * time.Millisecond
	maxAsks     = 3
)

// Options configures a Registry. All fields but Archive are required.
type Options struct {
	// Peers returns the ids of the reachable peers.
	Peers func() []string
	// Send sends a message to a peer. It doesn't block, and the message may be lost.
	Send func(peer string, data []byte)
	// Archive knows streams that no instance does any more. It may be nil.
	Archive *Archive
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Registry knows where streams began. It is safe for concurrent use.
type Registry struct {
	Options
	metrics *metrics
	known   memory
	asked   questions
}

// New returns a registry that knows of no stream.
func New(o Options) *Registry { return &Registry{Options: o, metrics: newMetrics(o.Metrics)} }

// key identifies a stream. It is a hash of its caller and of the id of the request that began
// it, so that no caller learns of the streams of others.
type key uint64

func keyOf(caller, id string) key {
	h := sha256.New()
	// A hash never returns an error.
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(caller))))
	_, _ = h.Write([]byte(caller))
	_, _ = h.Write([]byte(id))
	return key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Record records the build at which the stream of a caller's request began or goes on, and
// tells the stream's keepers. It is called with endpoints.UncertainBuild if the build isn't known, and
// again if it is found out.
func (r *Registry) Record(caller, id string, b endpoints.Build) {
	k := keyOf(caller, id)
	corrected := r.known.add(k, b, r.Now())
	if r.Archive != nil {
		r.Archive.record(record{Key: k, Build: b}, corrected)
	}
	m := message{Begun: []record{{Key: k, Build: b}}}
	for _, peer := range r.closest(k, keepers) {
		r.send(peer, m)
	}
}

// closest returns the reachable peers that rank first for a key, at most n.
func (r *Registry) closest(k key, n int) []string {
	ranked := rendezvous.RankHash(uint64(k), r.Peers())
	return ranked[:min(n, len(ranked))]
}

// Errors of Find.
var (
	// ErrUnknown means that where a stream began isn't known, and won't be later.
	ErrUnknown = eris.New("origin: not known where the stream began")
	// ErrUncertain means that a stream began at a process that isn't known. The instance at which
	// it began may find the process out while the stream lasts.
	ErrUncertain = eris.New("origin: the stream began at a process that isn't known")
	// ErrNotFound means that where a stream began could not be found out now.
	ErrNotFound = eris.New("origin: not found out where the stream began")
)

// Find returns the build at which the stream of a caller's request began. An empty id stands
// for a request that isn't known.
func (r *Registry) Find(ctx context.Context, caller, id string) (endpoints.Build, error) {
	b, err := r.find(ctx, caller, id)
	r.metrics.found.WithLabelValues(foundLabel(err == nil)).Inc()
	return b, err
}

func (r *Registry) find(ctx context.Context, caller, id string) (endpoints.Build, error) {
	if id == "" {
		return r.findInArchive(ctx, nil)
	}
	k := keyOf(caller, id)
	b, state := r.known.find(k, r.Now())
	switch state {
	case streamKnown:
		return b, nil
	case streamContradictory:
		r.Log.Info("two builds are recorded for the stream that is taken up", "request", id)
		return 0, ErrUnknown
	}
	b, answered := r.ask(ctx, k)
	switch {
	case b == endpoints.UncertainBuild, b == 0 && state == streamUncertain:
		return 0, ErrUncertain
	case b != 0:
		return b, nil
	}
	b, err := r.findInArchive(ctx, &k)
	if err == ErrUnknown && !answered {
		return 0, ErrNotFound
	}
	return b, err
}

// findInArchive looks a stream up in the archive, and remembers what it says.
func (r *Registry) findInArchive(ctx context.Context, k *key) (endpoints.Build, error) {
	if r.Archive == nil {
		return 0, ErrUnknown
	}
	b, err := r.Archive.find(ctx, k)
	if err == nil && k != nil {
		r.known.add(*k, b, r.Now())
	}
	return b, err
}

// ask asks peers for a stream, until one knows its build, or all have answered that they don't. It
// returns 0 if none knows the stream, endpoints.UncertainBuild if none knows its build, and whether
// there are peers and all have answered.
func (r *Registry) ask(ctx context.Context, k key) (b endpoints.Build, answered bool) {
	peers := r.closest(k, maxAsked)
	if len(peers) == 0 {
		return 0, false
	}
	q := r.asked.open(k, peers)
	defer r.asked.close(q)
	for range maxAsks {
		for _, peer := range r.asked.waitingFor(q) {
			r.send(peer, message{Asked: []key{k}})
		}
		select {
		case b := <-q.result:
			return b, true
		case <-ctx.Done():
			return 0, false
		case <-time.After(askInterval):
		}
	}
	r.Log.Info("peers didn't answer where a stream began", "asked", len(peers), "unanswered", len(r.asked.waitingFor(q)))
	return r.asked.known(q), false
}

// Receive records and answers what a peer has sent.
func (r *Registry) Receive(from string, data []byte) {
	m, err := decode(data)
	if err != nil {
		r.Log.Warn("failed to decode message on streams from peer", "peer", from, "error", err.Error())
		return
	}
	now := r.Now()
	for _, begun := range m.Begun {
		r.known.add(begun.Key, begun.Build, now)
	}
	for _, a := range m.Answers {
		if a.Build != 0 {
			r.known.add(a.Key, a.Build, now)
		}
		r.asked.answer(from, a.Key, a.Build)
	}
	var answers []record
	for _, k := range m.Asked {
		b, _ := r.known.find(k, now) // 0 if it isn't known
		answers = append(answers, record{Key: k, Build: b})
	}
	if len(answers) > 0 {
		r.send(from, message{Answers: answers})
	}
}

// send encodes a message and sends it to a peer.
func (r *Registry) send(peer string, m message) {
	data, err := m.encode()
	if err != nil {
		r.Log.Error("failed to encode message on streams", "error", err.Error())
		return
	}
	r.metrics.messages.Inc()
	r.Send(peer, data)
}
