package origin

import (
	"context"
	"sync"
	"time"
)

// minBuildsInterval is the least time between two reads of the record of builds.
const minBuildsInterval = 100 * time.Millisecond

// buildsReader reads the record of builds for streams that are taken up. A stream may have begun
// at a build that was recorded just before, so that only a read tells that began after the
// stream was taken up.
type buildsReader struct {
	mu sync.Mutex
	// readAt is when the last successful read began, and builds what it showed.
	readAt time.Time
	builds Builds
	// triedAt is when the last read began. reading is closed when the read in progress ends; nil
	// if there is none.
	triedAt time.Time
	reading chan struct{}
}

// buildsSince returns the record of builds by a read that began at a time or later. Callers share
// reads.
func (a *Archive) buildsSince(ctx context.Context, since time.Time) (Builds, error) {
	r := &a.buildsReader
	for {
		r.mu.Lock()
		if !r.readAt.Before(since) {
			defer r.mu.Unlock()
			return r.builds, nil
		}
		if !r.triedAt.Before(since) && r.reading == nil {
			r.mu.Unlock()
			return Builds{}, ErrNotReadable
		}
		if r.reading == nil {
			r.reading = make(chan struct{})
			go a.readBuilds(context.WithoutCancel(ctx), r.triedAt.Add(minBuildsInterval).Sub(a.Now()))
		}
		done := r.reading
		r.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return Builds{}, ctx.Err()
		}
	}
}

// readBuilds reads the record of builds after a pause, and wakes the callers that wait for it.
func (a *Archive) readBuilds(ctx context.Context, pause time.Duration) {
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r := &a.buildsReader
	began := a.Now()
	builds, err := a.loadBuilds(ctx)
	if err != nil {
		a.Log.Warn("failed to read the record of builds", "error", err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triedAt = began
	if err == nil {
		r.readAt, r.builds = began, builds
	}
	close(r.reading)
	r.reading = nil
}
