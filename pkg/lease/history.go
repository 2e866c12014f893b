package lease

import "github.com/medlarsill/medlarsill/pkg/objectstore"

// fencesPerHistory is the number of fencing tokens that are reserved for each history of
// the store. A new history begins when the store is rolled back. The number must exceed
// the number of holders whose records one rollback may lose.
const fencesPerHistory = 1000

// nextFence returns the fencing token for the next holder. After a rollback of the store
// it skips the tokens that the lost records may have used.
func (m *Machine) nextFence() uint64 {
	last := max(m.seen.Fence, m.highestFence)
	if m.rolledBack() {
		last = max(last, fencesPerHistory*objectstore.History(m.seen.Version))
	}
	return last + 1
}

// rolledBack reports whether the store has been rolled back since its current record was
// written.
func (m *Machine) rolledBack() bool {
	return m.seen.Version != 0 && objectstore.History(m.seen.Version) != m.seen.History
}

// fenceMayBeReused reports whether the stored fencing token may already have been used in
// an earlier history of the store.
func (m *Machine) fenceMayBeReused() bool {
	return m.seen.Fence <= fencesPerHistory*objectstore.History(m.seen.Version)
}

// ObserveFence records a fencing token that a peer knows of.
func (m *Machine) ObserveFence(fence uint64) { m.highestFence = max(m.highestFence, fence) }

// HighestFence returns the largest known fencing token.
func (m *Machine) HighestFence() uint64 { return max(m.highestFence, m.seen.Fence, m.fence) }
