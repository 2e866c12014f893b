package scaling

import (
	"context"
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// stateKey is the object that holds what holders of the duty hand on.
	stateKey = "capacity/state"
	// saveInterval is the time between two writes of the state without orders.
	saveInterval = 2 * time.Second
	// demandFor is how long the demand that the last holder saw is of use.
	demandFor = 20 * time.Second
)

// record is the stored form of what holders of the duty hand on.
type record struct {
	// SavedMS is the holder's time of day in Unix milliseconds.
	SavedMS  int64                    `json:"saved_ms"`
	Services map[string]serviceRecord `json:"services"`
	// Speeds holds what was learnt of the endpoints, by service.
	Speeds map[string]speed.Summary `json:"speeds,omitempty"`
}

// serviceRecord is what is handed on of one service.
type serviceRecord struct {
	Demand float64       `json:"demand"`
	Places []placeRecord `json:"places"`
}

// placeRecord is the last order for one place and when it was last refused, in
// Unix milliseconds; 0 if there is none.
type placeRecord struct {
	DataCentre  string `json:"data_centre"`
	Reclaimable bool   `json:"reclaimable"`
	Count       int    `json:"count"`
	OrderedMS   int64  `json:"ordered_ms,omitempty"`
	RefusedMS   int64  `json:"refused_ms,omitempty"`
}

// StoredSpeeds returns what the instances had learnt of the endpoints when a holder
// of the duty last stored its state; nil if none ever did.
func StoredSpeeds(ctx context.Context, store objectstore.Store) (map[string]speed.Summary, error) {
	var r record
	stored := lease.State{Store: store, Key: stateKey}
	if _, err := stored.Load(ctx, &r); err != nil {
		return nil, err
	}
	return r.Speeds, nil
}

// load reads what the last holder handed on.
func (p *Planner) load(ctx context.Context, now time.Time) error {
	p.services = make(map[string]*service)
	p.stored = lease.State{Store: p.Store, Key: stateKey}
	var r record
	found, err := p.stored.Load(ctx, &r)
	if errors.Is(err, lease.ErrStateUnreadable) {
		p.Log.Error("capacity state not taken over", "error", err.Error())
		return nil
	}
	if err != nil || !found {
		return err
	}
	for name, s := range r.Services {
		p.services[name] = restored(s, r.SavedMS, now)
	}
	p.Log.Info("capacity state read", "services", len(r.Services), "age_ms", now.UnixMilli()-r.SavedMS)
	return nil
}

// restored returns a service's state as a holder before knew it.
func restored(r serviceRecord, savedMS int64, now time.Time) *service {
	s := newService(false, now)
	if age := now.Sub(time.UnixMilli(savedMS)); age < demandFor {
		s.demand, s.at = r.Demand, now
	}
	for _, stored := range r.Places {
		place := Place{DataCentre: stored.DataCentre, Reclaimable: stored.Reclaimable}
		if stored.OrderedMS > 0 {
			s.ordered[place] = order{count: stored.Count, at: notAfter(stored.OrderedMS, now)}
		}
		if stored.RefusedMS > 0 {
			s.refused[place] = notAfter(stored.RefusedMS, now)
		}
	}
	return s
}

// notAfter returns a time in Unix milliseconds that another clock has shown, and
// now if that is later.
func notAfter(ms int64, now time.Time) time.Time {
	at := time.UnixMilli(ms)
	if at.After(now) {
		return now
	}
	return at
}

// save hands the state on: after each order, and every few seconds.
func (p *Planner) save(ctx context.Context, now time.Time) error {
	if !p.changed && now.Sub(p.saved) < saveInterval {
		return nil
	}
	r := record{SavedMS: now.UnixMilli(), Services: make(map[string]serviceRecord, len(p.services)), Speeds: p.Speeds.PooledSummaries()}
	for name, s := range p.services {
		r.Services[name] = s.record()
	}
	if err := p.stored.Save(ctx, r); err != nil {
		return err
	}
	p.saved, p.changed = now, false
	return nil
}

// record returns what is handed on of a service.
func (s *service) record() serviceRecord {
	r := serviceRecord{Demand: s.demand}
	places := make(map[Place]placeRecord)
	for place, o := range s.ordered {
		places[place] = placeRecord{DataCentre: place.DataCentre, Reclaimable: place.Reclaimable, Count: o.count, OrderedMS: o.at.UnixMilli()}
	}
	for place, at := range s.refused {
		known, ok := places[place]
		if !ok {
			known = placeRecord{DataCentre: place.DataCentre, Reclaimable: place.Reclaimable}
		}
		known.RefusedMS = at.UnixMilli()
		places[place] = known
	}
	for _, stored := range places {
		r.Places = append(r.Places, stored)
	}
	return r
}
