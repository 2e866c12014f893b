package admit

import (
	"slices"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
)

// Capacity is the number of requests that a service's endpoints can run at once, by
// data centre.
type Capacity map[string]int

// Total returns the capacity of all data centres.
func (c Capacity) Total() int {
	n := 0
	for _, slots := range c {
		n += slots
	}
	return n
}

// In returns the capacity of the given data centres.
func (c Capacity) In(dataCentres []string) int {
	n := 0
	for _, dc := range dataCentres {
		n += c[dc]
	}
	return n
}

// CapacityOf returns the capacity of a service: the batch limit for each endpoint that is
// not leaving and whose data centre isn't closed by the active preset.
func CapacityOf(s *fleet.Snapshot, env *config.Envelope, service *config.Service) Capacity {
	var closed []string
	if preset, ok := env.Document.PresetByName(env.Preset); ok {
		closed = preset.ClosedDataCentres
	}
	c := make(Capacity)
	for _, e := range s.Service(service.Name) {
		if !e.Leaving && !slices.Contains(closed, e.DataCentre) {
			c[e.DataCentre] += max(1, service.BatchLimit)
		}
	}
	return c
}
