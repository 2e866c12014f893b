package ledger

import "sync"

// taskGroup counts background tasks. Unlike with a sync.WaitGroup, tasks may be
// added while the count is zero and a goroutine waits.
type taskGroup struct {
	mu     sync.Mutex
	count  int
	idleCh chan struct{}
}

func (w *taskGroup) add() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
}

func (w *taskGroup) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	if w.count == 0 && w.idleCh != nil {
		close(w.idleCh)
		w.idleCh = nil
	}
}

// idle returns a channel that is closed once no task is left.
func (w *taskGroup) idle() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if w.idleCh == nil {
		w.idleCh = make(chan struct{})
	}
	return w.idleCh
}
