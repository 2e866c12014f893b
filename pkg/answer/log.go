// Package answer holds the tokens of one answer from the request's acceptance
// until the end of its retention. The work that produces the answer doesn't
// depend on its readers: any number of them may connect, disconnect and
// reconnect.
package answer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// ErrEnded means that the answer had already ended.
var ErrEnded = eris.New("answer: already ended")

// Log holds the tokens of one answer in order. Readers see only released
// tokens; a token is released once another process holds a copy of it. The zero
// value is not usable; call NewLog.
type Log struct {
	mu             sync.Mutex
	tokens         []engine.Token
	released       int
	holdUnreleased bool
	frozen         bool
	// releasable is the number of tokens that are visible after Unfreeze.
	releasable int
	failure    error
	changed    chan struct{}
}

// NewLog returns an empty log. If hold is true, tokens become visible only
// through Release or ReleaseAll; otherwise they are visible once appended.
func NewLog(hold bool) *Log {
	return &Log{holdUnreleased: hold, changed: make(chan struct{})}
}

// Append appends tokens. Tokens that the log holds already, that follow a gap or
// that follow the final token are ignored.
func (l *Log) Append(tokens []engine.Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return ErrEnded
	}
	for _, t := range tokens {
		if t.Index != len(l.tokens) || l.completeLocked() {
			continue
		}
		l.tokens = append(l.tokens, t)
	}
	if !l.holdUnreleased {
		l.releaseLocked(len(l.tokens))
	}
	l.notifyLocked()
	return nil
}

// Release makes the first n tokens visible to readers.
func (l *Log) Release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(min(n, len(l.tokens)))
}

// Freeze keeps further tokens from becoming visible until Unfreeze, so that a
// copy made in between holds all that readers have seen.
func (l *Log) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

// Unfreeze ends a freeze and makes the tokens visible that were released during it.
func (l *Log) Unfreeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = false
	l.releaseLocked(l.releasable)
}

func (l *Log) releaseLocked(n int) {
	l.releasable = max(l.releasable, n)
	if l.frozen || l.releasable <= l.released {
		return
	}
	l.released = l.releasable
	l.notifyLocked()
}

// ReleaseAll makes all present and future tokens visible. It is used if no copy can be kept.
func (l *Log) ReleaseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdUnreleased = false
	l.releaseLocked(len(l.tokens))
	l.notifyLocked()
}

// Truncate drops the tokens that have not been released, because another process
// has taken over the answer and may continue it with other tokens. It ends a
// freeze and returns the number of tokens left.
func (l *Log) Truncate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = l.tokens[:l.released]
	l.frozen, l.releasable = false, l.released
	return l.released
}

// Released returns the number of visible tokens.
func (l *Log) Released() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Fail ends the answer with an error unless it has ended already.
func (l *Log) Fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil || l.completeLocked() {
		return
	}
	l.failure = err
	l.notifyLocked()
}

// Tokens returns a copy of the tokens starting at the given index, released or not.
func (l *Log) Tokens(from int) []engine.Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from >= len(l.tokens) {
		return nil
	}
	return append([]engine.Token(nil), l.tokens[from:]...)
}

// Texts returns the texts of all tokens, released or not.
func (l *Log) Texts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, len(l.tokens))
	for i, t := range l.tokens {
		out[i] = t.Text
	}
	return out
}

// Len returns the number of tokens, released or not.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tokens)
}

// Ended reports whether the answer is complete or has failed; the error is nil
// unless it has failed.
func (l *Log) Ended() (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completeLocked() || l.failure != nil, l.failure
}

// Read waits for visible tokens starting at the given index. It returns them and
// whether they end the answer. The error is the answer's failure or the context's.
func (l *Log) Read(ctx context.Context, from int) ([]engine.Token, bool, error) {
	for {
		l.mu.Lock()
		out, last, err := l.readLocked(from)
		changed := l.changed
		l.mu.Unlock()
		if len(out) > 0 || last || err != nil {
			return out, last, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// WaitForMore waits until the log holds more than n tokens, released or not, or has ended.
func (l *Log) WaitForMore(ctx context.Context, n int) error {
	for {
		l.mu.Lock()
		more := len(l.tokens) > n || l.failure != nil || l.completeLocked()
		changed := l.changed
		l.mu.Unlock()
		if more {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) readLocked(from int) ([]engine.Token, bool, error) {
	var out []engine.Token
	if from < l.released {
		out = append(out, l.tokens[from:l.released]...)
	}
	last := l.completeLocked() && l.released == len(l.tokens)
	if len(out) == 0 && l.failure != nil && from >= l.released {
		return nil, false, l.failure
	}
	return out, last, nil
}

func (l *Log) completeLocked() bool {
	n := len(l.tokens)
	return n > 0 && l.tokens[n-1].Finish != engine.FinishNone
}

func (l *Log) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}
