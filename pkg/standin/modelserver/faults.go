package modelserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// disorderEvery is the interval in tokens at which a disordered stream delays a token.
const disorderEvery = 3

// faults holds the injected faults of an engine and its open streams.
type faults struct {
	mu       sync.Mutex
	disorder bool
	streams  map[*stream]context.CancelFunc
}

// HangStreams makes the open streams hang without closing their connections and
// returns their number. New streams are not affected.
func (s *Server) HangStreams() int {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	n := 0
	for st := range s.faults.streams {
		select {
		case <-st.hung:
		default:
			close(st.hung)
			n++
		}
	}
	return n
}

// BreakStreams ends the open streams early and returns their number. New
// streams are not affected.
func (s *Server) BreakStreams() int {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	for _, cancel := range s.faults.streams {
		cancel()
	}
	return len(s.faults.streams)
}

// SetDisorder sets whether streams repeat tokens and send some out of order.
func (s *Server) SetDisorder(on bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.disorder = on
}

// track adds an open stream; the returned function removes it.
func (f *faults) track(st *stream, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[*stream]context.CancelFunc)
	}
	f.streams[st] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.streams, st)
	}
}

func (f *faults) isDisordered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disorder
}

// tokenWriter sends tokens to the caller and applies the disorder fault.
type tokenWriter struct {
	enc    *json.Encoder
	rc     *http.ResponseController
	faults *faults
	// delayed is a token to be sent after the next one.
	delayed *engine.Token
}

// send sends one token. The final token is always sent last.
func (w *tokenWriter) send(t engine.Token) error {
	if w.faults.isDisordered() && t.Finish == engine.FinishNone && w.delayed == nil && t.Index%disorderEvery == 0 {
		w.delayed = &t
		return nil
	}
	if w.delayed == nil {
		return w.write(t)
	}
	delayed := *w.delayed
	w.delayed = nil
	if t.Finish != engine.FinishNone {
		return w.write(delayed, t)
	}
	return w.write(t, delayed, t)
}

func (w *tokenWriter) write(tokens ...engine.Token) error {
	for _, t := range tokens {
		if err := w.enc.Encode(t); err != nil {
			return err
		}
	}
	return w.rc.Flush()
}
