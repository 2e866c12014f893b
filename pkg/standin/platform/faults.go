package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// faults holds the injected faults of the cloud, guarded by Cloud.mu.
type faults struct {
	// refusedStarts holds the scopes in which starts are refused.
	refusedStarts map[startScope]bool
	// frozenList is returned by List while the list is frozen, otherwise nil.
	frozenList []cloud.Instance
	// noticesWithheld is set while Notices returns none.
	noticesWithheld bool
}

// startScope selects starts by data centre and machine class; an empty class
// means all classes.
type startScope struct {
	dataCentre, class string
}

func newFaults() faults { return faults{refusedStarts: make(map[startScope]bool)} }

func (f *faults) refusesStart(r cloud.StartRequest) bool {
	return f.refusedStarts[startScope{dataCentre: r.DataCentre}] || f.refusedStarts[startScope{dataCentre: r.DataCentre, class: r.Class}]
}

// Reclaim issues a reclaim notice for an instance and ends it after the grace
// period. It reports false if there is no such instance or it is already leaving.
func (c *Cloud) Reclaim(id string, grace time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.instances[id]
	if !ok || in.info.State == cloud.StateLeaving {
		return false
	}
	in.info.State = cloud.StateLeaving
	in.info.StopAt = time.Now().Add(grace)
	in.endpoint.SetLeaving()
	c.notices = append(c.notices, cloud.Notice{Seq: uint64(len(c.notices) + 1), Instance: id, GraceMS: grace.Milliseconds()})
	c.recordLocked()
	time.AfterFunc(grace, func() { c.Kill(id) })
	return true
}

// ReclaimDataCentre reclaims all reclaimable instances of a data centre and
// returns their number.
func (c *Cloud) ReclaimDataCentre(dataCentre string, grace time.Duration) int {
	n := 0
	for _, in := range c.Instances() {
		if in.DataCentre == dataCentre && in.Reclaimable && c.Reclaim(in.ID, grace) {
			n++
		}
	}
	return n
}

// ReclaimWave schedules ReclaimDataCentre for several data centres, each gap
// after the previous one, and returns immediately.
func (c *Cloud) ReclaimWave(dataCentres []string, grace, gap time.Duration) {
	for i, dc := range dataCentres {
		time.AfterFunc(time.Duration(i)*gap, func() { c.ReclaimDataCentre(dc, grace) })
	}
}

// RefuseStarts sets whether starts of a machine class in a data centre are
// refused. An empty class means all classes.
func (c *Cloud) RefuseStarts(dataCentre, class string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.refusedStarts[startScope{dataCentre: dataCentre, class: class}] = on
}

// FreezeList sets whether List keeps returning its present result.
func (c *Cloud) FreezeList(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.frozenList = nil
	if on {
		c.faults.frozenList = append([]cloud.Instance{}, c.laggedListLocked()...)
	}
}

// WithholdNotices sets whether Notices withholds all reclaim notices.
func (c *Cloud) WithholdNotices(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.noticesWithheld = on
	close(c.changed)
	c.changed = make(chan struct{})
}

// StoreMode is the fault mode of the object store.
type StoreMode string

// The fault modes of the object store.
const (
	// StoreUp serves every call normally.
	StoreUp StoreMode = "up"
	// StoreDown fails calls as unavailable.
	StoreDown StoreMode = "down"
	// StoreSlow delays calls.
	StoreSlow StoreMode = "slow"
	// StoreLostAnswer applies writes but drops their responses.
	StoreLostAnswer StoreMode = "lost_answer"
	// StoreLostRequest drops writes before they take effect.
	StoreLostRequest StoreMode = "lost_request"
)

// StoreFaults injects faults into the object store.
type StoreFaults struct {
	mu       sync.Mutex
	rng      *rand.Rand
	mode     StoreMode
	delay    time.Duration
	fraction float64
}

// NewStoreFaults installs a hook in a store that injects faults. The seed
// determines which calls are affected.
func NewStoreFaults(s *memstore.Store, seed uint64) *StoreFaults {
	f := &StoreFaults{rng: rand.New(rand.NewPCG(seed, seed)), mode: StoreUp}
	s.SetHook(f.hook)
	return f
}

// Set sets the fault, the delay for StoreSlow, and the fraction of the calls
// that are affected, 0 to 1.
func (f *StoreFaults) Set(mode StoreMode, delay time.Duration, fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode, f.delay, f.fraction = mode, delay, fraction
}

// hook implements memstore.Hook.
func (f *StoreFaults) hook(op memstore.Op, key string) memstore.Fault {
	f.mu.Lock()
	mode, delay, affected := f.mode, f.delay, f.rng.Float64() < f.fraction
	f.mu.Unlock()
	if !affected {
		return memstore.FaultNone
	}
	switch mode {
	case StoreDown:
		return memstore.FaultUnavailable
	case StoreSlow:
		time.Sleep(delay)
	case StoreLostAnswer:
		return memstore.FaultLostAnswer
	case StoreLostRequest:
		return memstore.FaultLostRequest
	}
	return memstore.FaultNone
}
