package admin

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/bubble"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// startRandomChange starts a new change, or repeats one whose outcome is unknown to its operator.
func (s *simulation) startRandomChange(rt *rapid.T) {
	for _, old := range s.attempts {
		unknown := old.killed || old.status == http.StatusGatewayTimeout || old.status == http.StatusServiceUnavailable
		if old.done && unknown && rapid.Bool().Draw(rt, "repeat") {
			s.start(&attempt{writeID: old.writeID, expected: old.expected}, s.requestFor(rt, old.writeID, old.expected))
			return
		}
	}
	id := fmt.Sprintf("write-%d", len(s.attempts))
	expected := uint64(len(s.history))
	if rapid.IntRange(0, 9).Draw(rt, "stale") == 0 && expected > 0 {
		expected--
	}
	s.start(&attempt{writeID: id, expected: expected}, s.requestFor(rt, id, expected))
}

// requestFor derives the request from the write id and the expected revision, so
// that a repeat is the same request.
func (s *simulation) requestFor(rt *rapid.T, id string, expected uint64) *http.Request {
	n := int(id[len(id)-1] - '0')
	key := []string{"ann-key", "bob-key"}[n%2]
	switch {
	case n == 9:
		return testRequest(http.MethodPut, api.PathPreset, "eve-key", id, expected, api.SwitchPreset{Preset: "peak"})
	case n == 8:
		return testRequest(http.MethodPut, api.PathPreset, key, id, expected, api.SwitchPreset{Preset: "none"})
	case n%3 == 0 && expected > 0:
		return testRequest(http.MethodPut, api.PathPreset, key, id, expected, api.SwitchPreset{Preset: []string{"ordinary", "peak"}[n%2]})
	}
	return testRequest(http.MethodPut, api.PathConfig, key, id, expected, testDocument(n))
}

// killAll kills all processes that are still running.
func (s *simulation) killAll() {
	for ready := s.ready(); len(ready) > 0; ready = s.ready() {
		s.setWaiting(ready[0], false)
		ready[0].decisions <- kill
		synctest.Wait()
	}
}

// TestServer_ConcurrentChanges runs concurrent changes by several admin processes,
// with random interleavings of their store calls, lost requests and responses,
// refused calls and killed processes.
func TestServer_ConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		RegisterTestingT(rt)
		bubble.Run(t, func() { runRace(rt) })
	})
}

func runRace(rt *rapid.T) {
	s := newSimulation()
	defer s.killAll()
	for range rapid.IntRange(1, 120).Draw(rt, "steps") {
		ready := s.ready()
		if len(ready) == 0 || len(ready) < 4 && rapid.IntRange(0, 5).Draw(rt, "begin") == 0 {
			if len(s.attempts) < 30 {
				s.startRandomChange(rt)
			}
			time.Sleep(rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(rt, "pause"))
			synctest.Wait()
			continue
		}
		d := rapid.SampledFrom([]decision{pass, pass, pass, pass, pass, pass, unavailable, lostAnswer, lostRequest, kill}).Draw(rt, "decision")
		s.step(rapid.SampledFrom(ready).Draw(rt, "process"), d)
	}
	s.runToEnd()
	s.checkResponses()
	s.checkAudit()
}
