// Package endpoints keeps what an entry knows of the endpoints behind it: their
// registrations in the object store, the work that is under way on each, and
// how their last answers went. Routing reads immutable lists of endpoints; the
// load and health of an endpoint are live.
package endpoints

import (
	"sync"
	"time"
)

// UnknownTime stands for a time that isn't known.
const UnknownTime time.Duration = -1

// Info is the registration of one endpoint.
type Info struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
	// Born is the start of its process in Unix milliseconds; 0 if unknown.
	Born int64
	// Reclaimable endpoints may be taken away on short notice.
	Reclaimable bool
	// Leaving endpoints take no new work. LeavesIn is the time left, or UnknownTime.
	Leaving  bool
	LeavesIn time.Duration
	// Warmup is how much longer it is slow after its start.
	Warmup time.Duration
}

// sameProcess tells whether two registrations are of one start of one endpoint.
func (i Info) sameProcess(o Info) bool {
	return i.ID == o.ID && i.Born == o.Born && i.Addr == o.Addr && i.Service == o.Service
}

// Load is the work under way on an endpoint.
type Load struct {
	// Running is the number of requests.
	Running int
	// Prompt is the number of prompt tokens that are sent and not answered yet.
	Prompt int
}

// Endpoint is one start of one endpoint. Its registration may change; its
// identity doesn't.
type Endpoint struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	born       int64

	mu       sync.Mutex
	info     Info
	ownLoad  Load
	peerLoad Load
	health   health
	// reading is since when the prompt that is read now has been read, as far as
	// answers and new requests tell.
	prefillSince time.Time
	// left closes when the endpoint stops taking work.
	leaving     chan struct{}
	leavingOnce sync.Once
}

func newEndpoint(i Info) *Endpoint {
	e := &Endpoint{ID: i.ID, Service: i.Service, Addr: i.Addr, DataCentre: i.DataCentre, born: i.Born, leaving: make(chan struct{})}
	e.update(i)
	return e
}

// update takes a newer registration. Leaving is never taken back.
func (e *Endpoint) update(i Info) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i.Leaving = i.Leaving || e.info.Leaving
	e.info = i
	if i.Leaving {
		e.leavingOnce.Do(func() { close(e.leaving) })
	}
}

// end marks the endpoint as taking no more work.
func (e *Endpoint) markLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Leaving = true
	e.leavingOnce.Do(func() { close(e.leaving) })
}

// Info returns the newest registration.
func (e *Endpoint) Info() Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Left closes when the endpoint stops taking new work.
func (e *Endpoint) Leaving() <-chan struct{} { return e.leaving }

// Begin counts a request with uncached prompt tokens as sent.
func (e *Endpoint) Begin(prompt int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.extendPause(now)
	if e.pendingPrompt() == 0 {
		e.prefillSince = now
	}
	e.ownLoad.Running++
	e.ownLoad.Prompt += prompt
}

// Answered counts the prompt of a request as read: its answer has begun.
func (e *Endpoint) PrefillDone(prompt int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownLoad.Prompt -= prompt
	e.prefillSince = now
}

// prompts is the number of prompt tokens that are sent and not answered yet. The
// lock is held.
func (e *Endpoint) pendingPrompt() int { return e.ownLoad.Prompt + e.peerLoad.Prompt }

// Unread is the number of prompt tokens that the endpoint has still to read of what
// it was sent, at a time for each of them.
func (e *Endpoint) PendingPrefill(perToken time.Duration, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	read := 0
	if perToken > 0 {
		read = int(max(0, now.Sub(e.prefillSince)) / perToken)
	}
	return max(0, e.pendingPrompt()-read)
}

// End counts a request as ended.
func (e *Endpoint) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownLoad.Running--
}

// Own returns the work that this process has under way on the endpoint.
func (e *Endpoint) OwnLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownLoad
}

// Total returns the work of this process and of its peers.
func (e *Endpoint) TotalLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.ownLoad.Running + e.peerLoad.Running, Prompt: e.ownLoad.Prompt + e.peerLoad.Prompt}
}

// SetPeers takes the work that the peers have under way.
func (e *Endpoint) SetPeerLoad(l Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingPrompt() == 0 || l.Prompt < e.peerLoad.Prompt {
		e.prefillSince = now
	}
	e.peerLoad = l
}
