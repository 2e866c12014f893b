package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// watchRetryDelay is the delay after a failed watch.
const watchRetryDelay = 500 * time.Millisecond

// FollowDrains watches the stored state until the context is cancelled and calls mark
// for each draining instance. stopAt is the time by which the instance is stopped.
func FollowDrains(ctx context.Context, s objectstore.Store, now func() time.Time, mark func(id string, stopAt time.Time) bool) error {
	var after uint64
	for ctx.Err() == nil {
		changes, err := s.Watch(ctx, StateKey, after)
		if err != nil {
			sleep.For(ctx, watchRetryDelay)
			continue
		}
		after = max(after, changes.Version)
		for _, o := range changes.Objects {
			markDrains(o, now(), mark)
		}
	}
	return nil
}

// markDrains calls mark for each drain of a stored state.
func markDrains(o objectstore.Object, now time.Time, mark func(id string, stopAt time.Time) bool) {
	var state capacity.State
	if o.Deleted || json.Unmarshal(o.Value, &state) != nil {
		return
	}
	for _, d := range state.Drains {
		mark(d.Instance, now.Add(time.Duration(d.LongestMS)*time.Millisecond))
	}
}
