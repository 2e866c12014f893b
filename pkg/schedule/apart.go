package schedule

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/rendezvous"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// pauseShare is the share of the allowed pause beyond which reading beside makes
	// an event late.
	gapShare = 0.8
	// longShare is the share of the allowed pause from which the reading of a prompt is long.
	longPromptShare = 0.5
	// mixWeight is the weight of the newest request in the share of the work for long prompts.
	mixWeight = 0.01
	// longPrompts is the key by which all instances choose the same endpoints for them.
	longPromptKey = "long prompts"
)

// workMix follows the work that one request asks for on average, in seconds, and the
// part of it that is for long prompts. It is safe for concurrent use.
type workMix struct {
	mu        sync.Mutex
	long, all float64
}

func (s *Scheduler) workMixFor(service string) *workMix {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.workMixes[service]
	if !ok {
		m = &workMix{}
		s.workMixes[service] = m
	}
	return m
}

// take adds a request to the mix.
func (m *workMix) add(work time.Duration, long bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all += mixWeight * (work.Seconds() - m.all)
	part := 0.0
	if long {
		part = work.Seconds()
	}
	m.long += mixWeight * (part - m.long)
}

// share is the part of the work that is for long prompts.
func (m *workMix) longShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all <= 0 {
		return 0
	}
	return m.long / m.all
}

// long tells whether reading the prompt takes so long that it delays the events of
// others noticeably.
func (r Request) hasLongPrompt(est *speed.Estimate) bool {
	prefix := min(r.Prompt, sharedTokens(r.Parts))
	return r.MaxEventGap > 0 && est.PrefillTime(r.Prompt-prefix, prefix) > time.Duration(longPromptShare*float64(r.MaxEventGap))
}

// disturbing tells whether reading a prompt delays the events of others at the same
// endpoint beyond the pause that is allowed.
func (r Request) prefillDelaysEvents(est *speed.Estimate) bool {
	event := time.Duration(r.EventTokens) * est.DisturbedTokenTime()
	return r.MaxEventGap > 0 && event >= time.Duration(gapShare*float64(r.MaxEventGap))
}

// apart returns the endpoints on which a request is placed first: long prompts are
// read on some, and the others are kept for the rest. It is nil where reading beside
// doesn't delay events beyond the allowed pause.
func (s *Scheduler) preferredEndpoints(list []*endpoints.Endpoint, r Request, est *speed.Estimate) []*endpoints.Endpoint {
	if len(list) < 2 || !r.prefillDelaysEvents(est) {
		return nil
	}
	count := int(math.Round(s.workMixFor(r.Service).longShare() * float64(len(list))))
	count = min(max(count, 1), len(list)-1)
	ranked := slices.Clone(list)
	key := rendezvous.Key(longPromptKey)
	slices.SortFunc(ranked, func(a, b *endpoints.Endpoint) int {
		return cmp.Compare(rendezvous.Weight(key, a.ID), rendezvous.Weight(key, b.ID))
	})
	if r.hasLongPrompt(est) {
		return ranked[:count]
	}
	return ranked[count:]
}
