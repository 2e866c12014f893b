package scaling

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

const (
	// stateKey is the key of the object that holds the planner's state.
	stateKey = "capacity/state"
	// stateFormat names the format of the planner's state. Package controller has another
	// format under the same key, for another deployment.
	stateFormat = "scaling/planner"
	// saveInterval is the time between two writes of the state if no order was sent.
	saveInterval = 2 * time.Second
	// demandMaxAge is the age at which a stored demand is no longer used.
	demandMaxAge = 20 * time.Second
)

// ErrStateFormat means that the stored state has another format than the planner's. It is
// neither used nor replaced.
var ErrStateFormat = eris.New("scaling: the stored capacity state isn't a planner's")

// stateRecord is the stored state, which each holder of the duty passes to the next.
type stateRecord struct {
	// Format is stateFormat, or "" in states that older builds stored.
	Format string `json:"format"`
	// SavedMS is when the state was saved, in Unix milliseconds on the holder's clock.
	SavedMS  int64                    `json:"saved_ms"`
	Services map[string]serviceRecord `json:"services"`
	// Speeds holds the measured speeds of the endpoints, by service.
	Speeds map[string]speed.Summary `json:"speeds,omitempty"`
}

// serviceRecord is the stored state of one service.
type serviceRecord struct {
	Demand float64      `json:"demand"`
	Pools  []poolRecord `json:"places"`
}

// poolRecord holds the last order for one pool and the last refusal. Their times are
// in Unix milliseconds, 0 if there was none.
type poolRecord struct {
	DataCentre  string `json:"data_centre"`
	Reclaimable bool   `json:"reclaimable"`
	Count       int    `json:"count"`
	OrderedMS   int64  `json:"ordered_ms,omitempty"`
	RefusedMS   int64  `json:"refused_ms,omitempty"`
}

// StoredSpeeds returns the endpoint speeds of the last stored state, or nil if no
// state was stored.
func StoredSpeeds(ctx context.Context, store objectstore.Store) (map[string]speed.Summary, error) {
	r, _, err := load(ctx, &lease.State{Store: store, Key: stateKey})
	return r.Speeds, err
}

// load reads a state. It returns false if none was stored yet.
func load(ctx context.Context, stored *lease.State) (r stateRecord, found bool, err error) {
	found, err = stored.Load(ctx, &r)
	if err == nil && found {
		err = r.checkFormat()
	}
	if err != nil {
		return stateRecord{}, false, err
	}
	return r, found, nil
}

// checkFormat returns an error if the record has another format. Older builds stored no
// name of it, but always a time.
func (r *stateRecord) checkFormat() error {
	if r.Format == stateFormat || r.Format == "" && r.SavedMS != 0 {
		return nil
	}
	return eris.Wrapf(ErrStateFormat, "format %q", r.Format)
}

// loadState reads the state stored by the last holder. An unreadable state is ignored.
func (p *Planner) loadState(ctx context.Context, now time.Time) error {
	p.stored = lease.State{Store: p.Store, Key: stateKey}
	r, found, err := load(ctx, &p.stored)
	unreadable := errors.Is(err, lease.ErrStateUnreadable)
	if err != nil && !unreadable {
		return err
	}
	before := p.services
	p.services = make(map[string]*service)
	if unreadable {
		p.Log.Error("failed to decode capacity state; starting without it", "error", err.Error())
		return nil
	}
	if !found {
		return nil
	}
	for name, s := range r.Services {
		p.services[name] = restoreService(s, r.SavedMS, now)
		if known, ok := before[name]; ok {
			// What this process has measured itself isn't stored.
			p.services[name].shortages = known.shortages.paused()
		}
	}
	p.Log.Info("capacity state loaded", "services", len(r.Services), "age_ms", now.UnixMilli()-r.SavedMS)
	return nil
}

// restoreService returns the state of a service from its stored form.
func restoreService(r serviceRecord, savedMS int64, now time.Time) *service {
	s := newService(false, now)
	if age := now.Sub(time.UnixMilli(savedMS)); age < demandMaxAge {
		s.demand, s.demandAt = r.Demand, now
	}
	for _, stored := range r.Pools {
		pool := Pool{DataCentre: stored.DataCentre, Reclaimable: stored.Reclaimable}
		if stored.OrderedMS > 0 {
			s.ordered[pool] = order{count: stored.Count, at: notAfter(stored.OrderedMS, now)}
		}
		if stored.RefusedMS > 0 {
			s.refused[pool] = notAfter(stored.RefusedMS, now)
		}
	}
	return s
}

// notAfter converts Unix milliseconds from another machine's clock to a time, at
// most now.
func notAfter(ms int64, now time.Time) time.Time {
	at := time.UnixMilli(ms)
	if at.After(now) {
		return now
	}
	return at
}

// saveState stores the state after each order and at least every saveInterval.
func (p *Planner) saveState(ctx context.Context, now time.Time) error {
	if !p.changed && now.Sub(p.savedAt) < saveInterval {
		return nil
	}
	r := stateRecord{Format: stateFormat, SavedMS: now.UnixMilli(), Services: make(map[string]serviceRecord, len(p.services)), Speeds: p.Speeds.PooledSummaries()}
	for name, s := range p.services {
		r.Services[name] = s.record()
	}
	if err := p.stored.Save(ctx, r); err != nil {
		return err
	}
	p.savedAt, p.changed = now, false
	return nil
}

// record returns the stored form of a service's state.
func (s *service) record() serviceRecord {
	r := serviceRecord{Demand: s.demand}
	pools := make(map[Pool]poolRecord)
	for pool, o := range s.ordered {
		pools[pool] = poolRecord{DataCentre: pool.DataCentre, Reclaimable: pool.Reclaimable, Count: o.count, OrderedMS: o.at.UnixMilli()}
	}
	for pool, at := range s.refused {
		known, ok := pools[pool]
		if !ok {
			known = poolRecord{DataCentre: pool.DataCentre, Reclaimable: pool.Reclaimable}
		}
		known.RefusedMS = at.UnixMilli()
		pools[pool] = known
	}
	for _, stored := range pools {
		r.Pools = append(r.Pools, stored)
	}
	return r
}
