package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Sizes and times of the case.
const (
	killNodes   = 6
	killServers = 9
	killStreams = 60
	killGap     = 240 * time.Millisecond
	killEvents  = 30
	// settleTime is the time from the first start to the copy that the store comes back from, copyAge the age of
	// that copy, and afterCopy the time from the drill to the streams.
	settleTime = 10 * time.Second
	copyAge    = 3 * time.Second
	afterCopy  = 10 * time.Second
	// killAfter is the time from the begin of the streams to the kill, and takeUpAfter that from a break to each
	// of the tries to take the stream up: all machines are in touch by then.
	killAfter   = 2 * time.Second
	takeUpAfter = 4 * time.Second
	takeUpAgain = 2 * time.Second
)

// playKillAll plays a drill of the store and, some time later, a kill of all processes while streams run. It
// returns whether the rule was kept.
func playKillAll(w *world, drills, kills bool) (bool, error) {
	w.streamLength = killEvents
	w.store.Put("config", "main", streamConfig)
	servers := make([]*server, killServers)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%03d", i), service: "llm", zone: zones[i%len(zones)], version: "v1", record: w.record, gap: killGap, events: killEvents}
		if err := s.open(); err != nil {
			return false, err
		}
		defer s.end()
		servers[i] = s
		w.store.Put("servers", s.id, s.entry(streamSlots))
	}
	if err := w.addNodes(killNodes, true); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if drills {
		w.drill(servers)
	}
	time.Sleep(afterCopy)
	t := &tally{statuses: make(map[string]int)}
	var requesters sync.WaitGroup
	for c := range killStreams {
		requesters.Go(func() { w.takeUpLater(c, fmt.Sprintf("k-%d", c), t) })
	}
	time.Sleep(killAfter)
	if kills {
		w.record.add("all processes are killed")
		for _, n := range w.nodes {
			n.end()
		}
		time.Sleep(restartDelay)
		w.record.add("the processes start again")
		for _, n := range w.nodes {
			if err := w.restart(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(takeUpAfter)
	for c := range killStreams {
		requesters.Go(func() { w.takeUpLater(c, fmt.Sprintf("n-%d", c), t) })
	}
	requesters.Wait()
	return w.judgeResume(t), nil
}

// drill lets the store come back from a copy that is some seconds old.
func (w *world) drill(servers []*server) {
	copied := w.store.Snapshot()
	time.Sleep(copyAge - awayTime)
	w.record.add("the store is away")
	w.store.SetMode(platformtest.Unavailable)
	time.Sleep(awayTime)
	w.store.RollBack(copied)
	w.store.SetMode(platformtest.Available)
	w.store.Put("config", "main", streamConfig)
	for _, s := range servers {
		w.store.Put("servers", s.id, s.entry(streamSlots))
	}
	w.record.add("the store is back from a copy that is %d ms old; the operator and the servers have written again", copyAge.Milliseconds())
}

// takeUpLater asks for one stream. If it breaks off it is taken up some time later, twice at most.
func (w *world) takeUpLater(c int, id string, t *tally) {
	deadline := time.Now().Add(streamDeadline)
	t.count(&t.started)
	last, result, _ := w.tryStream(c, id, "", 0, deadline, t)
	if last > 0 {
		t.count(&t.begun)
	}
	w.record.add("answered: %s: %s, last event %d", id, result, last)
	if result == "whole" {
		t.count(&t.whole)
	}
	if last == 0 || result == "whole" {
		return
	}
	t.count(&t.takenUp)
	for n, pause := range []time.Duration{takeUpAfter, takeUpAgain} {
		time.Sleep(pause)
		before := last
		last, result, _ = w.tryStream(c+n+1, fmt.Sprintf("%s-%d", id, n+1), id, last, deadline, t)
		t.answered(result)
		w.record.add("stream %s is taken up after event %d: %s, last event %d", id, before, result, last)
		if last > before {
			t.count(&t.wentOn)
			return
		}
	}
}
