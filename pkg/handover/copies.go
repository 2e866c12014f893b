package handover

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// copyShards is the number of shards of copies, each with its own lock.
const copyShards = 64

// requestCopy is a copy of one request that another process owns.
type requestCopy struct {
	job       flight.Job
	gen       flight.Generation
	lineage   flight.Lineage
	origin    string
	tokens    []engine.Token
	code      dispatch.Code
	point     flight.Point
	updatedAt time.Time
}

// copies holds the copies that this process keeps for other owners.
type copies struct {
	shards [copyShards]copyShard
}

type copyShard struct {
	mu   sync.Mutex
	byID map[string]*requestCopy
}

func newCopies() *copies {
	c := &copies{}
	for i := range c.shards {
		c.shards[i].byID = make(map[string]*requestCopy)
	}
	return c
}

func (c *copies) shard(id string) *copyShard {
	return &c.shards[xxhash.Sum64String(id)%copyShards]
}

// extend applies an extension and returns SyncStored if the copy now holds its
// tokens, SyncMissing otherwise. The caller holds the shard's lock.
func (s *copyShard) extend(origin string, e *Extension, now time.Time) SyncState {
	held, ok := s.byID[e.ID]
	if e.Job != nil && (!ok || e.Job.Generation.Compare(held.gen) > 0) {
		held = &requestCopy{job: e.Job.job(now), gen: e.Job.Generation, lineage: e.Job.Lineage, origin: origin}
		s.byID[e.ID] = held
		ok = true
	}
	if !ok || held.origin != origin || e.From > len(held.tokens) {
		return SyncMissing
	}
	held.tokens = append(held.tokens[:e.From], e.Tokens...)
	held.code = e.Code
	held.point = e.Point
	held.updatedAt = now
	return SyncStored
}

// jobCopy returns the job in the form that peers exchange.
func (c *requestCopy) jobCopy(now time.Time) JobCopy {
	j := c.job
	left := j.Deadline.Sub(now)
	j.Deadline = time.Time{}
	return JobCopy{Job: j, Left: left, Generation: c.gen, Lineage: c.lineage}
}

// get returns a snapshot of a copy.
func (c *copies) get(id string) (requestCopy, bool) {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.byID[id]
	if !ok {
		return requestCopy{}, false
	}
	out := *held
	out.tokens = append([]engine.Token(nil), held.tokens...)
	return out, true
}

// promote passes a copy to adopt, which makes it a flight, and then removes the
// copy. The shard stays locked in between, so adopt must not use the copies.
// promote returns false if there is no copy.
func (c *copies) promote(id string, adopt func(held requestCopy)) bool {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.byID[id]
	if !ok {
		return false
	}
	adopt(*held)
	delete(s.byID, id)
	return true
}

// unfinishedFrom returns the ids of the copies from one origin whose answer has
// not ended.
func (c *copies) unfinishedFrom(origin string) []string {
	var out []string
	c.forEach(func(id string, held *requestCopy) {
		if held.origin == origin && held.code == "" {
			out = append(out, id)
		}
	})
	return out
}

// sweep removes copies that have not been updated for the retention and whose
// answer has ended or whose deadline has passed.
func (c *copies) sweep(now time.Time, retention time.Duration) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, held := range s.byID {
			ended := held.code != "" || now.After(held.job.Deadline)
			if ended && now.Sub(held.updatedAt) > retention {
				delete(s.byID, id)
			}
		}
		s.mu.Unlock()
	}
}

// len returns the number of copies.
func (c *copies) len() int {
	n := 0
	c.forEach(func(string, *requestCopy) { n++ })
	return n
}

func (c *copies) forEach(f func(id string, held *requestCopy)) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, held := range s.byID {
			f(id, held)
		}
		s.mu.Unlock()
	}
}
