// Package relay puts the tokens of an answer in order: it drops duplicates and
// tokens of earlier attempts, buffers tokens received out of order, and detects
// whether the answer is complete.
package relay

import (
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// MaxBuffered is the largest number of tokens that an assembler buffers behind a gap.
const MaxBuffered = 256

// Errors of this package.
var (
	// ErrGap means that a missing token did not arrive and the answer has to be
	// continued by another attempt.
	ErrGap = eris.New("relay: gap in the stream")
)

// Assembler orders the tokens of one answer over any number of attempts. The
// zero value is ready for the first attempt. It is not safe for concurrent use.
type Assembler struct {
	attempt  string
	next     int
	buffered map[int]engine.Token
	done     bool
	// Dropped counts the tokens that were dropped: duplicates, tokens of earlier
	// attempts and tokens after the end.
	Dropped int
}

// Start sets the current attempt; tokens of all others are dropped from now on.
func (a *Assembler) Start(attempt string) {
	a.attempt = attempt
	a.buffered = nil
}

// Resume sets the index of the next token of an answer whose earlier tokens are known.
func (a *Assembler) Resume(next int) {
	a.next = next
}

// Next returns the index of the first token not yet delivered.
func (a *Assembler) Next() int { return a.next }

// Done reports whether the final token has been delivered.
func (a *Assembler) Done() bool { return a.done }

// Accept takes one token of an attempt and returns the tokens that can now be
// delivered in order. It returns ErrGap if too many tokens are buffered behind a
// missing one.
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
