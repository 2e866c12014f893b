package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of foreignEntry.
const (
	// steady is the time before and after the events.
	steady = 3 * time.Second
	// foreignAfter is the time from the server's report that it drains to the other writer's entry.
	foreignAfter = drainTime + 500*time.Millisecond
	// exitAfter is the time from then to the server's exit: it serves for drainTime after the store
	// has accepted its report, and a little longer.
	exitAfter = 200 * time.Millisecond
	// pause is the time between two requests at each instance.
	pause = 50 * time.Millisecond
	// longWork is how long a request takes.
	longWork = 300 * time.Millisecond
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
		s.work = longWork
		if i == 0 {
			leaving = s
		}
	}
	d.setConfig("plain")
	if err := d.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var lost lostRequests
	for _, g := range d.gateways {
		callers.Go(func() { g.callUntil(stop, &lost) })
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
	time.Sleep(exitAfter)
	d.store.Remove("servers", leaving.id)
	leaving.crash()
	d.note("server %s exits and removes its entry", leaving.id)
	time.Sleep(steady)
	close(stop)
	callers.Wait()
	var late []string
	for _, a := range leaving.received() {
		d.note("server %s got request %s %.3f s after the acknowledgement", a.server, a.id, a.at.Sub(acknowledged).Seconds())
		if a.at.Sub(acknowledged) > drainTime {
			late = append(late, fmt.Sprintf("request %s reached server %s %.3f s after the store had acknowledged that it drains; its caller got %q",
				a.id, a.server, a.at.Sub(acknowledged).Seconds(), lost.answer(a.id)))
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

// lostRequests holds the answers to requests that were not served.
type lostRequests struct {
	mu      sync.Mutex
	answers map[string]string
}

func (l *lostRequests) add(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answers == nil {
		l.answers = make(map[string]string)
	}
	l.answers[id] = answer
}

// answer returns what the caller of a request got.
func (l *lostRequests) answer(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.answers[id]; ok {
		return a
	}
	return "200"
}

// callUntil sends requests, several at a time, until stop is closed.
func (g *gateway) callUntil(stop chan struct{}, lost *lostRequests) {
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
			if a := g.call(id, "POST", "/plain/"+id, "body"); a.status != 200 {
				g.d.note("%s answers request %s: %v", g.name, id, a)
				lost.add(id, a.String())
			}
		})
	}
}
