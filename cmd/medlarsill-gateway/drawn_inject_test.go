package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Times of the pages.
const (
	// contactTime is the time without disturbance after which an instance is in touch, drainTime that after
	// which an endpoint that leaves gets no more requests.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// heartbeats is the time after which the entry of a silent endpoint is removed.
	heartbeats = 3600 * time.Millisecond
	// storeAway is how long the store is away in a rollback, and maxCopyAge the age of the oldest copy.
	storeAway  = 300 * time.Millisecond
	maxCopyAge = 4 * time.Second
	// snapshotInterval is the time between two copies.
	snapshotInterval = 200 * time.Millisecond
	// lingering is the least time for which an endpoint that leaves serves beyond drainTime.
	lingering = 80 * time.Millisecond
	// maxDownTime is the longest time until killed processes start again.
	maxDownTime = time.Second
)

// injectors play the disruptions, by name. Each returns once the disruption has ended.
var injectors = map[string]func(s *drawnSoak, d disruption){
	"cut watches":          (*drawnSoak).cutWatches,
	"store down":           (*drawnSoak).storeDown,
	"store rolled back":    (*drawnSoak).rollBackStore,
	"history dropped":      (*drawnSoak).dropHistory,
	"all killed":           (*drawnSoak).killAll,
	"gateway killed":       (*drawnSoak).killOne,
	"gateway stopped":      (*drawnSoak).stopOne,
	"endpoint crashes":     (*drawnSoak).crashEndpoint,
	"endpoint leaves":      (*drawnSoak).leaveEndpoint,
	"cut from endpoints":   (*drawnSoak).cutOffGateway,
	"endpoints silent":     (*drawnSoak).silence,
	"configuration change": (*drawnSoak).changeConfiguration,
	"store refuses one":    (*drawnSoak).refuseOne,
	"answers lost":         (*drawnSoak).loseAnswers,
	"unreadable entries":   (*drawnSoak).writeUnreadable,
}

func injectorNames() []string {
	names := make([]string, 0, len(injectors))
	for name := range injectors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaled returns the dose's part of a largest time.
func (d disruption) scaled(largest time.Duration) time.Duration {
	return time.Duration(d.Dose * float64(largest))
}

// cutWatches makes the store cut each watch after some time of waiting.
func (s *drawnSoak) cutWatches(d disruption) {
	least := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}[d.Variant]
	s.store.CutWatches(least, 2*least)
	time.Sleep(d.scaled(12 * time.Second))
	s.store.CutWatches(0, 0)
}

// storeDown makes the store fail for all.
func (s *drawnSoak) storeDown(d disruption) {
	s.storeDisturbed(func() {
		s.store.SetMode([]platformtest.Mode{platformtest.Unavailable, platformtest.Reset, platformtest.Silent, platformtest.TooManyRequests}[d.Variant])
		s.closeStoreConns()
		time.Sleep(d.scaled(4500 * time.Millisecond))
		s.store.SetMode(platformtest.Available)
	})
}

// rollBackStore makes the store come back from an older copy. The operator and the endpoints write again.
func (s *drawnSoak) rollBackStore(d disruption) {
	s.storeDisturbed(func() {
		copied := s.copyOf(d.scaled(maxCopyAge))
		s.store.SetMode(platformtest.Unavailable)
		s.closeStoreConns()
		time.Sleep(storeAway)
		s.store.RollBack(copied)
		s.store.SetMode(platformtest.Available)
		s.writeAgain()
	})
}

// writeAgain writes what the operator and the endpoints had written.
func (s *drawnSoak) writeAgain() {
	s.configure(10)
	for _, e := range s.all() {
		switch {
		case e.gone.Load():
			s.store.Remove("servers", e.id)
		case e.removedAt.Load() == nil:
			s.register(e.soakEndpoint)
		default:
			s.store.Remove("servers", e.id)
		}
	}
}

// dropHistory makes the store forget its history, and cut the watches.
func (s *drawnSoak) dropHistory(disruption) {
	s.storeDisturbed(func() {
		s.store.DropHistory()
		s.closeStoreConns()
	})
}

// closeStoreConns closes the gateways' connections to the store.
func (s *drawnSoak) closeStoreConns() {
	for _, gw := range s.gateways {
		gw.view.CloseClientConnections()
	}
}

// killAll kills all gateways at once.
func (s *drawnSoak) killAll(d disruption) {
	list := slices.DeleteFunc(slices.Clone(s.gateways), func(gw *soakGateway) bool { return !gw.up.CompareAndSwap(true, false) })
	s.restartAll(list, syscall.SIGKILL, d.scaled(maxDownTime))
}

// killOne kills a gateway, and stopOne stops one in the planned way.
func (s *drawnSoak) killOne(d disruption) { s.restartOne(d, syscall.SIGKILL) }
func (s *drawnSoak) stopOne(d disruption) { s.restartOne(d, syscall.SIGTERM) }

func (s *drawnSoak) restartOne(d disruption, signal syscall.Signal) {
	gw := s.gateways[d.Target%len(s.gateways)]
	if gw.up.CompareAndSwap(true, false) {
		s.restartAll([]*soakGateway{gw}, signal, d.scaled(maxDownTime))
	}
}

// restartAll ends gateways by a signal and starts them again after a time.
func (s *drawnSoak) restartAll(list []*soakGateway, signal syscall.Signal, down time.Duration) {
	var running sync.WaitGroup
	for _, gw := range list {
		running.Go(func() {
			end := s.disturb(gw)
			gw.breakOff(func() { gw.end(signal) })
			s.forget(gw.index)
			time.Sleep(down)
			s.start(gw)
			end()
			gw.awaitReady()
		})
	}
	running.Wait()
}

// crashEndpoint ends an endpoint at once. Its entry is removed later, when another one starts.
func (s *drawnSoak) crashEndpoint(d disruption) {
	e := s.take(d.Target)
	if e == nil {
		return
	}
	e.end()
	time.Sleep(heartbeats)
	s.store.Remove("servers", e.id)
	s.addEndpoint(e.version)
}

// leaveEndpoint takes an endpoint away after another one has started: it says in its answers that it leaves,
// and by its variant its entry is removed, its entry tells it too, or nothing else does.
func (s *drawnSoak) leaveEndpoint(d disruption) {
	e := s.take(d.Target)
	if e == nil {
		return
	}
	s.addEndpoint(e.version)
	time.Sleep(1300 * time.Millisecond)
	e.leaving.Store(true)
	switch d.Variant {
	case 0, 1:
		s.store.Remove("servers", e.id)
	case 2:
		s.store.Put("servers", e.id, platformtest.LeavingRegistration(e.links[0].Addr().String(), e.version))
	}
	if now := time.Now(); d.Variant < 3 && !s.storeDisturbedBetween(now.Add(-contactTime), now) {
		e.removedAt.Store(&now)
	}
	time.Sleep(drainTime + lingering + d.scaled(2*time.Second))
	e.end()
	s.store.Remove("servers", e.id)
}

// cutOffGateway cuts a gateway off from all endpoints.
func (s *drawnSoak) cutOffGateway(d disruption) {
	gw := s.gateways[d.Target%len(s.gateways)]
	fail := []func(*recordingListener, bool){(*recordingListener).refuse, (*recordingListener).silence}[d.Variant%2]
	list := s.all()
	for _, failing := range []bool{true, false} {
		gw.breakOff(func() {
			for _, e := range list {
				fail(e.links[gw.index].recordingListener, failing)
			}
		})
		if failing {
			time.Sleep(d.scaled(5500 * time.Millisecond))
		}
	}
}

// silence makes an endpoint, or all, silent for a time.
func (s *drawnSoak) silence(d disruption) {
	list := s.all()
	if d.Variant%2 == 0 {
		list = list[:1]
	}
	plain := make([]*soakEndpoint, len(list))
	for i, e := range list {
		plain[i] = e.soakEndpoint
	}
	s.silenceEndpoints(d.scaled(1500*time.Millisecond), plain...)
}

// changeConfiguration writes versions of the configuration in quick succession.
func (s *drawnSoak) changeConfiguration(d disruption) {
	for range 1 + d.Variant {
		s.configure(10 + int(d.Dose*300))
		time.Sleep(200 * time.Millisecond)
	}
}

// refuseOne makes the store refuse the calls of one gateway.
func (s *drawnSoak) refuseOne(d disruption) {
	gw := s.gateways[d.Target%len(s.gateways)]
	s.storeDisturbed(func() {
		gw.storeRefuses.Store(int32([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[d.Variant%2]))
		gw.view.CloseClientConnections()
		time.Sleep(d.scaled(5 * time.Second))
		gw.storeRefuses.Store(0)
	})
}

// loseAnswers makes the store carry writes out without an answer.
func (s *drawnSoak) loseAnswers(d disruption) {
	s.storeDisturbed(func() {
		s.store.SetMode(platformtest.DropResponses)
		time.Sleep(d.scaled(3 * time.Second))
		s.store.SetMode(platformtest.Available)
	})
}

// writeUnreadable writes entries of another writer.
func (s *drawnSoak) writeUnreadable(d disruption) {
	for n, spec := range []string{`"text"`, `{"service":7}`, `{"service":"s1","address":5,"born":"x"}`, `[]`}[:1+d.Variant] {
		s.store.Put("servers", fmt.Sprint("odd-", d.Target, "-", n), spec)
	}
	time.Sleep(d.scaled(time.Second))
}

// drawnEndpoint is an endpoint that may leave.
type drawnEndpoint struct {
	*soakEndpoint
	// taken is true once a disruption ends the endpoint, leaving once it says in its answers that it leaves,
	// and gone once it has ended.
	taken, leaving, gone atomic.Bool
	// removedAt is when the store had accepted that it leaves, while it was stable; nil before.
	removedAt atomic.Pointer[time.Time]
}

// end ends the endpoint: its connections are reset, and new ones refused.
func (e *drawnEndpoint) end() {
	e.gone.Store(true)
	for _, l := range e.links {
		l.refuse(true)
	}
}

// addEndpoint starts an endpoint of a version and registers it.
func (s *drawnSoak) addEndpoint(version string) {
	s.mu.Lock()
	id := fmt.Sprint("i-", s.nextEndpoint)
	s.nextEndpoint++
	s.mu.Unlock()
	e := &drawnEndpoint{}
	s.building.Lock()
	s.handler = func(_ *soakEndpoint, gateway int) http.Handler {
		return platformtest.Runner{
			ID: id, Version: version, Events: drawnEvents, EventGap: drawnEventGap, Work: drawnWork, Leaving: e.leaving.Load,
			Began: func(request string) { s.arrived(arrival{id: request, e: e, gateway: gateway, at: time.Now()}) },
		}
	}
	e.soakEndpoint = s.newEndpoint(s.t, id, version, soakGateways, nil)
	s.building.Unlock()
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e.soakEndpoint)
	s.list = append(s.list, e)
	s.mu.Unlock()
	s.register(e.soakEndpoint)
}

// all returns the endpoints that haven't ended.
func (s *drawnSoak) all() []*drawnEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.list), func(e *drawnEndpoint) bool { return e.gone.Load() })
}

// take returns an endpoint that no other disruption ends, or nil if less than two of its version would be
// left.
func (s *drawnSoak) take(target int) *drawnEndpoint {
	s.taking.Lock()
	defer s.taking.Unlock()
	free := slices.DeleteFunc(s.all(), func(e *drawnEndpoint) bool { return e.taken.Load() })
	if len(free) == 0 {
		return nil
	}
	e, sameVersion := free[target%len(free)], 0
	for _, other := range free {
		if other.version == e.version {
			sameVersion++
		}
	}
	if sameVersion <= 2 {
		return nil
	}
	e.taken.Store(true)
	return e
}
