package fleet

import (
	"context"
	"time"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Intervals of reading from the platform.
const (
	// ListInterval is the delay between two reads of the instance list.
	ListInterval = 500 * time.Millisecond
	// noticeRetryDelay is the delay after a failed call for notices.
	noticeRetryDelay = 250 * time.Millisecond
)

// FollowList applies the instance list to a table every ListInterval until the context
// is cancelled.
func FollowList(ctx context.Context, c cloud.Cloud, t *Table) error {
	for ctx.Err() == nil {
		if list, err := c.List(ctx); err == nil {
			t.ApplyList(list)
		}
		sleep.For(ctx, ListInterval)
	}
	return nil
}

// FollowNotices marks endpoints with a reclaim notice as leaving until the context is
// cancelled.
func FollowNotices(ctx context.Context, c cloud.Cloud, t *Table) error {
	var after uint64
	for ctx.Err() == nil {
		notices, err := c.Notices(ctx, after)
		if err != nil {
			sleep.For(ctx, noticeRetryDelay)
			continue
		}
		for _, n := range notices {
			t.MarkLeaving(n.Instance, t.now().Add(time.Duration(n.GraceMS)*time.Millisecond))
			after = max(after, n.Seq)
		}
	}
	return nil
}
