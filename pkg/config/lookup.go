package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"path"
	"slices"
	"strings"
	"time"
)

// DefaultDeadline is the request time limit for services that declare none.
const DefaultDeadline = 60 * time.Second

// HashKey returns the hash under which a workspace's key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ParseKeyHash parses a SHA-256 hash in lower-case hex.
func ParseKeyHash(text string) (sum [sha256.Size]byte, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(sum) || strings.ToLower(text) != text {
		return sum, false
	}
	copy(sum[:], data)
	return sum, true
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (d *Document) WorkspaceByKey(key string) (*Workspace, bool) {
	if d.index != nil {
		i, ok := d.index.workspaceByKey[sha256.Sum256([]byte(key))]
		return elementAt(d.Workspaces, i, ok)
	}
	hash := HashKey(key)
	i := slices.IndexFunc(d.Workspaces, func(w Workspace) bool { return slices.Contains(w.KeyHashes, hash) })
	return elementAt(d.Workspaces, i, i >= 0)
}

// WorkspaceByName returns the workspace with the given name.
func (d *Document) WorkspaceByName(name string) (*Workspace, bool) {
	if d.index != nil {
		i, ok := d.index.workspaceByName[name]
		return elementAt(d.Workspaces, i, ok)
	}
	i := slices.IndexFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
	return elementAt(d.Workspaces, i, i >= 0)
}

// ServiceByModel returns the model service that serves the given model.
func (d *Document) ServiceByModel(model string) (*Service, bool) {
	if d.index != nil {
		i, ok := d.index.serviceByModel[model]
		return elementAt(d.Services, i, ok)
	}
	i := slices.IndexFunc(d.Services, func(s Service) bool { return slices.Contains(s.Models, model) })
	return elementAt(d.Services, i, i >= 0)
}

// ServiceByName returns the service with the given name.
func (d *Document) ServiceByName(name string) (*Service, bool) {
	if d.index != nil {
		i, ok := d.index.serviceByName[name]
		return elementAt(d.Services, i, ok)
	}
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	return elementAt(d.Services, i, i >= 0)
}

// PresetByName returns the preset with the given name.
func (d *Document) PresetByName(name string) (*Preset, bool) {
	if d.index != nil {
		i, ok := d.index.presetByName[name]
		return elementAt(d.Presets, i, ok)
	}
	i := slices.IndexFunc(d.Presets, func(p Preset) bool { return p.Name == name })
	return elementAt(d.Presets, i, i >= 0)
}

// elementAt returns a pointer to list[i], or nil and false if ok is false.
func elementAt[T any](list []T, i int, ok bool) (*T, bool) {
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// AllowedDataCentres returns the data centres in which a workspace's requests may
// currently be placed: the workspace's own data centres except those closed by
// the preset in force. The slice is shared and must not be modified.
func (e *Envelope) AllowedDataCentres(w *Workspace) []string {
	if e.Document.index != nil {
		return e.Document.index.allowed[presetWorkspace{e.Preset, w.Name}]
	}
	preset, ok := e.Document.PresetByName(e.Preset)
	if !ok {
		return nil
	}
	return openDataCentres(w, preset)
}

// openDataCentres returns the workspace's data centres that a preset doesn't close.
func openDataCentres(w *Workspace, p *Preset) []string {
	var out []string
	for _, dc := range w.DataCentres {
		if !slices.Contains(p.ClosedDataCentres, dc) {
			out = append(out, dc)
		}
	}
	return out
}

// MayCall reports whether the workspace may call a service.
func (w *Workspace) MayCall(service string) bool {
	return slices.Contains(w.Services, service)
}

// Idempotent reports whether a call to the service may be retried.
func (s *Service) Idempotent(method, path string) bool {
	for _, c := range s.NonIdempotent {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return false
		}
	}
	return true
}

// ValidServicePath reports whether a path below a plain service may be called. Paths
// with empty or dot segments may not, because an endpoint could normalise them to a
// path for which Idempotent returns another result.
func ValidServicePath(servicePath string) bool {
	clean := path.Clean(servicePath)
	return servicePath == clean || servicePath == clean+"/"
}

// PriorityOf returns the priority of requests for a model of the service.
func (s *Service) PriorityOf(model string) int {
	for _, m := range s.ModelPriorities {
		if m.Model == model {
			return m.Priority
		}
	}
	return s.Priority
}

// Deadline returns the time limit of a request.
func (s *Service) Deadline() time.Duration {
	if s.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// PriceOf returns the hourly price of a class in a data centre, and whether the
// class is offered there.
func (d *Document) PriceOf(class, dataCentre string, reclaimable bool) (float64, bool) {
	if d.index != nil {
		p, ok := d.index.prices[classDataCentre{class, dataCentre}]
		return p.perHour(reclaimable), ok
	}
	for _, c := range d.Classes {
		if c.Name != class {
			continue
		}
		for _, p := range c.Prices {
			if p.DataCentre == dataCentre {
				return p.perHour(reclaimable), true
			}
		}
	}
	return 0, false
}

func (p Price) perHour(reclaimable bool) float64 {
	if reclaimable {
		return p.Reclaimable
	}
	return p.OnDemand
}

// shareTolerance keeps a rounding error of a share from excluding a whole instance.
const shareTolerance = 1e-9

// MaxReclaimable returns the number of reclaimable instances that the share allows among
// total instances.
func (c *Capacity) MaxReclaimable(total int) int {
	return int(math.Floor(c.ReclaimableShare*float64(total) + shareTolerance))
}
