package main

import (
	"bufio"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the case: 9 model servers as on the small deployment, of which one crashes at a time.
const (
	streamNodes    = 6
	streamServers  = 9
	streamSlots    = 96
	streamEvents   = 24
	streamGap      = 100 * time.Millisecond
	streamClients  = 160
	streamDeadline = 12 * time.Second
	streamCrashes  = 8
	crashInterval  = 7 * time.Second
	// pings is the time of three pings, after which the entry of a server that is silent is removed.
	pings = 3600 * time.Millisecond
	// maxTakeUps is the number of times that a requester takes one stream up.
	maxTakeUps = 3
)

// streamConfig is the configuration of the case.
//
//go:embed stream.json
var streamConfig string

// tally counts the streams of the case.
type tally struct {
	mu                                     sync.Mutex
	started, begun, whole, takenUp, wentOn int
	wrong                                  int
	statuses                               map[string]int
}

func (t *tally) count(what *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*what++
}

// answered counts the result of a request that takes a stream up.
func (t *tally) answered(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[result]++
}

// playResume plays streams while servers crash one after the other, and the store cuts watches. It returns
// whether the rule was kept.
func playResume(w *world, cuts, crashes bool) (bool, error) {
	w.streamLength = streamEvents
	w.store.Put("config", "main", streamConfig)
	servers := make([]*server, streamServers)
	next := 0
	add := func(i int) error {
		s := &server{
			id: fmt.Sprintf("i-%03d", next), service: "llm", zone: zones[i%len(zones)], version: "v1", record: w.record, gap: streamGap, events: streamEvents,
		}
		next++
		if err := s.open(); err != nil {
			return err
		}
		servers[i] = s
		w.store.Put("servers", s.id, s.entry(streamSlots))
		w.record.add("server %s starts", s.id)
		return nil
	}
	for i := range servers {
		if err := add(i); err != nil {
			return false, err
		}
	}
	defer func() {
		for _, s := range servers {
			s.end()
		}
	}()
	if err := w.addNodes(streamNodes, false); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	if cuts {
		w.store.cutWatches(time.Second, 2*time.Second)
	}
	time.Sleep(2 * contactTime)
	counts := &tally{statuses: make(map[string]int)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range streamClients {
		clients.Go(func() { w.streamClient(c, counts, stop) })
	}
	time.Sleep(contactTime)
	for k := range streamCrashes {
		i := k % streamServers
		if crashes {
			w.record.add("server %s crashes", servers[i].id)
			servers[i].end()
			time.Sleep(pings)
			w.store.Remove("servers", servers[i].id)
			w.record.add("the entry of server %s is removed", servers[i].id)
			if err := add(i); err != nil {
				return false, err
			}
		}
		time.Sleep(crashInterval - pings)
	}
	close(stop)
	clients.Wait()
	return w.judgeResume(counts), nil
}

// judgeResume applies the rule LOST of the pages' fifth addition.
func (w *world) judgeResume(t *tally) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begin := float64(t.begun) / float64(max(1, t.started))
	goOn := float64(t.wentOn) / float64(max(1, t.takenUp))
	w.record.add("watches cut: %d", w.store.cutCount())
	w.record.add("new streams: %d, begun: %d (share %.3f), whole without a break that the requester saw: %d, wrong: %d", t.started, t.begun, begin, t.whole, t.wrong)
	w.record.add("streams taken up again: %d, went on: %d (share %.3f); answers to these requests: %v", t.takenUp, t.wentOn, goOn, t.statuses)
	broken := t.takenUp >= 12 && goOn < begin/2
	w.record.add("LOST broken: %t (12 or more are taken up, and the share that goes on is under half of the share of new streams that begin)", broken)
	return !broken
}

// streamClient asks for streams one after the other.
func (w *world) streamClient(c int, t *tally, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		w.stream(c+i, fmt.Sprintf("s-%d-%d", c, i), t)
	}
}

// stream asks for one stream, and takes it up where it breaks off.
func (w *world) stream(at int, id string, t *tally) {
	deadline := time.Now().Add(streamDeadline)
	t.count(&t.started)
	last, result, retryAfter := w.tryStream(at, id, "", 0, deadline, t)
	if last > 0 {
		t.count(&t.begun)
	}
	if result == "whole" {
		t.count(&t.whole)
		w.record.add("answered: %s: whole", id)
		return
	}
	if last == 0 {
		w.record.add("stream %s does not begin: %s", id, result)
		time.Sleep(retryAfter)
		return
	}
	w.record.add("stream %s breaks off after event %d: %s", id, last, result)
	t.count(&t.takenUp)
	for n := 1; n <= maxTakeUps && time.Now().Before(deadline); n++ {
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		before := last
		last, result, retryAfter = w.tryStream(at+n, fmt.Sprintf("%s-%d", id, n), id, last, deadline, t)
		t.answered(result)
		w.record.add("stream %s is taken up after event %d at %s: %s, last event %d", id, before, w.nodes[(at+n)%len(w.nodes)].name, result, last)
		if last > before {
			t.count(&t.wentOn)
			return
		}
	}
}

// tryStream makes one attempt over a new connection. It returns the last event that the requester has, and
// how the attempt ended.
func (w *world) tryStream(at int, id, resumes string, last int, deadline time.Time, t *tally) (int, string, time.Duration) {
	n := w.nodes[at%len(w.nodes)]
	w.record.add("sent: %s to %s", id, n.name)
	conn, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return last, "no connection", 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	head := fmt.Sprintf(wire.StreamHead,
		id, 5*w.streamLength, time.Until(deadline).Milliseconds())
	if resumes != "" {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, resumes)
	}
	if _, err := io.WriteString(conn, head+"\r\n{}"); err != nil {
		return last, "not sent", 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return last, "no answer", 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return last, fmt.Sprintf("status %d", resp.StatusCode), time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(lines)
		if errors.Is(err, io.EOF) && event == "" && last == w.streamLength {
			return last, "whole", 0
		}
		if err != nil {
			return last, "cut", 0
		}
		if event != fmt.Sprintf("id: %d\ndata: event %d\n\n", last+1, last+1) {
			t.count(&t.wrong)
			return last, "wrong event", 0
		}
		last++
	}
}

// readEvent reads one event with its empty line.
func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}
