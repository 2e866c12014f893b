package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// twoKindsConfig names a configuration with two routes of one host to one service: requests below /beds/ may be
// repeated, all others not.
const twoKindsConfig = "kinds.json"

// The dose of lost answers: the share of the servers, that of their answers, and for how long.
const (
	losingServers = 2
	allServers    = 4
	lostShare     = 0.05
	lossTime      = 4 * time.Second
)

// encodedSlash: servers run requests and lose some of the answers. The callers' paths have an encoded slash.
func encodedSlash(w *world) (bool, error) {
	var mu sync.Mutex
	runs := make(map[string]int)
	var began time.Time
	random := rand.New(rand.NewPCG(1, 2))
	for i := range allServers {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		e := &endpoint{id: fmt.Sprintf("i-%d", i), addr: addr, service: "s1", slots: 6, world: w}
		e.began = func(_ *endpoint, r *http.Request) {
			mu.Lock()
			runs[r.Header.Get(wireHeader("requestID"))]++
			lost := w.trouble && i < losingServers && time.Since(began) < lossTime && random.Float64() < lostShare
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			if lost {
				w.record.line("server %s runs %s and loses the answer", e.id, r.Header.Get(wireHeader("requestID")))
				panic(http.ErrAbortHandler)
			}
		}
		if err := e.start("v1"); err != nil {
			return false, err
		}
		e.register()
	}
	w.store.Put("config", "main", wireFile(twoKindsConfig))
	w.addGateways(2)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	began = time.Now()
	var calls sync.WaitGroup
	for n := range 8 {
		calls.Go(func() {
			for i := range 100 {
				w.call(w.gateways[(n+i)%2], http.MethodPost, fmt.Sprintf("/beds%%2Fhold-%d-%d", n, i), 1500*time.Millisecond, nil)
			}
		})
	}
	calls.Wait()
	twice := 0
	for id, n := range runs {
		if n > 1 {
			w.record.line("request %s ran %d times", id, n)
			twice++
		}
	}
	w.record.line("%d of %d requests ran more than once", twice, len(runs))
	if len(runs) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return twice > 0, nil
}
