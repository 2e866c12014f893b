package rollout

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Record is the holder's progress with the orders of one service. It is stored, so that the next
// holder goes on with it. Times are in Unix milliseconds of the true time.
type Record struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	DurationMS int64  `json:"duration_ms"`
	Created    int64  `json:"created,omitempty"`
	// Version is the version of the order's object when the record began.
	Version uint64 `json:"version"`
	Stage   Stage  `json:"stage"`
	// Raised is true once the share was raised.
	Raised bool   `json:"raised,omitempty"`
	Reason string `json:"reason,omitempty"`
	// SeenMS is when the order was first seen, ObservedMS when the new version first answered, MovedMS
	// when all requests were given to it, and RevertedMS when it was found to be bad; 0 if that
	// didn't happen.
	SeenMS     int64 `json:"seen_ms"`
	RevertedMS int64 `json:"reverted_ms,omitempty"`
	ObservedMS int64 `json:"observed_ms,omitempty"`
	MovedMS    int64 `json:"moved_ms,omitempty"`
	// Baseline and Dropped are those of Directive.
	Baseline []string `json:"baseline,omitempty"`
	Dropped  []string `json:"dropped,omitempty"`
}

// order returns the identity of the record's order; 0 if it has none.
func (r *Record) order() ID {
	if r.Service == "" {
		return 0
	}
	return identity(r.Service, r.To, time.Duration(r.DurationMS)*time.Millisecond, r.Created)
}

// recordOf returns the record that a directive tells of.
func recordOf(d Directive, now time.Time) Record {
	r := Record{
		Service: d.Service, To: d.To, DurationMS: d.DurationMS, Created: d.Created, Version: d.Version,
		Stage: d.Stage, SeenMS: d.SeenMS, Baseline: d.Baseline, Dropped: d.Dropped,
	}
	if d.Stage == Moving {
		r.MovedMS = now.UnixMilli()
	}
	return r
}

// Load returns the progress that a holder stored last, by service.
func Load(ctx context.Context, store objectstore.Store) (map[string]Record, error) {
	records := make(map[string]Record)
	state := lease.State{Store: store, Key: stateKey}
	_, err := state.Load(ctx, &records)
	return records, err
}

// Adopt takes stored progress in, at the start of a process: it tells which versions were in force and
// which were dropped, until a directive comes. It gives no version a share.
func (r *Registry) Adopt(records map[string]Record) {
	for name, record := range records {
		d := record.directive(0)
		if d.Service != name || !d.valid() {
			r.Log.Warn("rollout progress ignored", "service", name, "reason", "invalid")
			continue
		}
		r.follow(d, time.Time{})
	}
	r.Refresh()
}

// directive returns what the holder tells of the record.
func (r *Record) directive(share float64) Directive {
	return Directive{
		Service: r.Service, To: r.To, DurationMS: r.DurationMS, Created: r.Created, Version: r.Version,
		Stage: r.Stage, Share: share, SeenMS: r.SeenMS, Baseline: r.Baseline, Dropped: r.Dropped,
	}
}
