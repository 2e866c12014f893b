package origin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// recordTime is how long a stream stays recorded: no caller waits longer for its answer.
	recordTime = 30 * time.Second
	// maxUnsent is the largest number of own streams that may yet have to be stored, and
	// maxPending that of streams that wait for being stored.
	maxUnsent  = 4096
	maxPending = maxObjectStreams
	// writeInterval is the least time between two writes of an instance.
	writeInterval = time.Second
	// minWriters is the number of instances that store streams in a small fleet; there is one
	// more for each membersPerWriter.
	minWriters       = 8
	membersPerWriter = 64
	// cleanInterval is the time between two searches for objects of processes that have ended,
	// and cleanTime how long they go on after several builds have served.
	cleanInterval = time.Minute
	cleanTime     = 10 * time.Minute
	// cleanTimeout limits the removal of such objects; the next search goes on with it.
	cleanTimeout = time.Second
)

// begunStream is a stream that began at a time.
type begunStream struct {
	record
	at time.Time
	// corrects is true if the stream may be stored with endpoints.UncertainBuild.
	corrects bool
}

// streamWriter holds the streams that are to be stored or are.
type streamWriter struct {
	// unsent holds the streams that this instance began lately, oldest first, and that haven't
	// been sent to an instance that stores them.
	unsent []begunStream
	// pending holds the streams that this instance has to store, since pendingSince, and stored
	// those that its object holds.
	pending      []begunStream
	pendingSince time.Time
	stored       []begunStream
	// failed is true if the last write failed.
	failed bool
	// object counts the objects that this process has begun. version is that of the current
	// one; 0 if it doesn't exist.
	object  int
	version uint64
	// writtenAt is when the object was last written, severalAt when several builds of a service
	// last served, and cleanedAt when old objects were last searched for.
	writtenAt, severalAt, cleanedAt time.Time
}

// batch is what an instance sends to one that stores streams.
type batch struct {
	_     struct{} `cbor:",toarray"`
	Begun []record
}

// record notes a stream that began at this instance. corrects is true if its build wasn't known when it
// was noted before.
func (a *Archive) record(r record, corrects bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams
	s.unsent = append(s.unsent, begunStream{record: r, at: a.Now(), corrects: corrects})
	if len(s.unsent) > 2*maxUnsent {
		s.unsent = slices.Clone(s.unsent[len(s.unsent)-maxUnsent:])
	}
}

// keepStreams sends the own streams of services with several builds to an instance that
// stores them, and stores those that this instance was sent.
func (a *Archive) keepStreams(ctx context.Context) {
	a.sendStreams(a.takeUnsent())
	if value, ok := a.nextObject(); ok {
		a.logOutcome("failed to store where streams began", a.writeObject(ctx, value))
	}
	a.clean(ctx)
}

// several reports whether several builds of the service of a build serve, or have served
// lately. The caller must hold mu.
func (a *Archive) several(build endpoints.Build) bool {
	if a.withoutVersion[build] {
		return false
	}
	for _, s := range a.builds.Services {
		if !slices.Contains(s.Builds, build) {
			continue
		}
		return len(s.Builds) > 1 || !a.registered.allIn(s)
	}
	return true // not recorded yet
}

// allIn reports whether a service has no other builds than the given ones.
func (b Builds) allIn(s ServiceBuilds) bool {
	return !slices.ContainsFunc(b.service(s.Service).Builds, func(build endpoints.Build) bool { return !slices.Contains(s.Builds, build) })
}

// takeUnsent returns the own streams that are to be stored and have not been sent yet. While
// one build of a service serves alone, its streams stay unsent, so that they are sent when
// another one comes.
func (a *Archive) takeUnsent() []record {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams
	now := a.Now()
	var out []record
	s.unsent = slices.DeleteFunc(s.unsent, func(b begunStream) bool {
		if now.Sub(b.at) > recordTime {
			return true
		}
		send := b.corrects || a.several(b.Build)
		if send {
			out = append(out, b.record)
		}
		return send
	})
	if len(out) > 0 {
		s.severalAt = now
	}
	return out
}

// sendStreams sends streams to the instance whose turn it is to store them.
func (a *Archive) sendStreams(list []record) {
	if len(list) == 0 {
		return
	}
	to := a.nextWriter()
	for chunk := range slices.Chunk(list, maxPerMessage) {
		a.metrics.recorded.Add(float64(len(chunk)))
		if to == a.Self {
			a.addPending(chunk)
			continue
		}
		data, err := cbor.Marshal(batch{Begun: chunk})
		if err != nil {
			a.Log.Error("failed to encode streams for the store", "error", err.Error())
			continue
		}
		a.Send(to, data)
	}
}

// writers returns the instances that store streams.
func (a *Archive) writers() []string {
	return a.Writers(minWriters + a.Members()/membersPerWriter)
}

// nextWriter returns the instance that stores the streams of this moment. The writers take
// turns within writeInterval, so that a stream waits for a part of it only.
func (a *Archive) nextWriter() string {
	writers := a.writers()
	if len(writers) == 0 {
		return a.Self
	}
	turn := a.TrueTime().UnixMilli() * int64(len(writers)) / writeInterval.Milliseconds()
	return writers[turn%int64(len(writers))]
}

// ReceiveBatch takes over streams that a peer wants to be stored.
func (a *Archive) ReceiveBatch(data []byte) {
	var b batch
	if err := cbor.Unmarshal(data, &b); err != nil || len(b.Begun) > maxPerMessage {
		a.Log.Warn("failed to decode streams for the store", "bytes", len(data), "error", eris.ToString(err, false))
		return
	}
	a.addPending(b.Begun)
}

func (a *Archive) addPending(list []record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams
	now := a.Now()
	if len(s.pending) == 0 {
		s.pendingSince = now
	}
	room := maxPending - len(s.pending)
	if len(list) > room {
		a.Log.Warn("too many streams to store; the rest is unknown after an end of all instances", "dropped", len(list)-room)
		list = list[:room]
	}
	for _, r := range list {
		s.pending = append(s.pending, begunStream{record: r, at: now})
	}
}

// nextObject returns the next value of this process's object, if it is time to write it:
// what comes within this instance's turn is written together.
func (a *Archive) nextObject() (value []byte, ok bool) {
	if !a.writeDue() {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams
	now := a.Now()
	s.stored = slices.DeleteFunc(append(s.stored, s.pending...), func(b begunStream) bool { return now.Sub(b.at) > recordTime })
	s.pending, s.writtenAt, s.severalAt = nil, now, now
	list := make([]record, 0, len(s.stored))
	for _, b := range s.stored {
		list = append(list, b.record)
	}
	value, err := encodeStreams(list, a.TrueTime().UnixMilli())
	if err != nil {
		a.Log.Error("failed to encode where streams began", "error", err.Error())
		return nil, false
	}
	return value, true
}

// writeDue reports whether it is time to write this process's object.
func (a *Archive) writeDue() bool {
	a.mu.Lock()
	now, s := a.Now(), &a.streams
	waiting, failed, since := len(s.pending) > 0, s.failed || a.mayBeLost(s.version), s.pendingSince
	mayWrite := now.Sub(s.writtenAt) >= writeInterval
	a.mu.Unlock()
	if !mayWrite || !waiting && !failed {
		return false
	}
	turn := writeInterval / time.Duration(max(1, len(a.writers())))
	return failed || now.Sub(since) >= turn
}

// writeObject stores the value of this process's object. After a write whose outcome isn't
// known, or an object that is not as it was written, the next write begins another object.
func (a *Archive) writeObject(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	a.mu.Lock()
	s := &a.streams
	if a.mayBeLost(s.version) {
		s.object, s.version = s.object+1, 0
	}
	name, version := fmt.Sprintf("%s%s-%d", streamsPrefix, a.Source, s.object), s.version
	a.mu.Unlock()
	var o objectstore.Object
	var err error
	if version == 0 {
		o, err = a.Store.Create(ctx, name, value)
	} else {
		o, err = a.Store.Update(ctx, name, value, version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.failed = err != nil
	switch {
	case err == nil:
		s.version = o.Version
	case !errors.Is(err, objectstore.ErrUnavailable):
		s.object, s.version = s.object+1, 0
	}
	return err
}

// clean removes the objects of processes that have ended, or are no longer written.
func (a *Archive) clean(ctx context.Context) {
	now := a.Now()
	a.mu.Lock()
	s := &a.streams
	if s.cleanedAt.IsZero() {
		s.cleanedAt, s.severalAt = now, now
	}
	due := now.Sub(s.cleanedAt) >= cleanInterval && now.Sub(s.severalAt) <= cleanTime
	a.mu.Unlock()
	if !due || !a.IsWriter() {
		return
	}
	a.mu.Lock()
	s.cleanedAt = now
	a.mu.Unlock()
	a.logOutcome("failed to remove old records of streams", a.removeOld(ctx))
}

// removeOld removes the objects whose streams can't be taken up any more.
func (a *Archive) removeOld(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	objects, err := a.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if o.Key == buildsKey || !a.isOld(o) {
			continue
		}
		if err := a.Store.Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, objectstore.ErrNotFound) && !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		a.Log.Info("old record of streams removed", "key", o.Key)
	}
	return nil
}

// isOld reports whether the streams of an object can't be taken up any more. An object that
// can't be decoded is old, too.
func (a *Archive) isOld(o objectstore.Object) bool {
	_, savedMS, err := decodeStreams(o.Value)
	if err != nil {
		a.Log.Warn("invalid record of streams", "key", o.Key, "error", err.Error())
		return true
	}
	return a.TrueTime().Sub(time.UnixMilli(savedMS)) > streamLife
}
