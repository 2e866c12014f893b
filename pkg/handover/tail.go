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
	// readTimeout bounds one call, the wait for pieces included.
	readTimeout = maxReadWait + 500*time.Millisecond
	// findRetryDelay is the pause between searches for an answer's owner.
	findRetryDelay = 100 * time.Millisecond
	// maxFinds bounds the searches without progress.
	maxFinds = 30
)

// Tail reads the rest of an answer that another process owns into a flight's
// log, and follows it from owner to owner. It returns once the answer has ended.
func (m *Manager) Tail(ctx context.Context, f *flight.Flight, peerID string) error {
	m.Metrics.tail()
	for finds := 0; finds < maxFinds; {
		reply, err := m.readAt(ctx, peerID, f.Job.ID, f.Log.Len())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && reply.Found {
			if len(reply.Tokens) > 0 {
				finds = 0
			}
			if done, err := appendReply(f, reply); done {
				return err
			}
			continue
		}
		finds++
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

// take appends what was read and reports whether the answer has ended.
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
