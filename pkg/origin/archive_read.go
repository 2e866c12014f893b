package origin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// readInterval is how long what was read is used.
	readInterval = time.Second
	// failureInterval is the time after a failed read in which none is tried.
	failureInterval = 200 * time.Millisecond
	// readTimeout limits one read.
	readTimeout = 1500 * time.Millisecond
	// forgetTime is the time after which what was read is forgotten.
	forgetTime = time.Minute
	// maxRead is the largest number of streams that are read.
	maxRead = 1 << 18
)

// ErrNotReadable means that the archive could not be read a moment ago.
var ErrNotReadable = eris.New("origin: the archive can't be read")

// snapshot is what was read from the archive.
type snapshot struct {
	// readAt is when the read began.
	readAt time.Time
	builds Builds
	// streams holds the build of each stream; 0 if two are recorded.
	streams map[key]endpoints.Build
}

// archiveReader reads the archive when a stream is taken up that no instance knows.
type archiveReader struct {
	mu       sync.Mutex
	last     *snapshot
	failedAt time.Time
	// reading is closed when the read in progress ends; nil if there is none.
	reading chan struct{}
}

// find returns the build at which a stream began, ErrUnknown if the archive doesn't say so, or
// ErrNotFound if it can't be read. A stream without a key is one that names no beginning.
func (a *Archive) find(ctx context.Context, k *key) (endpoints.Build, error) {
	asked := a.Now()
	s, err := a.read(ctx)
	if err != nil {
		a.metrics.lookups.WithLabelValues(lookupFailed).Inc()
		return 0, ErrNotFound
	}
	if k != nil {
		b, ok := s.streams[*k]
		if ok && (b == 0 || b == endpoints.UncertainBuild) {
			return 0, ErrUnknown
		}
		if ok {
			a.metrics.lookups.WithLabelValues(lookupStream).Inc()
			return b, nil
		}
	}
	if _, ok := a.only(s.builds); !ok {
		a.metrics.lookups.WithLabelValues(lookupUnknown).Inc()
		return 0, ErrUnknown
	}
	builds, err := a.buildsSince(ctx, asked)
	if err != nil {
		a.metrics.lookups.WithLabelValues(lookupFailed).Inc()
		return 0, ErrNotFound
	}
	if b, ok := a.only(builds); ok {
		a.metrics.lookups.WithLabelValues(lookupOnlyBuild).Inc()
		return b, nil
	}
	a.metrics.lookups.WithLabelValues(lookupUnknown).Inc()
	return 0, ErrUnknown
}

// read returns what the archive holds, at most readInterval ago. Callers share one read.
func (a *Archive) read(ctx context.Context) (*snapshot, error) {
	r := &a.reader
	for {
		r.mu.Lock()
		now := a.Now()
		switch {
		case r.last != nil && now.Sub(r.last.readAt) < readInterval:
			defer r.mu.Unlock()
			return r.last, nil
		case now.Sub(r.failedAt) < failureInterval:
			r.mu.Unlock()
			return nil, ErrNotReadable
		case r.reading == nil:
			r.reading = make(chan struct{})
			go a.readStore(context.WithoutCancel(ctx))
		}
		done := r.reading
		r.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// readStore reads the archive and wakes the callers that wait for it.
func (a *Archive) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := a.Now()
	objects, err := a.Store.List(ctx, prefix)
	var s *snapshot
	if err == nil {
		s = a.decode(objects, began)
		a.Log.Info("archive of streams read", "objects", len(objects), "streams", len(s.streams), "builds", len(s.builds.all()))
	} else {
		a.Log.Warn("failed to read where streams began", "error", err.Error())
	}
	r := &a.reader
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.last = s
	} else {
		r.failedAt = a.Now()
	}
	close(r.reading)
	r.reading = nil
}

// decode decodes the objects of the archive. What can't be decoded is left out.
func (a *Archive) decode(objects []objectstore.Object, readAt time.Time) *snapshot {
	s := &snapshot{readAt: readAt, streams: make(map[key]endpoints.Build)}
	for _, o := range objects {
		var err error
		switch {
		case o.Key == buildsKey:
			s.builds, err = decodeBuilds(o)
		case strings.HasPrefix(o.Key, streamsPrefix):
			err = s.add(o)
		}
		if err != nil {
			a.Log.Error("failed to decode record in the archive of streams", "key", o.Key, "error", err.Error())
		}
	}
	if len(s.streams) >= maxRead {
		a.Log.Warn("too many streams in the archive; the rest is unknown", "read", len(s.streams))
	}
	return s
}

// add adds the streams of an object.
func (s *snapshot) add(o objectstore.Object) error {
	list, _, err := decodeStreams(o.Value)
	for _, r := range list {
		have, ok := s.streams[r.Key]
		switch {
		case ok:
			s.streams[r.Key] = merged(have, r.Build)
		case len(s.streams) < maxRead:
			s.streams[r.Key] = r.Build
		}
	}
	return err
}

// only returns the build at which every stream began that may still be taken up, if there is
// one: the record of builds holds no other of a service with streams, and has been complete
// for as long as streams live, and no other is registered.
func (a *Archive) only(b Builds) (endpoints.Build, bool) {
	complete := b.Version != 0 && !b.rolledBack() && (b.SinceMS == 0 || a.TrueTime().Sub(time.UnixMilli(b.SinceMS)) >= streamLife)
	if !complete {
		return 0, false
	}
	var list []endpoints.Build
	for _, s := range a.wanted() {
		if s.Streams || b.service(s.Service).Streams {
			list = append(list, s.Builds...)
		}
	}
	for _, s := range b.Services {
		if s.Streams {
			list = append(list, s.Builds...)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if len(list) != 1 || list[0] == unversioned {
		return 0, false
	}
	return list[0], true
}

// forget drops what was read long ago.
func (r *archiveReader) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last != nil && now.Sub(r.last.readAt) > forgetTime {
		r.last = nil
	}
}
