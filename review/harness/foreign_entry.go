package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of foreignEntry.
const (
	// heartbeat is the time between two writes of a server, of the small sites.
	heartbeat = 1200 * time.Millisecond
	// steady is the time before and after the events.
	steady = 3 * time.Second
	// foreignAfter is the time from the server's report that it drains to the other writer's entry.
	foreignAfter = drainTime + 500*time.Millisecond
	// pause is the time between two requests at each instance.
	pause = 20 * time.Millisecond
)

// foreignEntry has another writer put an entry with a missing field under the id of a server that
// has reported that it drains. Rule DRAIN.
func foreignEntry(d *deployment, trouble bool) ([]string, error) {
	for _, zone := range []string{"dc-a", "dc-b"} {
		if _, err := d.addGateway(zone); err != nil {
			return nil, err
		}
	}
	var leaving *server
	for i := range 4 {
		s, err := d.newServer(fmt.Sprintf("i-%d", i), []string{"dc-a", "dc-b"}[i%2])
		if err != nil {
			return nil, err
		}
		if i == 0 {
			leaving = s
		}
	}
	d.store.Put("config", "main", config(3, "idempotent", ""))
	if err := d.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, g := range d.gateways {
		callers.Go(func() { g.callUntil(stop) })
	}
	time.Sleep(steady + contactTime)
	if len(leaving.received()) == 0 {
		return nil, fmt.Errorf("server %s got no request before it left", leaving.id)
	}
	leaving.setLeaving()
	leaving.put("draining", true)
	acknowledged := time.Now()
	d.note("server %s reports that it drains, and says in its answers that it leaves", leaving.id)
	time.Sleep(foreignAfter)
	if trouble {
		leaving.put("ready", false)
		d.note("another writer's entry under %s: no field born, state ready", leaving.id)
	}
	time.Sleep(heartbeat)
	leaving.put("draining", true)
	d.note("server %s writes its entry again: draining", leaving.id)
	time.Sleep(steady)
	close(stop)
	callers.Wait()
	var late []string
	for _, a := range leaving.received() {
		d.note("server %s got request %s %.3f s after the acknowledgement", a.server, a.id, a.at.Sub(acknowledged).Seconds())
		if a.at.Sub(acknowledged) > drainTime {
			late = append(late, fmt.Sprintf("request %s reached server %s %.3f s after the store had acknowledged that it drains", a.id, a.server, a.at.Sub(acknowledged).Seconds()))
		}
	}
	return late, nil
}

// put writes the server's entry; without its start it is another writer's.
func (s *server) put(state string, withBorn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.registration(state) + "}"
	if withBorn {
		entry = fmt.Sprintf(`%s,"born":%d}`, strings.TrimSuffix(entry, "}"), s.born)
	}
	s.d.store.Put("servers", s.id, entry)
}

// callUntil sends requests, several at a time, until stop is closed.
func (g *gateway) callUntil(stop chan struct{}) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		calls.Go(func() {
			id := fmt.Sprintf("%s-%d", g.name, n)
			if a := g.call(id, "GET", "/plain/"+id, ""); a.status != 200 {
				g.d.note("%s answers request %s: %v", g.name, id, a)
			}
		})
	}
}
