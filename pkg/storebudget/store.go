package storebudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Budget limits the calls of one process.
type Budget struct {
	// CallsPerSecond is the mean rate, and Burst the largest number of calls at once. A
	// watch counts as one call when it begins.
	CallsPerSecond float64
	Burst          int
	// Watches is the largest number of concurrent watches.
	Watches int
}

// DefaultBudget is the budget of an entry process.
var DefaultBudget = Budget{CallsPerSecond: 50, Burst: 100, Watches: 4}

// Metrics holds the metrics of the calls.
type Metrics struct {
	// Calls counts calls by role, operation and outcome.
	Calls *prometheus.CounterVec
	// Watching is the number of current watches by role.
	Watching *prometheus.GaugeVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarsill_store_calls_total", Help: "Calls to the object store."}, []string{"role", "operation", "outcome"}),
		Watching: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "medlarsill_store_watches", Help: "Waiting watches on the object store."}, []string{"role"}),
	}
	reg.MustRegister(m.Calls, m.Watching)
	return m
}

// Options configures a Store. All fields are required.
type Options struct {
	Inner   objectstore.Store
	Role    string
	Budget  Budget
	Metrics *Metrics
	Now     func() time.Time
	Rand    *rand.Rand
}

// Store is an object store with a budget. A call that the breaker or the budget refuses
// returns objectstore.ErrUnavailable and isn't sent to the platform.
type Store struct {
	Options
	limiter *rate.Limiter
	watches chan struct{}

	mu      sync.Mutex
	breaker Breaker
}

var _ objectstore.Store = (*Store)(nil)

// New returns a Store.
func New(o Options) *Store {
	return &Store{
		Options: o,
		limiter: rate.NewLimiter(rate.Limit(o.Budget.CallsPerSecond), o.Budget.Burst),
		watches: make(chan struct{}, o.Budget.Watches),
		breaker: Breaker{Rand: o.Rand},
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, key string) (o objectstore.Object, err error) {
	err = s.do(ctx, "get", func() error { o, err = s.Inner.Get(ctx, key); return err })
	return o, err
}

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (o objectstore.Object, err error) {
	err = s.do(ctx, "create", func() error { o, err = s.Inner.Create(ctx, key, value); return err })
	return o, err
}

// Update implements objectstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version uint64) (o objectstore.Object, err error) {
	err = s.do(ctx, "update", func() error { o, err = s.Inner.Update(ctx, key, value, version); return err })
	return o, err
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	return s.do(ctx, "delete", func() error { return s.Inner.Delete(ctx, key, version) })
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, prefix string) (out []objectstore.Object, err error) {
	err = s.do(ctx, "list", func() error { out, err = s.Inner.List(ctx, prefix); return err })
	return out, err
}

// Watch implements objectstore.Store. After a failure it is refused until another call was
// answered, since a waiting watch wouldn't show that the store is available again.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (c objectstore.Changes, err error) {
	s.mu.Lock()
	closed := s.breaker.Closed()
	s.mu.Unlock()
	if !closed {
		return c, s.refuse("watch", "backoff")
	}
	select {
	case s.watches <- struct{}{}:
	default:
		return c, s.refuse("watch", "watches")
	}
	defer func() { <-s.watches }()
	s.Metrics.Watching.WithLabelValues(s.Role).Inc()
	defer s.Metrics.Watching.WithLabelValues(s.Role).Dec()
	err = s.do(ctx, "watch", func() error { c, err = s.Inner.Watch(ctx, prefix, after); return err })
	return c, err
}

// do performs a call if the budget and the breaker allow it.
func (s *Store) do(ctx context.Context, operation string, call func() error) error {
	if !s.limiter.AllowN(s.Now(), 1) {
		return s.refuse(operation, "over_budget")
	}
	s.mu.Lock()
	ok, probe := s.breaker.Allow(s.Now())
	s.mu.Unlock()
	if !ok {
		return s.refuse(operation, "backoff")
	}
	err := call()
	s.recordOutcome(probe, storeAnswered(ctx, err))
	s.Metrics.Calls.WithLabelValues(s.Role, operation, outcome(err)).Inc()
	return err
}

// recordOutcome reports the outcome of a call to the breaker.
func (s *Store) recordOutcome(probe, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaker.Done(s.Now(), probe, answered)
}

// refuse counts a refused call and returns its error.
func (s *Store) refuse(operation, reason string) error {
	s.Metrics.Calls.WithLabelValues(s.Role, operation, reason).Inc()
	return eris.Wrap(objectstore.ErrUnavailable, "store budget: "+reason)
}

// storeAnswered reports whether a call's outcome shows no failure of the store. A call that
// its caller cancelled doesn't count as a failure.
func storeAnswered(ctx context.Context, err error) bool {
	failed := errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrUnknown)
	return !failed || errors.Is(ctx.Err(), context.Canceled)
}

// outcome returns the value of the metrics' label outcome.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objectstore.ErrNotFound):
		return "not_found"
	case errors.Is(err, objectstore.ErrConflict):
		return "conflict"
	case errors.Is(err, objectstore.ErrUnknown):
		return "unknown"
	}
	return "unavailable"
}
