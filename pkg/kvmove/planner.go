package kvmove

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Outcome is how the move of a stream has ended.
type Outcome int

// The outcomes.
const (
	// None means that nothing was ordered.
	None Outcome = iota
	// Moved means that the stream goes on at the destination.
	Moved
	// Returned means that it goes on at the source with the handle.
	Returned
	// KeptAtSource means that the run continues at the source.
	KeptAtSource
	// EndedAtSource means that the run had ended by itself.
	EndedAtSource
	// NoReply means that the source has not answered the order to stop.
	NoReply
	// BrokenOff means that the stream broke off, and is resumed by reading where its route permits it.
	BrokenOff
	// Abandoned means that the caller had disconnected, that another attempt had taken over, or that the
	// answer was not valid.
	Abandoned
	outcomeCount
)

// String returns the outcome as metrics and log lines show it.
func (o Outcome) String() string {
	return [...]string{"none", "moved", "returned", "kept", "ended", "no reply", "broken off", "abandoned"}[o]
}

// Reason is why a stream of an endpoint that is about to stop isn't moved.
type Reason int

// The reasons.
const (
	// EndedInTime means that the stream ended before it had to be moved.
	EndedInTime Reason = iota
	// NoDestination means that no endpoint could take it.
	NoDestination
	// NoBudget means that the retry budget was used up.
	NoBudget
	// ReadAgain means that to read it again takes no longer.
	ReadAgain
	// NoTime means that too little time was left.
	NoTime
	// UnknownBuild means that it could not be found out which process the endpoint is.
	UnknownBuild
	reasonCount
)

// String returns the reason as the metric shows it.
func (r Reason) String() string {
	return [...]string{"ended in time", "no destination", "retry budget", "reading is as fast", "too late", "unknown build"}[r]
}

// Planner decides on the streams that this instance relays. It knows which links its transfers occupy,
// and counts moves. It is safe for concurrent use.
type Planner struct {
	links   links
	results [outcomeCount]prometheus.Counter
	reasons [reasonCount]prometheus.Counter
	bytes   prometheus.Histogram
}

// minMoveBytes is the smallest bucket of the sizes of moves, and sizeFactor the ratio of two buckets:
// caches of engines take from some 10 MB up to some 100 GB.
const (
	minMoveBytes = 1 << 23
	sizeFactor   = 4
	sizeBuckets  = 8
)

// NewPlanner returns a Planner that has moved nothing.
func NewPlanner(reg prometheus.Registerer) *Planner {
	factory := promauto.With(reg)
	results := factory.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_kv_moves_total", Help: "Streams whose move to another endpoint was begun, by how it ended.",
	}, []string{"result"})
	reasons := factory.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_kv_moves_not_begun_total", Help: "Streams on endpoints about to stop that were not moved, by reason.",
	}, []string{"reason"})
	p := &Planner{bytes: factory.NewHistogram(prometheus.HistogramOpts{
		Name: "medlarsill_kv_move_bytes", Help: "Expected size of the KV cache of a stream whose move was begun.",
		Buckets: prometheus.ExponentialBuckets(minMoveBytes, sizeFactor, sizeBuckets),
	})}
	for o := Moved; o < outcomeCount; o++ {
		p.results[o] = results.WithLabelValues(o.String())
	}
	for r := range reasonCount {
		p.reasons[r] = reasons.WithLabelValues(r.String())
	}
	return p
}

// Busy returns how long the link of an endpoint is occupied by transfers of this instance.
func (p *Planner) Busy(source endpoints.Key, now time.Time) time.Duration {
	return p.links.busy(source, now)
}

// Reserve adds a transfer from an endpoint, and returns the time until it can begin.
func (p *Planner) Reserve(source endpoints.Key, transfer time.Duration, now time.Time) time.Duration {
	return p.links.occupy(source, transfer, now)
}

// Began counts a move of a number of bytes.
func (p *Planner) Began(bytes float64) { p.bytes.Observe(bytes) }

// Ended counts the end of a move.
func (p *Planner) Ended(o Outcome) {
	if p.results[o] != nil {
		p.results[o].Inc()
	}
}

// NotBegun counts a stream that isn't moved.
func (p *Planner) NotBegun(r Reason) { p.reasons[r].Inc() }
