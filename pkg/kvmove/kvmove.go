// Package kvmove decides which running streams leave an endpoint before it stops, together with their
// KV caches, and how a move goes on when one of its steps fails. It sends nothing itself.
package kvmove

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

const (
	// setupTime is the time of an order and of the request to the destination, without the transfer. It
	// is assumed: engines don't tell when a transfer begins.
	setupTime = 5 * time.Millisecond
	// remoteFactor is the time of a transfer between data centres as a multiple of that inside one.
	remoteFactor = 2
	// minGain is the least time that a move has to save compared with reading again.
	minGain = 5 * time.Millisecond
	// lateMargin is the least time between the expected end of a move and the stop: the stop may come
	// early, and other instances' transfers may occupy the link.
	lateMargin = 100 * time.Millisecond
	// minCopyTime is the transfer time from which a copy is made while the run continues. Shorter
	// transfers pause a stream no longer than a usual gap between two events.
	minCopyTime = 20 * time.Millisecond
	// copiesInTime is the number of transfers that have to fit into the time until the stop for a copy
	// to be made first.
	copiesInTime = 3
	// minRestShare is the least rest of an answer, as a share of what its route usually writes: an
	// answer that is longer than usual doesn't end at once.
	minRestShare = 0.25
	// replyMargin is added to the expected time of an order's reply before it counts as missing: the link
	// may be occupied by transfers of other instances.
	replyMargin = 500 * time.Millisecond
)

// Stream describes a stream that runs on an endpoint that is about to stop.
type Stream struct {
	// Prompt and Written are the numbers of its prompt's and its answer's tokens so far.
	Prompt, Written int
	// Usual is the number of tokens of an answer on its route, and Limit the largest number; 0 if
	// there is none.
	Usual, Limit int
	// TokenTime is the expected time for a token of the answer, and ReadTime that in which another
	// endpoint reads a token.
	TokenTime, ReadTime time.Duration
	// Resumable is true if another endpoint may go on with it by reading all of its tokens again.
	Resumable bool
}

// context returns the number of tokens in the KV cache.
func (s Stream) context() int { return s.Prompt + s.Written }

// rest returns the expected time until the answer ends.
func (s Stream) rest() time.Duration {
	tokens := max(s.Usual-s.Written, int(minRestShare*float64(s.Usual)))
	if s.Limit > 0 {
		tokens = min(tokens, s.Limit-s.Written)
	}
	return time.Duration(max(0, tokens)) * s.TokenTime
}

// EndsInTime reports whether the stream is expected to end before its endpoint stops.
func (s Stream) EndsInTime(left time.Duration) bool { return EndsInTime(s.rest(), left) }

// Link describes the way to the destination.
type Link struct {
	Engine *routing.Engine
	// Remote is true if the destination is in another data centre.
	Remote bool
	// Busy is how long the source's link is occupied by earlier transfers.
	Busy time.Duration
}

// Verdict is what the decision on a stream is.
type Verdict int

// The verdicts.
const (
	// Stays means that the stream is expected to end before its endpoint stops.
	Stays Verdict = iota
	// Moves means that it is moved.
	Moves
	// TooLate means that a move would not be done in time.
	TooLate
	// NotWorth means that reading again takes no longer.
	NotWorth
)

// Plan is the decision on a stream.
type Plan struct {
	Verdict Verdict
	// Copy is true if a copy is made while the run continues, before the run is stopped.
	Copy bool
	// Bytes is the size of the KV cache, and Transfer the expected time of its transfer.
	Bytes    float64
	Transfer time.Duration
	// ReplyLimit is the time after which the reply to an order counts as missing.
	ReplyLimit time.Duration
}

// Supported reports whether engines hand over running requests at a known speed.
func Supported(e *routing.Engine) bool { return e != nil && e.Moves && e.CanFetch() }

// Decide decides on a stream whose endpoint stops in a time. The link's engine must be supported.
func Decide(s Stream, l Link, left time.Duration) Plan {
	p := Plan{Bytes: float64(s.context()) * l.Engine.TokenBytes}
	p.Transfer = TransferTime(p.Bytes, l.Engine.LinkRate)
	if l.Remote {
		p.Transfer *= remoteFactor
	}
	p.ReplyLimit = l.Busy + 2*p.Transfer + replyMargin
	took := l.Busy + setupTime + p.Transfer
	switch {
	case s.EndsInTime(left - took):
		p.Verdict = Stays
	case took+lateMargin > left:
		p.Verdict = TooLate
	case !s.worth(setupTime+p.Transfer, l.Engine):
		p.Verdict = NotWorth
	default:
		p.Verdict = Moves
		p.Copy = p.Transfer >= minCopyTime && l.Busy+copiesInTime*(setupTime+p.Transfer)+lateMargin <= left
	}
	return p
}

// worth reports whether a move that takes a time is better than what happens to the stream otherwise:
// it is read again elsewhere, or fails.
func (s Stream) worth(move time.Duration, e *routing.Engine) bool {
	if e.HandleTime > 0 && move > e.HandleTime {
		return false // the copy would be freed before it is used
	}
	if !s.Resumable {
		return true
	}
	return time.Duration(s.context())*s.ReadTime-move >= minGain
}
