package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// watchRetryDelay is the delay after a failed watch.
const watchRetryDelay = 500 * time.Millisecond

// FollowDrains watches the stored state until the context is cancelled and calls mark
// for each draining instance. stopAt is the time by which the instance is stopped.
func FollowDrains(ctx context.Context, s objectstore.Store, now func() time.Time, mark func(id string, stopAt time.Time) bool, log *slog.Logger) error {
	var after uint64
	for ctx.Err() == nil {
		changes, err := s.Watch(ctx, StateKey, after)
		if err != nil {
			sleep.For(ctx, watchRetryDelay)
			continue
		}
		after = max(after, changes.Version)
		for _, o := range changes.Objects {
			markDrains(o, now(), mark, log)
		}
	}
	return nil
}

// markDrains calls mark for each drain of a stored state.
func markDrains(o objectstore.Object, now time.Time, mark func(id string, stopAt time.Time) bool, log *slog.Logger) {
	if o.Deleted {
		return
	}
	state, err := decodeState(o.Value)
	if err != nil {
		log.Warn("ignoring invalid capacity state", "version", o.Version, "error", err.Error())
		return
	}
	for _, d := range state.Drains {
		mark(d.Instance, now.Add(time.Duration(d.LongestMS)*time.Millisecond))
	}
}
