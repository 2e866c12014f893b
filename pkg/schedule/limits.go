package schedule

import (
	"errors"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// unlimited is the default of Scheduler.Limits: no endpoint announces a limit.
type unlimited struct{}

// Available implements Limits.
func (unlimited) Available(endpoints.Key) bool { return true }

// Take implements Limits.
func (unlimited) Take(endpoints.Key) bool { return true }

// Wait implements Limits.
func (unlimited) Wait(endpoints.Key) time.Duration { return 0 }

// unshared is the default of Scheduler.Shares: no endpoint is sensitive to overload.
type unshared struct{}

// HasRoom implements Shares.
func (unshared) HasRoom(*endpoints.Endpoint) bool { return true }

// Placed implements Shares.
func (unshared) Placed(*endpoints.Endpoint) {}

// AllOf is the combination of several Limits: each of them must permit a request.
type AllOf []Limits

// Available implements Limits.
func (a AllOf) Available(k endpoints.Key) bool {
	return !slices.ContainsFunc(a, func(l Limits) bool { return !l.Available(k) })
}

// Take implements Limits. It takes from none unless all are available.
func (a AllOf) Take(k endpoints.Key) bool {
	if !a.Available(k) {
		return false
	}
	for _, l := range a {
		if !l.Take(k) {
			return false
		}
	}
	return true
}

// Wait implements Limits.
func (a AllOf) Wait(k endpoints.Key) time.Duration {
	wait := time.Duration(0)
	for _, l := range a {
		wait = max(wait, l.Wait(k))
	}
	return wait
}

// limitsUsedUp returns an error if the limits of all endpoints on which a request may be
// placed are used up, so that waiting for a free slot is in vain. It returns nil otherwise.
func (s *Scheduler) limitsUsedUp(r Request) error {
	wait, found := time.Duration(0), false
	for _, e := range s.Endpoints.Service(r.Service) {
		if !r.accepts(e) {
			continue
		}
		if s.Limits.Available(e.Key()) {
			return nil
		}
		if w := s.Limits.Wait(e.Key()); !found || w < wait {
			wait, found = w, true
		}
	}
	if !found {
		return nil
	}
	return &BusyError{RetryAfter: wait, Limited: true}
}

// isLimited reports whether an error says that the endpoints' limits are used up.
func isLimited(err error) bool {
	var busy *BusyError
	return errors.As(err, &busy) && busy.Limited
}
