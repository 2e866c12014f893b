package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bad part of the prompts, and how often requests with it and sound ones come.
const (
	badPart       = "bad0"
	badInterval   = 50 * time.Millisecond
	soundInterval = 9 * time.Millisecond
	partRuns      = 24 * time.Second
	// backAfter is the time until a crashed server is back.
	backAfter = 4 * time.Second
	// countedCrashes and contact are the crashes, and the time after them, from which on arrivals count.
	countedCrashes = 5
	contact        = 3 * time.Second
	// allowedArrivals is the number of requests with the part that may still arrive then.
	allowedArrivals = 3
)

// crashingPart: a part of prompts crashes each server that begins to write an answer to a request with it.
func crashingPart(w *world) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := make(map[string][]time.Time)
	var calls sync.WaitGroup
	began := func(e *endpoint, r *http.Request) {
		id := r.Header.Get(wireHeader("requestID"))
		bad := strings.Contains(r.Header.Get(wireHeader("prefix")), badPart+":")
		if bad {
			mu.Lock()
			arrivals[id] = append(arrivals[id], time.Now())
			mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond) // the prompt is read
		if !bad || !w.trouble || !e.crash() {
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		w.record.line("request %s has crashed server %s", id, e.id)
		calls.Go(func() {
			time.Sleep(backAfter)
			if err := e.start("v1"); err != nil {
				w.record.line("server %s does not start: %v", e.id, err)
				return
			}
			e.register()
		})
	}
	for i := range 9 {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		e := &endpoint{id: fmt.Sprintf("i-%d", i), addr: addr, service: "s1", slots: 24, world: w, eventTime: 10 * time.Millisecond, events: 10, began: began}
		if err := e.start("v1"); err != nil {
			return false, err
		}
		e.register()
	}
	w.store.Put("config", "main", streamConfigWith(24))
	w.addGateways(6)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	send := func(n int, parts string) {
		calls.Go(func() {
			header := http.Header{"X-Model": {"m"}, wireHeader("tokens"): {"400,50"}, wireHeader("prefix"): {parts}}
			w.streamAttempt(w.gateways[n%len(w.gateways)], "/s/stream", 3*time.Second, header)
		})
	}
	traffic := func(every, length time.Duration, bad bool) {
		end := time.Now().Add(length)
		for n := 0; time.Now().Before(end); n++ {
			if bad {
				send(n, fmt.Sprintf("a%d:200,%s:100,f%x:100", n%4, badPart, n))
			} else {
				send(n, fmt.Sprintf("a%d:200,b%d:100,c%x:100", n%4, n%97, n))
			}
			time.Sleep(every)
		}
	}
	calls.Go(func() { traffic(soundInterval, partRuns, false) })
	time.Sleep(3 * time.Second)
	traffic(badInterval, partRuns-6*time.Second, true)
	calls.Wait()
	if !w.trouble {
		return false, nil
	}
	if len(crashes) == 0 {
		return false, fmt.Errorf("no server crashed")
	}
	known := crashes[min(countedCrashes, len(crashes))-1].Add(contact)
	late := 0
	for id, list := range arrivals {
		for _, at := range list {
			if at.After(known) {
				w.record.line("request %s reaches a server %.3f s after the fifth crash", id, contact.Seconds()+at.Sub(known).Seconds())
				late++
			}
		}
	}
	w.record.line("%d crashes; %d requests with the part reach servers later than %.0f s after the fifth", len(crashes), late, contact.Seconds())
	return late > allowedArrivals, nil
}
