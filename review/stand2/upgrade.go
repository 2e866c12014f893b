package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// streamConfigWith returns a configuration with one route, of streams that may be resumed, to engines with
// a number of slots.
func streamConfigWith(slots int) string {
	return fmt.Sprintf(wireFile("streams.json"), slots)
}

// followStream asks for a stream, and takes it up again where it broke. It reports whether the caller got
// events of two versions.
func (w *world) followStream(n int, deadline time.Duration) (mixed bool) {
	end := time.Now().Add(deadline)
	var got []event
	first, turn := "", n
	for try := 0; try < 3 && time.Until(end) > 100*time.Millisecond; try++ {
		header := http.Header{"X-Model": {"m"}, wireHeader("tokens"): {"200,250"}, wireHeader("prefix"): {fmt.Sprintf("%x:200", n)}}
		if len(got) > 0 {
			header.Set("Last-Event-Id", fmt.Sprint(got[len(got)-1].id))
			header["Resumes"] = []string{first}
		}
		g := w.gateways[turn%len(w.gateways)]
		turn++
		id, events, complete, after := w.streamAttempt(g, "/s/stream", time.Until(end), header)
		if first == "" && len(events) > 0 {
			first = id
		}
		got = append(got, events...)
		if complete {
			break
		}
		time.Sleep(min(after, time.Until(end)/3))
	}
	for _, e := range got {
		mixed = mixed || e.version != got[0].version
	}
	if mixed {
		w.record.line("stream %s holds events of two versions: %s", first, describe(got))
	}
	return mixed
}

// The times of an upgrade in place: a server is down for downTime, writes its entry registerTime after it
// has begun to serve, and the next one follows upgradeStep after it.
const (
	downTime     = 400 * time.Millisecond
	registerTime = 600 * time.Millisecond
	upgradeStep  = 500 * time.Millisecond
)

// upgradeInPlace: servers end one after another and start again under their ids with another version, twice.
func upgradeInPlace(w *world) (bool, error) {
	var servers []*endpoint
	for i := range 8 {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		e := &endpoint{id: fmt.Sprintf("i-%d", i), addr: addr, service: "s1", slots: 8, world: w, eventTime: 100 * time.Millisecond, events: 50}
		if err := e.start("v1"); err != nil {
			return false, err
		}
		e.register()
		servers = append(servers, e)
	}
	w.store.Put("config", "main", streamConfigWith(8))
	w.addGateways(6)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var calls sync.WaitGroup
	var mu sync.Mutex
	mixed, total := 0, 0
	until := time.Now().Add(22 * time.Second)
	for n := range 52 {
		calls.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for i := n; time.Now().Before(until); i += 1000 {
				both := w.followStream(i, 12*time.Second)
				mu.Lock()
				total++
				if both {
					mixed++
				}
				mu.Unlock()
			}
		})
	}
	if w.trouble {
		for _, version := range []string{"v2", "v3"} {
			time.Sleep(5 * time.Second)
			for _, e := range servers[:7] {
				calls.Go(func() { restart(e, version) })
				time.Sleep(upgradeStep)
			}
		}
	}
	calls.Wait()
	w.record.line("%d of %d streams hold events of two versions", mixed, total)
	return mixed > 2, nil
}

// restart replaces a server by one of another version, which registers a moment after it has begun to serve.
func restart(e *endpoint, version string) {
	e.crash()
	time.Sleep(downTime)
	if err := e.start(version); err != nil {
		e.world.record.line("server %s does not start: %v", e.id, err)
		return
	}
	time.Sleep(registerTime)
	e.register()
}
