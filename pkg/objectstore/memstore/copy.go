package memstore

import (
	"maps"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Snapshot is the state of a store at one point in time.
type Snapshot struct {
	objects map[string]objectstore.Object
	version uint64
}

// Snapshot returns the current state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: maps.Clone(s.objects), version: s.version}
}

// RollBack replaces the state by an older snapshot: the writes since then are lost, and
// a new history begins. Waiting watches with a position other than 0 return
// with Reset set.
func (s *Store) RollBack(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history++
	s.version = objectstore.Version(s.history, objectstore.Revision(snapshot.version))
	s.objects = make(map[string]objectstore.Object, len(snapshot.objects))
	for key, o := range snapshot.objects {
		o.Version = objectstore.Version(s.history, objectstore.Revision(o.Version))
		s.objects[key] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
