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
	// gapShare is the share of the allowed gap between events from which the decode time
	// of an event during a prefill counts as too long.
	gapShare = 0.8
	// longPromptShare is the share of the allowed gap between events above which the
	// prefill time of a prompt makes it a long one.
	longPromptShare = 0.5
	// mixWeight is the weight of the newest request in the moving means of workMix.
	mixWeight = 0.01
	// longPromptKey is the rendezvous key by which all instances choose the same
	// endpoints for long prompts.
	longPromptKey = "long prompts"
)

// workMix holds moving means of the engine time per request, in seconds: of all
// requests and of the part spent on long prompts. It is safe for concurrent use.
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

// add adds a request to the moving means.
func (m *workMix) add(work time.Duration, long bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all += mixWeight * (work.Seconds() - m.all)
	longWork := 0.0
	if long {
		longWork = work.Seconds()
	}
	m.long += mixWeight * (longWork - m.long)
}

// longShare returns the share of the engine time that long prompts need.
func (m *workMix) longShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all <= 0 {
		return 0
	}
	return m.long / m.all
}

// hasLongPrompt reports whether prefilling the prompt takes long enough to delay the
// events of other requests noticeably.
func (r Request) hasLongPrompt(est *speed.Estimate) bool {
	prefix := min(r.Prompt, sharedTokens(r.Parts))
	return r.MaxEventGap > 0 && est.PrefillTime(r.Prompt-prefix, prefix) > time.Duration(longPromptShare*float64(r.MaxEventGap))
}

// prefillDelaysEvents reports whether the prefill of any prompt delays the events of
// other requests on the same endpoint beyond the allowed gap.
func (r Request) prefillDelaysEvents(est *speed.Estimate) bool {
	event := time.Duration(r.EventTokens) * est.DisturbedTokenTime()
	return r.MaxEventGap > 0 && event >= time.Duration(gapShare*float64(r.MaxEventGap))
}

// preferredEndpoints returns the endpoints that are tried first for a request. It
// splits the list between long prompts and all other requests, in proportion to the
// engine time that long prompts need. It returns nil if prefills don't delay events
// beyond the allowed gap, and for moved runs, which read no prompt.
func (s *Scheduler) preferredEndpoints(list []*endpoints.Endpoint, r Request, est *speed.Estimate) []*endpoints.Endpoint {
	if len(list) < 2 || r.Moved || !r.prefillDelaysEvents(est) {
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
