package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of survivor.
const (
	// instances is the number of instances, and perInstance that of callers at each.
	instances, perInstance = 6, 10
	// killedTime is how long five of six instances are away; the small sites have up to 2 s.
	killedTime = 2 * time.Second
	// serversOfStreams is the number of servers.
	serversOfStreams = 9
	// leastTaken is the number of streams taken up from which on the rule counts.
	leastTaken = 12
	// takeUps is how often a caller takes a stream up: the sheets give each requester one retry.
	takeUps = 1
	// refusedPause is the least time for which a caller waits after a refusal of a new stream.
	refusedPause = time.Second
	// longGap is the time between two events, so that a stream takes 2 s.
	longGap = 170 * time.Millisecond
)

// streamCounts counts new streams and those that were taken up, as asked for and as served.
type streamCounts struct {
	mu            sync.Mutex
	asked, began  int
	taken, wentOn int
	unfinished    int
	refusals      map[int]int
}

// survivor kills five of six instances for a moment. Callers take their streams up at the one that
// is left. Rule LOST.
func survivor(d *deployment, trouble bool) ([]string, error) {
	for i := range instances {
		if _, err := d.addGateway([]string{"dc-a", "dc-b"}[i%2]); err != nil {
			return nil, err
		}
	}
	for i := range serversOfStreams {
		s, err := d.newServer(fmt.Sprintf("i-%d", i), []string{"dc-a", "dc-b"}[i%2])
		if err != nil {
			return nil, err
		}
		s.gap = longGap
	}
	d.setConfig("limited")
	if err := d.startAll(); err != nil {
		return nil, err
	}
	counts := &streamCounts{refusals: make(map[int]int)}
	b := &balancer{d: d, down: make(map[*gateway]bool)}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range perInstance * instances {
		callers.Go(func() { b.callStreams(n, stop, counts) })
	}
	time.Sleep(3*steady + contactTime)
	if trouble {
		if err := b.killOthers(); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * steady)
	close(stop)
	callers.Wait()
	d.note("new streams: %d asked for, %d began; taken up at the instance that was left: %d, went on: %d; refusals by status: %v; never finished: %d",
		counts.asked, counts.began, counts.taken, counts.wentOn, counts.refusals, counts.unfinished)
	if counts.taken < leastTaken {
		return nil, nil
	}
	taken, fresh := float64(counts.wentOn)/float64(counts.taken), float64(counts.began)/float64(counts.asked)
	if taken < fresh/2 {
		return []string{fmt.Sprintf("of %d streams that callers took up at the instance that was left, %d went on; of %d new ones %d began; %d streams were never finished",
			counts.taken, counts.wentOn, counts.asked, counts.began, counts.unfinished)}, nil
	}
	return nil, nil
}

// balancer sends callers to instances that are in rotation.
type balancer struct {
	d    *deployment
	mu   sync.Mutex
	down map[*gateway]bool
}

// killOthers kills all instances but the first, and starts them again after killedTime.
func (b *balancer) killOthers() error {
	others := b.d.gateways[1:]
	b.d.note("%d of %d instances are killed", len(others), len(b.d.gateways))
	for _, g := range others {
		b.set(g, true)
	}
	for _, g := range others {
		g.kill()
	}
	time.Sleep(killedTime)
	for _, g := range others {
		if err := g.restart(); err != nil {
			return err
		}
	}
	for _, g := range others {
		if err := g.waitReady(); err != nil {
			return err
		}
		b.set(g, false)
	}
	return nil
}

func (b *balancer) set(g *gateway, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[g] = down
}

// pick returns an instance for a caller, and whether it is the one that is never killed.
func (b *balancer) pick(n int) (g *gateway, left bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g = b.d.gateways[n%len(b.d.gateways)]
	if b.down[g] {
		g = b.d.gateways[0]
	}
	return g, g == b.d.gateways[0]
}

// callStreams asks for streams, one after the other, and takes each up where it breaks off.
func (b *balancer) callStreams(n int, stop chan struct{}, counts *streamCounts) {
	time.Sleep(time.Duration(n) * 37 * time.Millisecond)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("s%d-%d", n, k)
		g, _ := b.pick(n)
		status, events, retryAfter := g.readFrom(id, "", 0)
		counts.mu.Lock()
		counts.asked++
		if events > 0 {
			counts.began++
		} else {
			counts.refusals[status]++
		}
		counts.mu.Unlock()
		if events == 0 {
			time.Sleep(max(retryAfter, refusedPause))
			continue
		}
		for try := 0; events < streamEvents && try < takeUps; try++ {
			events += b.takeUp(n, id, try, events, counts)
		}
		if events < streamEvents {
			counts.mu.Lock()
			counts.unfinished++
			counts.mu.Unlock()
		}
	}
}

// takeUp takes a stream up after some events. It returns the number of further ones.
func (b *balancer) takeUp(n int, id string, try, events int, counts *streamCounts) int {
	g, left := b.pick(n)
	status, more, retryAfter := g.readFrom(fmt.Sprintf("%s-again-%d", id, try), id, events)
	b.d.note("%s: stream %s taken up after event %d: %d, %d events more", g.name, id, events, status, more)
	if left {
		counts.mu.Lock()
		counts.taken++
		if more > 0 {
			counts.wentOn++
		} else {
			counts.refusals[status]++
		}
		counts.mu.Unlock()
	}
	if more == 0 {
		time.Sleep(retryAfter)
	}
	return more
}

// readFrom asks for a stream, or takes one up after some events. It returns the number of events.
func (g *gateway) readFrom(id, resumes string, last int) (status, events int, retryAfter time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/stream/x", strings.NewReader(id))
	if err != nil {
		return 0, 0, 0
	}
	req.Host = "a.example"
	req.Header.Set(header("request id"), id)
	req.Header.Set(header("time left"), deadlineMS)
	req.Header.Set("Authorization", "Token k1")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(last))
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	var seconds float64
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &seconds); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return resp.StatusCode, events, retryAfter
}
