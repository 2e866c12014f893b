// Package promptsplit decides which prompts are long and which share of a service's
// endpoints they are placed on. A short prompt that waits behind a long one that its
// endpoint prefills misses its latency target; where both kinds are frequent, each gets
// a part of the endpoints that corresponds to its share of the work. Instances exchange
// the sums of the work, so that they agree on the share.
package promptsplit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// longShare is the share of the shortest latency target above which the prefill time of
// a prompt makes it a long one.
const longShare = 0.2

// Request is what the decision needs to know of a request with a prompt.
type Request struct {
	// Target is its latency target.
	Target time.Duration
	// Prefill is the time for which its prefill occupies an endpoint that holds nothing of it, and Work the time
	// that the whole request takes of an endpoint.
	Prefill, Work time.Duration
	// Prefix is the id of the prefix that it shares with other requests; "" if none.
	Prefix string
}

// Decision tells where a request is placed.
type Decision struct {
	// Active is true if long and short prompts have endpoints of their own.
	Active bool
	// Long is true if the request has a long prompt.
	Long bool
	// Share is the share of the endpoints for long prompts.
	Share float64
	// ShortTarget is the shortest latency target of the service's requests.
	ShortTarget time.Duration
	// PrefixShare is the share of the requests of its kind that share its prefix.
	PrefixShare float64
}

// Options configures Splits.
type Options struct {
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Splits holds the splits of all services. It is safe for concurrent use.
type Splits struct {
	log     *slog.Logger
	now     func() time.Time
	metrics *metrics

	mu       sync.RWMutex
	services map[string]*service
}

// service is the split of one service.
type service struct {
	mu      sync.Mutex
	own     Summary
	targets targets
	// longPrefixes and shortPrefixes count the prefixes of this instance's requests.
	longPrefixes, shortPrefixes prefixes

	mix   mix
	share share
}

func newService() *service {
	return &service{targets: newTargets(), longPrefixes: newPrefixes(), shortPrefixes: newPrefixes()}
}

// prefixesOf returns the prefixes of a kind of requests. The caller holds the lock.
func (v *service) prefixesOf(long bool) *prefixes {
	if long {
		return &v.longPrefixes
	}
	return &v.shortPrefixes
}

// New returns splits that are not in force yet.
func New(o Options) *Splits {
	return &Splits{log: o.Log, now: o.Now, metrics: newMetrics(o.Metrics), services: make(map[string]*service)}
}

// service returns the split of a service and creates it if necessary.
func (s *Splits) service(name string) *service {
	s.mu.RLock()
	v, ok := s.services[name]
	s.mu.RUnlock()
	if ok {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok = s.services[name]; !ok {
		v = newService()
		s.services[name] = v
	}
	return v
}

// Record records a new request with a prompt, whether it is placed or refused.
func (s *Splits) Record(name string, r Request) {
	v, now := s.service(name), s.now()
	v.mu.Lock()
	v.targets.add(r.Target, now)
	work := Summary{Requests: 1, All: r.Work.Seconds()}
	long := v.isLong(r.Prefill)
	if long {
		work.Long = work.All
		v.targets.long.add(r.Target, now)
	}
	v.prefixesOf(long).add(r.Prefix, now)
	v.own.Requests++
	v.own.Long += work.Long
	v.own.All += work.All
	v.mix.add(work, now)
	before, after := v.follow()
	v.mu.Unlock()
	s.report(name, before, after)
}

// isLong reports whether a prompt with a prefill time is a long one. The caller holds the lock.
func (v *service) isLong(prefill time.Duration) bool {
	return v.targets.current > 0 && prefill > time.Duration(longShare*float64(v.targets.current))
}

// follow updates the share and returns it as it was before and is now. The caller holds the lock.
func (v *service) follow() (before, after share) {
	before = v.share
	bound := startTargetRatio
	if before.active {
		bound = endTargetRatio
	}
	if v.targets.shortTargetTighter(bound) {
		v.share.update(&v.mix)
	} else {
		v.share = share{}
	}
	return before, v.share
}

// report logs and exports a change of the share.
func (s *Splits) report(name string, before, after share) {
	if before == after {
		return
	}
	s.metrics.share.WithLabelValues(name).Set(after.value)
	switch {
	case !before.active:
		s.log.Info("endpoints split between long and short prompts", "service", name, "long_share", after.value)
	case !after.active:
		s.log.Info("endpoints no longer split between long and short prompts", "service", name, "long_share", before.value)
	}
}

// Decide returns where a request is placed.
func (s *Splits) Decide(name string, r Request) Decision {
	v := s.service(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	long := v.isLong(r.Prefill)
	return Decision{
		Active: v.share.active, Long: long, Share: v.share.value,
		ShortTarget: v.targets.current, PrefixShare: v.prefixesOf(long).share(r.Prefix),
	}
}

// Placed counts a placement while a split is in force. ownPart is true if the endpoint is
// one of those for the request's kind.
func (s *Splits) Placed(name string, long, ownPart bool) { s.metrics.recordPlaced(name, long, ownPart) }

// Own returns what this instance was asked for since its start, by service, for its peers.
func (s *Splits) Own() map[string]Summary {
	out := make(map[string]Summary)
	for name, v := range s.all() {
		v.mu.Lock()
		if v.own.Requests > 0 {
			out[name] = v.own
		}
		v.mix.dropSilent(s.now())
		v.mu.Unlock()
	}
	return out
}

// all returns the splits by service.
func (s *Splits) all() map[string]*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]*service, len(s.services))
	for name, v := range s.services {
		out[name] = v
	}
	return out
}

// Merge adds the work of a peer, which is known by the name of its process. Services that this instance wasn't asked
// for are ignored, as it places nothing there.
func (s *Splits) Merge(source string, summaries map[string]Summary) {
	now := s.now()
	for name, summary := range summaries {
		s.mu.RLock()
		v, ok := s.services[name]
		s.mu.RUnlock()
		if !ok {
			continue
		}
		v.mu.Lock()
		v.mix.merge(source, summary, now)
		before, after := v.follow()
		v.mu.Unlock()
		s.report(name, before, after)
	}
}
