package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
)

// Fault is the body of a request under /faults. Each path uses some of the fields.
type Fault struct {
	// Instance is the id of the affected instance; some faults affect all
	// instances if it is empty.
	Instance    string   `json:"instance,omitempty"`
	DataCentre  string   `json:"data_centre,omitempty"`
	DataCentres []string `json:"data_centres,omitempty"`
	Class       string   `json:"machine_class,omitempty"`
	// GraceMS is the time between the reclaim notice and the end of an instance.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// GapMS is the time between the data centres of a reclaim wave.
	GapMS int64 `json:"gap_ms,omitempty"`
	// On switches a persistent fault on or off.
	On bool `json:"on,omitempty"`
	// Mode, DelayMS and Fraction (of the calls, 0 to 1) set the fault of the object store.
	Mode     StoreMode `json:"mode,omitempty"`
	DelayMS  int64     `json:"delay_ms,omitempty"`
	Fraction float64   `json:"part,omitempty"`
}

// FaultResult is the number of instances and streams that a fault affected.
type FaultResult struct {
	Instances int `json:"instances"`
	Streams   int `json:"streams,omitempty"`
}

// streamHanger, streamBreaker and streamDisorderer are implemented by
// endpoints that support the stream faults.
type (
	streamHanger     interface{ HangStreams() int }
	streamBreaker    interface{ BreakStreams() int }
	streamDisorderer interface{ SetDisorder(on bool) }
)

// RegisterFaults registers the routes that inject faults into the cloud, its
// endpoints and the object store.
func RegisterFaults(e *echo.Echo, c *Cloud, store *StoreFaults) {
	f := injector{cloud: c, store: store}
	for path, inject := range map[string]func(Fault) FaultResult{
		"reclaim":  f.reclaimInstances,
		"wave":     f.reclaimWave,
		"refuse":   f.refuseStarts,
		"kill":     f.killInstance,
		"silent":   f.hangStreams,
		"break":    f.breakStreams,
		"disorder": f.disorderTokens,
		"list":     f.freezeList,
		"notices":  f.withholdNotices,
		"store":    f.setStoreFault,
	} {
		e.POST("/faults/"+path, func(c *echo.Context) error {
			var body Fault
			if err := c.Bind(&body); err != nil {
				return c.NoContent(http.StatusBadRequest)
			}
			return c.JSON(http.StatusOK, inject(body))
		})
	}
}

// injector implements the requests under /faults.
type injector struct {
	cloud *Cloud
	store *StoreFaults
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (i injector) reclaimInstances(f Fault) FaultResult {
	grace := milliseconds(f.GraceMS)
	if f.DataCentre != "" {
		return FaultResult{Instances: i.cloud.ReclaimDataCentre(f.DataCentre, grace)}
	}
	if i.cloud.Reclaim(f.Instance, grace) {
		return FaultResult{Instances: 1}
	}
	return FaultResult{}
}

func (i injector) reclaimWave(f Fault) FaultResult {
	i.cloud.ReclaimWave(f.DataCentres, milliseconds(f.GraceMS), milliseconds(f.GapMS))
	return FaultResult{}
}

func (i injector) refuseStarts(f Fault) FaultResult {
	i.cloud.RefuseStarts(f.DataCentre, f.Class, f.On)
	return FaultResult{}
}

func (i injector) killInstance(f Fault) FaultResult {
	if i.cloud.Kill(f.Instance) {
		return FaultResult{Instances: 1}
	}
	return FaultResult{}
}

// forEachEndpoint calls inject for the endpoint of the instance with the given
// id, or for all endpoints if id is empty.
func (i injector) forEachEndpoint(id string, inject func(Endpoint) int) FaultResult {
	var out FaultResult
	for _, in := range i.cloud.Instances() {
		if id != "" && id != in.ID {
			continue
		}
		if ep, ok := i.cloud.Endpoint(in.ID); ok {
			out.Instances++
			out.Streams += inject(ep)
		}
	}
	return out
}

func (i injector) hangStreams(f Fault) FaultResult {
	return i.forEachEndpoint(f.Instance, func(ep Endpoint) int {
		if h, ok := ep.(streamHanger); ok {
			return h.HangStreams()
		}
		return 0
	})
}

func (i injector) breakStreams(f Fault) FaultResult {
	return i.forEachEndpoint(f.Instance, func(ep Endpoint) int {
		if b, ok := ep.(streamBreaker); ok {
			return b.BreakStreams()
		}
		return 0
	})
}

func (i injector) disorderTokens(f Fault) FaultResult {
	return i.forEachEndpoint(f.Instance, func(ep Endpoint) int {
		if d, ok := ep.(streamDisorderer); ok {
			d.SetDisorder(f.On)
		}
		return 0
	})
}

func (i injector) freezeList(f Fault) FaultResult {
	i.cloud.FreezeList(f.On)
	return FaultResult{}
}

func (i injector) withholdNotices(f Fault) FaultResult {
	i.cloud.WithholdNotices(f.On)
	return FaultResult{}
}

func (i injector) setStoreFault(f Fault) FaultResult {
	fraction := f.Fraction
	if fraction == 0 {
		fraction = 1
	}
	i.store.Set(f.Mode, milliseconds(f.DelayMS), fraction)
	return FaultResult{}
}
