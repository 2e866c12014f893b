package origin

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// copyAge is the age of the copy that the store comes back from.
	copyAge = 3 * time.Second
	// completeTime is the time after a rollback in which the record must be complete again: instances are in
	// touch by then.
	completeTime = 3 * time.Second
)

// talk makes all archives tell each other what they announce, until the context ends. Those that are
// cut off neither send nor receive.
func (f *archives) talk(ctx context.Context, cutOff ...string) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		f.mu.Lock()
		list := f.list
		f.mu.Unlock()
		for _, from := range list {
			told := from.Announcement(n)
			for _, to := range list {
				if to != from && !slices.Contains(cutOff, from.Self) && !slices.Contains(cutOff, to.Self) {
					to.Merge(from.Self, told)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// rolledBackArchives returns archives before endpoints of v1 whose store comes back from a copy of some
// seconds ago. meanwhile is called in these seconds.
func rolledBackArchives(ctx context.Context, meanwhile func(f *archives), cutOff ...string) *archives {
	f := newArchives(3, true, "v1")
	go f.talk(ctx, cutOff...)
	time.Sleep(5 * time.Second)
	copied := f.store.Snapshot()
	meanwhile(f)
	time.Sleep(copyAge)
	f.store.RollBack(copied)
	return f
}

// Guards against streams that can't be taken up for two minutes after a rollback of the store if all
// instances end, though what they knew could be stored again (review/12).
func TestArchive_RecordIsCompleteAgainAfterRollback(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(f *archives)
		// build is the one at which all streams began; 0 if there are several.
		build endpoints.Build
	}{
		"nothing changed meanwhile": {func(*archives) {}, build("v1")},
		"a build came and left": {func(f *archives) {
			f.setVersions("v1", "v1.1")
			time.Sleep(time.Second)
			f.setVersions("v1")
		}, 0},
		"a build that only one instance knows": {func(f *archives) {
			f.list[1].setBuilds(f.list[1].builds.with(ServiceBuilds{Service: "s1", Streams: true, Builds: []endpoints.Build{build("v1.1")}}).at(1 << 20))
		}, 0},
		"a second rollback soon after": {func(f *archives) {
			f.store.RollBack(f.store.Snapshot())
			time.Sleep(700 * time.Millisecond)
		}, build("v1")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := rolledBackArchives(ctx, c.meanwhile)
				defer f.close()
				defer cancel()
				time.Sleep(completeTime)
				stored, err := f.list[0].loadBuilds(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(stored.rolledBack()).To(BeFalse())
				g.Expect(stored.SinceMS).To(BeZero(), "complete from the first start on")
				f.start(3, false)
				time.Sleep(time.Second)
				b, err := f.list[1].find(ctx, nil)
				if c.build == 0 {
					g.Expect(err).To(MatchError(ErrUnknown))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(b).To(Equal(c.build))
			})
		})
	}
}

// at returns the record with a version.
func (b Builds) at(version uint64) Builds {
	b.Version = version
	return b
}

// Guards against a record that is trusted though an instance may know builds that it lacks: it is cut off
// from the others, or all were killed before they could store what they knew.
func TestArchive_RecordStaysIncompleteAfterRollback(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff []string
		killed bool
	}{"an instance is cut off": {cutOff: []string{"gw-2"}}, "all are killed at once": {killed: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := rolledBackArchives(ctx, func(*archives) {}, c.cutOff...)
				defer f.close()
				defer cancel()
				if c.killed {
					f.start(3, false)
				}
				time.Sleep(streamLife / 2)
				_, err := f.list[0].find(ctx, nil)
				g.Expect(err).To(MatchError(ErrUnknown))
				time.Sleep(streamLife)
				b, err := f.list[0].find(ctx, nil)
				g.Expect(err).NotTo(HaveOccurred(), "no stream lives that long")
				g.Expect(b).To(Equal(build("v1")))
			})
		})
	}
}

// Guards against streams that were stored, are lost in a rollback, and aren't stored again until the next
// stream begins.
func TestArchive_StoresStreamsAgainAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		began := key(7)
		f := rolledBackArchives(ctx, func(f *archives) {
			f.setVersions("v1", "v1.1")
			time.Sleep(time.Second)
			f.list[1].record(record{Key: began, Build: build("v1.1")}, false)
		})
		defer f.close()
		defer cancel()
		time.Sleep(completeTime)
		f.start(3, false)
		time.Sleep(time.Second)
		b, err := f.list[2].find(ctx, &began)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(Equal(build("v1.1")))
	})
}
