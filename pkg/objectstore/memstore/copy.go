package memstore

import (
	"maps"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Copy is the state of a store at one moment.
type Snapshot struct {
	objects map[string]objectstore.Object
	version uint64
}

// Copy returns the present state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: maps.Clone(s.objects), version: s.version}
}

// GoBack replaces the state by an older copy: the writes since are lost, and a new
// history begins. Waiting watches see the change.
func (s *Store) RollBack(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history++
	s.version = objectstore.Version(s.history, objectstore.Revision(c.version))
	s.objects = make(map[string]objectstore.Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = objectstore.Version(s.history, objectstore.Revision(o.Version))
		s.objects[key] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
