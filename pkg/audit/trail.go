package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Keys of the trail in the object store.
const (
	// Prefix is common to all objects of the trail.
	Prefix     = "audit/"
	currentKey = Prefix + "current"
)

// Retry delays after a conflict or an outage.
const (
	minDelay = 10 * time.Millisecond
	maxDelay = 500 * time.Millisecond
)

// ErrUnavailable means that the trail couldn't be read from or written to the object store.
var ErrUnavailable = eris.New("audit: trail unavailable")

// Sleep waits for a duration or until the context ends.
type Sleep func(ctx context.Context, d time.Duration)

// Trail is the audit trail. Its methods are safe for concurrent use, even by
// several processes.
type Trail struct {
	store objectstore.Store
	sleep Sleep
	// maxBytes and maxSegments are MaxCurrentBytes and MaxSegments; tests lower them.
	maxBytes, maxSegments int
}

// New returns the trail in a store. A nil sleep waits in real time.
func New(store objectstore.Store, sleep Sleep) *Trail {
	if sleep == nil {
		sleep = realSleep
	}
	return &Trail{store: store, sleep: sleep, maxBytes: MaxCurrentBytes, maxSegments: MaxSegments}
}

func realSleep(ctx context.Context, d time.Duration) { sleep.For(ctx, d) }

// segmentKey returns the key of a closed segment.
func segmentKey(number int) string {
	return fmt.Sprintf("%ssegment/%08d", Prefix, number)
}

// Put adds a record or updates the one with its id. It also settles unknown
// records from the configuration in force; env may be nil. It retries until the
// context ends and then returns ErrUnavailable. It reports whether the current
// segment already held the record from an earlier attempt.
func (t *Trail) Put(ctx context.Context, r Record, env *config.Envelope) (existed bool, err error) {
	r = r.bounded()
	delay := minDelay
	for {
		existed, err := t.tryPut(ctx, r, env)
		if err == nil {
			return existed, nil
		}
		if ctx.Err() != nil {
			return false, eris.Wrap(ErrUnavailable, err.Error())
		}
		t.sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxDelay)
	}
}

// tryPut makes one conditional update of the current segment. It is idempotent,
// so it can be retried if its outcome is unknown.
func (t *Trail) tryPut(ctx context.Context, r Record, env *config.Envelope) (existed bool, err error) {
	seg, version, err := t.current(ctx)
	if err != nil {
		return false, err
	}
	changed, existed := seg.upsert(r)
	if !changed {
		return existed, nil
	}
	seg.settle(env)
	if closed := seg.split(t.maxBytes); closed != nil {
		if err := t.close(ctx, seg, closed); err != nil {
			return false, err
		}
	}
	return existed, t.write(ctx, seg, version)
}

// current reads the current segment and its version; version 0 means that none is stored.
func (t *Trail) current(ctx context.Context) (*segment, uint64, error) {
	seg := &segment{Number: 1}
	o, err := t.store.Get(ctx, currentKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return seg, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(o.Value, seg); err != nil {
		return nil, 0, eris.Wrap(err, "audit: decode current segment")
	}
	return seg, o.Version, nil
}

// close stores a closed segment. If another process has already closed the
// segment, the records that it stored are removed from the current one instead.
func (t *Trail) close(ctx context.Context, seg, closed *segment) error {
	data, err := json.Marshal(closed)
	if err != nil {
		return eris.Wrap(err, "audit: encode segment")
	}
	_, err = t.store.Create(ctx, segmentKey(closed.Number), data)
	if errors.Is(err, objectstore.ErrConflict) {
		return t.dropStored(ctx, seg, closed)
	}
	if err != nil {
		return err
	}
	t.expire(ctx, closed.Number-t.maxSegments)
	return nil
}

// dropStored moves the records that this process tried to close back to seg, and
// removes those that the stored segment holds.
func (t *Trail) dropStored(ctx context.Context, seg, closed *segment) error {
	stored, err := t.segment(ctx, closed.Number)
	if err != nil {
		return err
	}
	seg.Records = append(closed.Records, seg.Records...)
	seg.remove(stored)
	return nil
}

// expire deletes a closed segment beyond the retention limit.
func (t *Trail) expire(ctx context.Context, number int) {
	if number < 1 {
		return
	}
	if o, err := t.store.Get(ctx, segmentKey(number)); err == nil {
		_ = t.store.Delete(ctx, o.Key, o.Version)
	}
}

func (t *Trail) write(ctx context.Context, seg *segment, version uint64) error {
	data, err := json.Marshal(seg)
	if err != nil {
		return eris.Wrap(err, "audit: encode segment")
	}
	if version == 0 {
		_, err = t.store.Create(ctx, currentKey, data)
		return err
	}
	_, err = t.store.Update(ctx, currentKey, data, version)
	return err
}

func (t *Trail) segment(ctx context.Context, number int) (*segment, error) {
	o, err := t.store.Get(ctx, segmentKey(number))
	if err != nil {
		return nil, err
	}
	seg := &segment{}
	if err := json.Unmarshal(o.Value, seg); err != nil {
		return nil, eris.Wrap(err, "audit: decode segment")
	}
	return seg, nil
}

// List returns up to limit of the newest records, newest first. Outcomes that
// aren't final are settled from the configuration in force; env may be nil.
func (t *Trail) List(ctx context.Context, env *config.Envelope, limit int) ([]Record, error) {
	seg, _, err := t.current(ctx)
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	list := newListing(env)
	list.add(seg)
	for n := seg.Number - 1; n > 0 && n >= seg.Number-t.maxSegments && len(list.records) < limit; n-- {
		closed, err := t.segment(ctx, n)
		if errors.Is(err, objectstore.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, eris.Wrap(ErrUnavailable, err.Error())
		}
		list.add(closed)
	}
	return list.newest(limit), nil
}
