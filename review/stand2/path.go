package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// plainConfig names a configuration with one route, of requests that run once at most, for all paths.
const plainConfig = "plain.json"

// changedPath: callers send requests whose paths begin with an empty segment.
func changedPath(w *world) (bool, error) {
	var mu sync.Mutex
	ran := make(map[string]string)
	addr, err := freeAddr()
	if err != nil {
		return false, err
	}
	e := &endpoint{id: "i-0", addr: addr, service: "s1", slots: 6, world: w}
	e.began = func(_ *endpoint, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get(wireHeader("requestID"))] = r.URL.RequestURI()
		w.record.line("server reads %s %s: host %s, path %s", r.Method, r.RequestURI, r.Host, r.URL.Path)
	}
	if err := e.start("v1"); err != nil {
		return false, err
	}
	e.register()
	w.store.Put("config", "main", wireFile(plainConfig))
	w.addGateways(2)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	changed := 0
	for n := range 10 {
		path := fmt.Sprintf("/beds/hold-%d", n)
		if w.trouble {
			path = "/" + path
		}
		r := w.call(w.gateways[n%2], http.MethodPost, path, 2*time.Second, nil)
		mu.Lock()
		if got, ok := ran[r.id]; ok && got != path {
			w.record.line("request %s was sent with path %s and ran with %s", r.id, path, got)
			changed++
		}
		mu.Unlock()
	}
	w.record.line("%d of %d requests ran with another path", changed, len(ran))
	if len(ran) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}
