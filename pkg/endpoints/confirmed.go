package endpoints

import "time"

// StoreAway records that the store may not have answered until a time. A process that started meanwhile
// may serve before it is registered, under an id that the store still holds for the process before it.
// So for reregisterGrace after that time no registration tells which process answers.
func (t *Table) StoreAway(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settledFrom = until.Add(reregisterGrace)
}

// settledAt reports whether all processes that served at a time were registered, as far as outages of
// the store are concerned.
func (t *Table) settledAt(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !at.Before(t.settledFrom)
}

// untilSettled returns the time until registrations tell again which processes answer; 0 or less if
// they do.
func (t *Table) untilSettled(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settledFrom.Sub(now)
}

// RecordRegistered records that the store held the registrations in the table at a time, but for
// those that are missing and kept for now. It does nothing for a time soon after an outage of the
// store.
func (t *Table) RecordRegistered(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.settledFrom) {
		return
	}
	for id, e := range t.all {
		if _, missing := t.expiry[id]; !missing {
			e.recordRegistered(at)
		}
	}
}
