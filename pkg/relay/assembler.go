// Package relay puts the pieces of an answer in order: it drops repeats and
// pieces of earlier attempts, holds back pieces that came early, and tells a
// whole answer from a truncated one.
package relay

import (
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// MaxEarly is the number of pieces that an assembler holds back for one gap.
const MaxBuffered = 256

// Errors of this package.
var (
	// ErrGap means that the attempt can't fill a gap and has to be resumed elsewhere.
	ErrGap = eris.New("relay: gap in the stream")
)

// Assembler orders the pieces of one answer over any number of attempts. The
// zero value is ready for an answer's first attempt. It is not safe for
// concurrent use.
type Assembler struct {
	attempt  string
	next     int
	buffered map[int]engine.Token
	done     bool
	// Dropped counts pieces that were repeats or came from an earlier attempt.
	Dropped int
}

// Start makes an attempt the current one; pieces of all others are dropped from now on.
func (a *Assembler) Start(attempt string) {
	a.attempt = attempt
	a.buffered = nil
}

// Resume sets the position of an answer whose first pieces are known.
func (a *Assembler) Resume(next int) {
	a.next = next
}

// Next returns the index of the first piece not yet delivered.
func (a *Assembler) Next() int { return a.next }

// Done tells whether the final piece has been delivered.
func (a *Assembler) Done() bool { return a.done }

// Accept takes one piece and returns those that are now in order. It returns
// ErrGap if too many pieces wait for one that is missing.
func (a *Assembler) Accept(attempt string, t engine.Token) ([]engine.Token, error) {
	if attempt != a.attempt || a.done || t.Index < a.next {
		a.Dropped++
		return nil, nil
	}
	if t.Index > a.next {
		return nil, a.buffer(t)
	}
	out := []engine.Token{t}
	a.advance(t)
	for !a.done {
		buffered, ok := a.buffered[a.next]
		if !ok {
			break
		}
		delete(a.buffered, a.next)
		out = append(out, buffered)
		a.advance(buffered)
	}
	return out, nil
}

func (a *Assembler) buffer(t engine.Token) error {
	if len(a.buffered) >= MaxBuffered {
		return ErrGap
	}
	if a.buffered == nil {
		a.buffered = make(map[int]engine.Token)
	}
	a.buffered[t.Index] = t
	return nil
}

func (a *Assembler) advance(t engine.Token) {
	a.next = t.Index + 1
	a.done = t.Finish != engine.FinishNone
}
