package overload

import (
	"maps"
	"math"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// addService records that an endpoint of a service is sensitive.
func (g *Guard) addService(service string, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if least, ok := (*g.services.Load())[service]; ok && least <= perSecond {
		return
	}
	services := maps.Clone(*g.services.Load())
	services[service] = perSecond
	g.services.Store(&services)
}

// removeService records that the newest answer of a service says that it isn't sensitive.
func (g *Guard) removeService(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := (*g.services.Load())[service]; !ok {
		return
	}
	services := maps.Clone(*g.services.Load())
	delete(services, service)
	g.services.Store(&services)
}

// serviceState is what the endpoints of one service say.
type serviceState struct {
	// newest is the time of the newest answer that is known, and sensitive what it says.
	newest    time.Time
	sensitive bool
	// perSecond is the least number of refusals a second that a sensitive endpoint withstands.
	perSecond float64
}

func (v *serviceState) add(s *state) {
	if s.inherited {
		return
	}
	if s.sensitive() {
		v.perSecond = min(v.perSecond, s.share.perSecond)
	}
	if s.newestEvent().After(v.newest) {
		v.newest, v.sensitive = s.newestEvent(), s.sensitive()
	}
}

// updateServices determines which services are sensitive: those of which the newest answer that
// is known says so. The caller holds mu.
func (g *Guard) updateServices() {
	all := make(map[string]*serviceState)
	g.each(func(_ endpoints.Key, s *state) {
		v, ok := all[s.service]
		if !ok {
			v = &serviceState{perSecond: math.Inf(1)}
			all[s.service] = v
		}
		v.add(s)
	})
	services := make(map[string]float64)
	for name, v := range all {
		if v.sensitive {
			services[name] = v.perSecond
		}
	}
	g.services.Store(&services)
}

// serviceShare returns this instance's part of a service, which counts as having one until Tick
// knows. The caller holds mu.
func (g *Guard) serviceShare(name string) *serviceShare {
	v, ok := g.shares[name]
	if !ok {
		v = &serviceShare{}
		v.hasPart.Store(true)
		g.shares[name] = v
	}
	return v
}

// updateShares records of which services this instance has a part, and drops those of which
// nothing is known any more. The caller holds mu.
func (g *Guard) updateShares(hasPart map[string]bool) {
	for name, v := range g.shares {
		has, known := hasPart[name]
		if !known {
			delete(g.shares, name)
			continue
		}
		v.hasPart.Store(has)
	}
}
