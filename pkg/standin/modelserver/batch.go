package modelserver

import (
	"container/heap"
	"context"
	"sync"
)

// batch assigns the slots of an engine to requests by descending priority, and
// in order of arrival within a priority.
type batch struct {
	mu      sync.Mutex
	limit   int
	running int
	seq     uint64
	queue   waiters
	// onChange is called with mu held after each change of the counts; it may be nil.
	onChange func(running, waiting int)
}

// waiter is a queued request.
type waiter struct {
	priority int
	seq      uint64
	index    int           // position in the heap, -1 after removal
	admitted chan struct{} // closed when the request gets a slot
}

// acquire waits for a slot. It reports false if ctx ended first.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.running < b.limit {
		b.running++
		b.notifyLocked()
		b.mu.Unlock()
		return true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, admitted: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.notifyLocked()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	return b.abandon(w)
}

// abandon removes a waiter from the queue. It reports true if the waiter was
// admitted meanwhile and therefore holds a slot.
func (b *batch) abandon(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&b.queue, w.index)
	b.notifyLocked()
	return false
}

// release frees a slot or passes it to the next waiter.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.Len() > 0 {
		w := heap.Pop(&b.queue).(*waiter)
		close(w.admitted)
	} else {
		b.running--
	}
	b.notifyLocked()
}

// runningCount returns the number of occupied slots.
func (b *batch) runningCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

func (b *batch) notifyLocked() {
	if b.onChange != nil {
		b.onChange(b.running, b.queue.Len())
	}
}

// waiters is a heap; the first element is the next request to be admitted.
type waiters []*waiter

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
