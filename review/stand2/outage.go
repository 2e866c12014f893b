package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// The times of the case with an outage of the store, counted from the start of traffic.
const (
	outageBegins = 9 * time.Second
	outageLength = 4500 * time.Millisecond
	// crashBegins is a little more than contactMs after the end of the outage.
	crashBegins = outageBegins + outageLength + 3200*time.Millisecond
	crashLength = 4500 * time.Millisecond
	// judgedFor is the time after the crash in which streams that are taken up count.
	judgedFor     = 3 * time.Second
	streamTimeout = 12 * time.Second
)

// outageStreams is the number of streams at a time.
const outageStreams = 270

// tally counts streams that were sent, and those of which an event came.
type tally struct{ sent, went int }

func (t *tally) add(went bool) {
	t.sent++
	if went {
		t.went++
	}
}

func (t tally) share() float64 { return float64(t.went) / float64(max(1, t.sent)) }

// takeUpStream asks for a stream and takes it up again where it breaks.
func (w *world) takeUpStream(n int, count func(sent time.Time, resumed, went bool)) {
	end := time.Now().Add(streamTimeout)
	first, last := "", 0
	for try := 0; try < 2 && time.Until(end) > 100*time.Millisecond; try++ {
		header := http.Header{"X-Model": {"m"}, wireHeader("tokens"): {"200,250"}, wireHeader("prefix"): {fmt.Sprintf("%x:200", n)}}
		if last > 0 {
			header.Set("Last-Event-Id", fmt.Sprint(last))
			header["Resumes"] = []string{first}
		}
		sent := time.Now()
		id, events, complete, after := w.streamAttempt(w.gateways[(n+try)%len(w.gateways)], "/s/stream", time.Until(end), header)
		count(sent, last > 0, len(events) > 0 || complete)
		if len(events) > 0 {
			last = events[len(events)-1].id
			if first == "" {
				first = id
			}
		}
		if complete {
			return
		}
		time.Sleep(min(after, time.Until(end)/3))
	}
}

// takeUpAfterOutage: streams begin while the store is down. Later, with the store back for longer than
// contactMs, servers crash at which such streams are in progress.
func takeUpAfterOutage(w *world) (bool, error) {
	var servers []*endpoint
	for i := range 12 {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		e := &endpoint{id: fmt.Sprintf("i-%d", i), addr: addr, service: "s1", slots: 48, world: w, eventTime: 250 * time.Millisecond, events: 40, unframed: true}
		if err := e.start("v1"); err != nil {
			return false, err
		}
		e.register()
		servers = append(servers, e)
	}
	w.store.Put("config", "main", streamConfigWith(48))
	w.addGateways(6)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	crash := began.Add(crashBegins)
	var mu sync.Mutex
	var taken, fresh tally
	count := func(sent time.Time, resumed, went bool) {
		mu.Lock()
		defer mu.Unlock()
		if d := sent.Sub(crash); d < 0 || d > judgedFor {
			return
		}
		if resumed {
			taken.add(went)
		} else {
			fresh.add(went)
		}
	}
	var calls sync.WaitGroup
	for n := range outageStreams {
		calls.Go(func() {
			time.Sleep(time.Duration(n) * 9 * time.Second / outageStreams)
			for i := n; time.Now().Before(crash.Add(judgedFor)); i += outageStreams {
				w.takeUpStream(i, count)
			}
		})
	}
	if w.trouble {
		if os.Getenv("OUTAGE") != "0" { // to show what the crash does alone
			w.storeOutage(began.Add(outageBegins), outageLength)
		}
		time.Sleep(time.Until(crash))
		if err := crashFor(crashLength, servers[:2]); err != nil {
			return false, err
		}
	}
	calls.Wait()
	w.record.line("new streams: %d of %d begin; taken up: %d of %d go on", fresh.went, fresh.sent, taken.went, taken.sent)
	return taken.sent >= 12 && taken.share() < fresh.share()/2, nil
}

// storeOutage makes the store refuse all calls for some time.
func (w *world) storeOutage(from time.Time, length time.Duration) {
	time.Sleep(time.Until(from))
	w.store.SetMode(platformtest.Unavailable)
	w.store.CloseClientConnections()
	w.record.line("the store is down")
	time.Sleep(length)
	w.store.SetMode(platformtest.Available)
	w.record.line("the store is back")
}

// crashFor crashes servers, which start again as new processes after some time.
func crashFor(length time.Duration, servers []*endpoint) error {
	for _, e := range servers {
		e.crash()
	}
	time.Sleep(length)
	for _, e := range servers {
		if err := e.start("v1"); err != nil {
			return err
		}
		e.register()
	}
	return nil
}
