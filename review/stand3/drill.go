package main

import (
	"fmt"
	"maps"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

const (
	// usageWindow is the length of a window of usage.
	usageWindow = 5 * time.Second
	// startBefore is the time from the start of the gateways to the end of the window in which they serve the
	// first requests.
	startBefore = 1800 * time.Millisecond
	// drillWave is the time between two waves of requests.
	drillWave = 300 * time.Millisecond
	// awayTime is the time for which the store is away in the drill, and restartDelay that until killed processes
	// start again.
	awayTime     = 300 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// reportTime limits the wait for a report, and afterDrill is the time for which the system is watched then.
	reportTime = 20 * time.Second
	afterDrill = 20 * time.Second
)

// playDrill starts the whole system for the first time. Once the usage of the first window is reported, the
// platform's store comes back from a copy that is some seconds old, and all processes are killed at that moment.
// It returns whether the rule was kept.
func playDrill(w *world, drills, kills bool) (bool, error) {
	w.store.Put("config", "main", plainConfig)
	servers := make([]*server, plainServers)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%03d", i), service: "desk", zone: zones[i%len(zones)], version: "v1", record: w.record, work: plainWork}
		if err := s.open(); err != nil {
			return false, err
		}
		defer s.end()
		servers[i] = s
		w.store.Put("servers", s.id, s.entry(plainSlots))
	}
	end := time.Now().Add(startBefore).Truncate(usageWindow).Add(usageWindow)
	time.Sleep(time.Until(end.Add(-startBefore)))
	w.record.add("the whole system starts for the first time, %d ms before the end of a window", time.Until(end).Milliseconds())
	if err := w.addNodes(plainNodes, true); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	counts := &plainCounts{results: make(map[string]int)}
	go w.waves(counts, stop)
	copied, copiedAt, err := w.copyBeforeState()
	if err != nil {
		return false, err
	}
	if err := w.awaitReport(); err != nil {
		return false, err
	}
	if drills {
		w.record.add("the store is away")
		w.store.SetMode(platformtest.Unavailable)
	}
	if kills {
		w.record.add("all processes are killed")
		for _, n := range w.nodes {
			n.end()
		}
	}
	time.Sleep(awayTime)
	if drills {
		w.record.add("the store comes back from a copy that is %d ms old; the operator and the servers write again", time.Since(copiedAt).Milliseconds())
		w.store.RollBack(copied)
		w.store.SetMode(platformtest.Available)
		w.store.Put("config", "main", plainConfig)
		for _, s := range servers {
			w.store.Put("servers", s.id, s.entry(plainSlots))
		}
	}
	if kills {
		time.Sleep(restartDelay - awayTime)
		w.record.add("the processes start again")
		for _, n := range w.nodes {
			if err := w.restart(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(afterDrill)
	counts.mu.Lock()
	w.record.add("answers: %v", counts.results)
	counts.mu.Unlock()
	return w.judgeReports(), nil
}

// waves sends requests until stop is closed.
func (w *world) waves(counts *plainCounts, stop chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(drillWave):
			w.wave(w.plainCallers(), counts, number)
		}
	}
}

// copyBeforeState returns a copy of the store from just before the system has stored its first state of usage.
func (w *world) copyBeforeState() (platformtest.Snapshot, time.Time, error) {
	copied, at := w.store.Snapshot(), time.Now()
	for deadline := time.Now().Add(reportTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		next, now := w.store.Snapshot(), time.Now()
		if w.store.Value("usage", "state") != "" {
			return copied, at, nil
		}
		copied, at = next, now
	}
	return copied, at, fmt.Errorf("no state of usage after %v", reportTime)
}

// awaitReport waits until the usage of a window with requests was reported.
func (w *world) awaitReport() error {
	for deadline := time.Now().Add(reportTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, r := range w.cloud.Reports() {
			if len(r.Counts) > 0 {
				w.record.add("window %d is reported: %v", r.Window, r.Counts)
				return nil
			}
		}
	}
	return fmt.Errorf("no report after %v", reportTime)
}

// judgeReports applies the rule ONE to the reports of usage.
func (w *world) judgeReports() bool {
	held := true
	first := make(map[int64]map[string]int)
	for _, r := range w.cloud.Reports() {
		w.record.add("report of window %d by %s with epoch number %d: %v", r.Window, r.Holder, r.Fence, r.Counts)
		if counts, known := first[r.Window]; known && !maps.Equal(counts, r.Counts) {
			w.record.add("window %d was accepted with other counts before: %v", r.Window, counts)
			held = false
		}
		if _, known := first[r.Window]; !known {
			first[r.Window] = r.Counts
		}
	}
	w.record.add("ONE broken: %t (two reports for one window with different counts)", !held)
	return held
}
