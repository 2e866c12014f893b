// Package endpoints keeps the state of the endpoints as known to this instance: their
// registrations in the object store, the load of each, and the outcomes of their last
// requests. Routing reads immutable lists of endpoints; the load and health of an endpoint
// are updated in place.
package endpoints

import (
	"sync"
	"time"
)

// UnknownTime is the value of a duration that isn't known.
const UnknownTime time.Duration = -1

// Info is the registration of one endpoint.
type Info struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Version is the version of its software; "" if unknown. Versions are names without an order.
	Version string
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
	// Born is the start of its process in Unix milliseconds; 0 if unknown.
	Born int64
	// Reclaimable endpoints run on instances that may be reclaimed on short notice.
	Reclaimable bool
	// Leaving endpoints accept no new requests. LeavesIn is the time until the endpoint
	// stops, or UnknownTime.
	Leaving  bool
	LeavesIn time.Duration
	// Warmup is the remaining time in which the endpoint is slow after its start.
	Warmup time.Duration
}

// Key identifies one process of an endpoint. A restarted endpoint has another key.
type Key struct {
	ID string
	// Born is the start of the process in Unix milliseconds; 0 if unknown.
	Born int64
}

func (i Info) key() Key { return Key{ID: i.ID, Born: i.Born} }

// sameProcess reports whether two registrations are of the same process of an endpoint.
func (i Info) sameProcess(o Info) bool {
	return i.ID == o.ID && i.Born == o.Born && i.Addr == o.Addr && i.Service == o.Service && i.Version == o.Version
}

// Load is the number of requests and prompt tokens in progress on an endpoint.
type Load struct {
	// Running is the number of requests.
	Running int
	// Prompt is the number of prompt tokens sent whose answer has not begun.
	Prompt int
}

// Endpoint is one process of a registered endpoint; a restart creates a new Endpoint.
// Its exported fields never change, but the rest of its registration may.
type Endpoint struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	born       int64
	version    string
	build      Build
	identity   identity

	mu       sync.Mutex
	info     Info
	ownLoad  Load
	peerLoad Load
	health   health
	// prefillSince is the estimated start of the current prefill: the time of the last
	// answer, or of the first request after an idle time.
	prefillSince time.Time
	// watchers are told once the endpoint is known to stop at a time.
	watchers map[*watcher]struct{}
	// stopToldAt is when the registration that tells the present time of the stop became known.
	stopToldAt time.Time
}

func newEndpoint(i Info) *Endpoint {
	e := &Endpoint{ID: i.ID, Service: i.Service, Addr: i.Addr, DataCentre: i.DataCentre, born: i.Born, version: i.Version, build: i.Build()}
	e.update(i)
	return e
}

// Key returns the key of the endpoint's process.
func (e *Endpoint) Key() Key { return Key{ID: e.ID, Born: e.born} }

// Version returns the version of the endpoint's software; "" if unknown. It never changes.
func (e *Endpoint) Version() string { return e.version }

// update replaces the registration. A leaving endpoint stays leaving.
func (e *Endpoint) update(i Info) {
	e.mu.Lock()
	i.Leaving = i.Leaving || e.info.Leaving
	before := e.info
	e.info = i
	var told []*watcher
	if i.tellsOtherStop(before) {
		e.stopToldAt = time.Now()
		told = e.allWatchers()
	}
	e.mu.Unlock()
	for _, w := range told {
		w.tell(i.LeavesIn)
	}
}

// markLeaving marks the endpoint as accepting no new requests.
func (e *Endpoint) markLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.info.Leaving = true
}

// Info returns the newest registration.
func (e *Endpoint) Info() Info {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Begin adds a request with a number of uncached prompt tokens to the load.
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

// PrefillDone removes a prompt from the load once its answer has begun.
func (e *Endpoint) PrefillDone(prompt int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownLoad.Prompt -= prompt
	e.prefillSince = now
}

// pendingPrompt returns the number of prompt tokens sent whose answer has not begun. The
// caller holds the lock.
func (e *Endpoint) pendingPrompt() int { return e.ownLoad.Prompt + e.peerLoad.Prompt }

// PendingPrefill returns the number of sent prompt tokens that the endpoint has not
// prefilled yet, estimated from the prefill time per token.
func (e *Endpoint) PendingPrefill(perToken time.Duration, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefilled := 0
	if perToken > 0 {
		prefilled = int(max(0, now.Sub(e.prefillSince)) / perToken)
	}
	return max(0, e.pendingPrompt()-prefilled)
}

// End removes a request from the load.
func (e *Endpoint) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownLoad.Running--
}

// OwnLoad returns the load that this instance has placed on the endpoint.
func (e *Endpoint) OwnLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownLoad
}

// TotalLoad returns the load placed by this instance and its peers.
func (e *Endpoint) TotalLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{Running: e.ownLoad.Running + e.peerLoad.Running, Prompt: e.ownLoad.Prompt + e.peerLoad.Prompt}
}

// SetPeerLoad replaces the load placed by the peers.
func (e *Endpoint) SetPeerLoad(l Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingPrompt() == 0 || l.Prompt < e.peerLoad.Prompt {
		e.prefillSince = now
	}
	e.peerLoad = l
}
