package kvcache

import (
	"container/list"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// shardCount is the number of shards, each with a lock of its own.
	shardCount = 16
	// maxKeysPerShard bounds the number of levels of prefixes that are remembered.
	maxKeysPerShard = 256
	// maxRecords is the number of endpoints that are remembered for each of them.
	maxRecords = 4
	// holdTime is how long after a request an endpoint counts as a holder of its prefix.
	holdTime = 60 * time.Second
)

// record is an endpoint that has answered a request with a prefix.
type record struct {
	endpoint *endpoints.Endpoint
	at       time.Time
	// written is the number of tokens that were written to the endpoint's cache by then.
	written uint64
}

// entry holds the newest records of a level.
type entry struct {
	key     uint64
	records [maxRecords]record
	count   int
}

// put adds a record.
func (e *entry) put(r record) {
	i := e.position(r.endpoint)
	e.records[i] = r
	e.count = max(e.count, i+1)
}

// position returns where to put a record of an endpoint: in place of its older one, at the end, or
// in place of the oldest.
func (e *entry) position(endpoint *endpoints.Endpoint) int {
	oldest := 0
	for i, r := range e.records[:e.count] {
		if r.endpoint == endpoint {
			return i
		}
		if r.at.Before(e.records[oldest].at) {
			oldest = i
		}
	}
	if e.count < maxRecords {
		return e.count
	}
	return oldest
}

// remove removes the record at a position.
func (e *entry) remove(i int) {
	e.count--
	e.records[i] = e.records[e.count]
	e.records[e.count] = record{}
}

// memory remembers which endpoints have answered requests with a prefix. The levels that weren't
// used for the longest time are forgotten first. It is safe for concurrent use.
type memory struct {
	shards [shardCount]memoryShard
}

type memoryShard struct {
	mu sync.Mutex
	// order holds the *entry values, the last used first, and entries their elements.
	order   list.List
	entries map[uint64]*list.Element
}

func (m *memory) shard(key uint64) *memoryShard { return &m.shards[key%shardCount] }

// put adds a record to a level.
func (m *memory) put(key uint64, r record) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry(key).put(r)
}

// entry returns the entry of a level, in place of the oldest if there are too many. The caller
// holds the lock.
func (s *memoryShard) entry(key uint64) *entry {
	if element, ok := s.entries[key]; ok {
		s.order.MoveToFront(element)
		return element.Value.(*entry)
	}
	if s.entries == nil {
		s.entries = make(map[uint64]*list.Element)
	}
	if len(s.entries) < maxKeysPerShard {
		e := &entry{key: key}
		s.entries[key] = s.order.PushFront(e)
		return e
	}
	element := s.order.Back()
	e := element.Value.(*entry)
	delete(s.entries, e.key)
	*e = entry{key: key}
	s.entries[key] = element
	s.order.MoveToFront(element)
	return e
}

// each calls a function for each record of a level and forgets those for which it returns false.
func (m *memory) each(key uint64, keep func(record) bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	element, ok := s.entries[key]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	for i := e.count - 1; i >= 0; i-- {
		if !keep(e.records[i]) {
			e.remove(i)
		}
	}
}

// len returns the number of levels that are remembered.
func (m *memory) len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}
