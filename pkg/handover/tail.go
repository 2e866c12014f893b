package handover

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Limits of reading an answer from another process.
const (
	// readTimeout limits one Read call, including its wait for tokens.
	readTimeout = maxReadWait + 500*time.Millisecond
	// findRetryDelay is the delay between searches for the owner of an answer.
	findRetryDelay = 100 * time.Millisecond
	// maxSearches is the maximum number of consecutive searches without a new token.
	maxSearches = 30
)

// Tail reads the rest of an answer that another process owns into the flight's
// log. If the owner changes, it continues with the new one. It returns once the
// answer has ended or its owner can't be found.
func (m *Manager) Tail(ctx context.Context, f *flight.Flight, peerID string) error {
	m.Metrics.countTail()
	for searches := 0; searches < maxSearches; {
		reply, err := m.readAt(ctx, peerID, f.Job.ID, f.Log.Len())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && reply.Found {
			if len(reply.Tokens) > 0 {
				searches = 0
			}
			if done, err := appendReply(f, reply); done {
				return err
			}
			continue
		}
		searches++
		found, err := m.Find(ctx, f.Job.ID)
		if err == nil {
			peerID = found.Peer
			continue
		}
		sleep.For(ctx, findRetryDelay)
	}
	f.Log.Fail(dispatch.ErrOwnerLost)
	return ErrNotFound
}

// appendReply appends the tokens of a reply to the flight's log and reports
// whether the answer has ended.
func appendReply(f *flight.Flight, reply ReadReply) (bool, error) {
	if !reply.Lineage.Covers(f.Lineage().ID, f.Log.Len()) {
		f.Log.Fail(dispatch.ErrDiverged)
		return true, ErrDiverged
	}
	f.SetLineage(reply.Lineage)
	if err := f.Log.Append(reply.Tokens); err != nil {
		return true, err
	}
	if reply.Code == "" {
		return false, nil
	}
	err := reply.Code.Err()
	if err != nil {
		f.Log.Fail(err)
	}
	return true, err
}

func (m *Manager) readAt(ctx context.Context, peerID, id string, from int) (ReadReply, error) {
	args := ReadArgs{ID: id, From: from, Wait: maxReadWait}
	var reply ReadReply
	if peerID == m.Self.ID {
		err := (&service{m: m}).Read(&args, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := m.Caller.Call(ctx, peerID, methodRead, &args, &reply)
	return reply, err
}
