package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

const (
	// noticeSlack covers the time in which this program notes an arrival or an answer.
	noticeSlack = 15 * time.Millisecond
	// minTakenUp is the number of streams that are taken up from which their share counts.
	minTakenUp = 12
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
)

// arrival is a request that an endpoint got from a gateway.
type arrival struct {
	id      string
	e       *drawnEndpoint
	gateway int
	at      time.Time
}

// span is a span of time; to is zero while it lasts.
type span struct{ from, to time.Time }

// overlaps reports whether a list has a span that overlaps another one.
func overlaps(list []span, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// disturb records that a gateway's processes are disturbed until the returned function is called.
func (s *drawnSoak) disturb(gw *soakGateway) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.disturbed[gw.index])
	s.disturbed[gw.index] = append(s.disturbed[gw.index], span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbed[gw.index][n].to = time.Now()
	}
}

// storeDisturbed records that the store is disturbed while something is done.
func (s *drawnSoak) storeDisturbed(do func()) {
	s.mu.Lock()
	n := len(s.storeSpans)
	s.storeSpans = append(s.storeSpans, span{from: time.Now()})
	s.mu.Unlock()
	do()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeSpans[n].to = time.Now()
}

// storeDisturbedBetween reports whether the store was disturbed in a span of time.
func (s *drawnSoak) storeDisturbedBetween(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return overlaps(s.storeSpans, from, to)
}

// inTouch reports whether a gateway is in touch at a time. The caller must hold mu.
func (s *drawnSoak) inTouch(gateway int, at time.Time) bool {
	return !overlaps(s.disturbed[gateway], at.Add(-contactTime), at) && !overlaps(s.storeSpans, at.Add(-contactTime), at)
}

// forget forgets what a gateway has passed on: its process has ended.
func (s *drawnSoak) forget(gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passedOn[gateway] = make(map[string]time.Time)
}

// arrived records a request that an endpoint takes, and judges DRAIN.
func (s *drawnSoak) arrived(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[a.id]++
	if removed := a.e.removedAt.Load(); removed != nil && a.at.Sub(*removed) > drainTime+noticeSlack && s.inTouch(a.gateway, a.at) {
		s.violation("DRAIN", "%s reaches %s from gw-%d %d ms after the store had accepted that it leaves", a.id, a.e.id, a.gateway, a.at.Sub(*removed).Milliseconds())
	}
	passed, sent := s.passedOn[a.gateway][a.e.id], s.sent[a.id]
	if !passed.IsZero() && sent.gateway == a.gateway && sent.at.Sub(passed) > drainTime+noticeSlack {
		s.violation("DRAIN", "%s reaches %s from gw-%d, sent %d ms after it had passed its notice on", a.id, a.e.id, a.gateway, sent.at.Sub(passed).Milliseconds())
	}
}

// violation records a broken rule. The caller must hold mu.
func (s *drawnSoak) violation(rule, format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%s: %s", rule, fmt.Sprintf(format, args...)))
}

// judge returns the rules that were broken, with what was seen.
func (s *drawnSoak) judge() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judgeAnswers()
	s.judgeStreams()
	s.judgeUsage()
	for _, gw := range s.gateways {
		if gw.crash != "" {
			s.violation("Fault", "%s", gw.crash)
		}
	}
	return s.violations
}

// judgeAnswers applies TWICE, REFUSED and MIXED. The caller must hold mu.
func (s *drawnSoak) judgeAnswers() {
	for _, a := range s.answers {
		runs := s.runs[a.id]
		once := a.kind == platformtest.OncePath
		switch {
		case once && runs > 1:
			s.violation("TWICE", "%d runs of %v", runs, a)
		case once && runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
			s.violation("REFUSED", "it has run: %v", a)
		case a.kind != platformtest.StreamPath && a.status == http.StatusOK && a.err == nil && !a.whole:
			s.violation("MIXED", "%v", a)
		}
	}
}

// judgeStreams applies ORDER and LOST to streams. The caller must hold mu.
func (s *drawnSoak) judgeStreams() {
	t := &s.tally
	for _, wrong := range t.wrong {
		s.violation("ORDER", "%s", wrong)
	}
	if t.mixed > maxMixed {
		s.violation("ORDER", "%d streams hold events of two versions", t.mixed)
	}
	if t.takenUp >= minTakenUp && 2*float64(t.wentOn)/float64(t.takenUp) < float64(t.begun)/float64(max(1, t.asked)) {
		s.violation("LOST", "%d of %d streams that were taken up went on, %d of %d new ones began", t.wentOn, t.takenUp, t.begun, t.asked)
	}
}

// judgeUsage applies ONE to the reports of usage. The caller must hold mu.
func (s *drawnSoak) judgeUsage() {
	reported := make(map[int64]map[string]int)
	holders := make(map[uint64]string)
	for _, r := range s.cloud.Reports() {
		if first, ok := reported[r.Window]; ok && !maps.Equal(first, r.Counts) {
			s.violation("ONE", "window %d was reported with %v and %v", r.Window, first, r.Counts)
		}
		reported[r.Window] = r.Counts
		if holder, ok := holders[r.Fence]; ok && holder != r.Holder {
			s.violation("ONE", "token %d of %s and %s", r.Fence, holder, r.Holder)
		}
		holders[r.Fence] = r.Holder
	}
}
