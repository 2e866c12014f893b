package endpoints

import "time"

// watcher is told when an endpoint is known to stop.
type watcher struct {
	tell func(leavesIn time.Duration)
}

// stopsAtKnownTime reports whether a registration says when its endpoint stops.
func (i Info) stopsAtKnownTime() bool { return i.Leaving && i.LeavesIn != UnknownTime }

// OnLeaving calls a function with the time until the endpoint stops once a registration says that, and
// again if a later one says another time; at once, with what is left of the time, if that is known
// already. The function must not block or use the Table. stop ends the calls; one that is in progress
// may still be made after it.
func (e *Endpoint) OnLeaving(tell func(leavesIn time.Duration)) (stop func()) {
	w := &watcher{tell: tell}
	e.mu.Lock()
	if e.watchers == nil {
		e.watchers = make(map[*watcher]struct{})
	}
	e.watchers[w] = struct{}{}
	i, toldAt := e.info, e.stopToldAt
	e.mu.Unlock()
	if i.stopsAtKnownTime() {
		tell(max(0, i.LeavesIn-time.Since(toldAt)))
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.watchers, w)
	}
}

// tellsOtherStop reports whether a registration tells a time of the stop that the one before didn't. A
// registration tells the time left when it was written, so the same one read again is no news.
func (i Info) tellsOtherStop(before Info) bool {
	return i.stopsAtKnownTime() && !(before.Leaving && before.LeavesIn == i.LeavesIn)
}

// allWatchers returns the watchers. The caller holds the lock.
func (e *Endpoint) allWatchers() []*watcher {
	told := make([]*watcher, 0, len(e.watchers))
	for w := range e.watchers {
		told = append(told, w)
	}
	return told
}
