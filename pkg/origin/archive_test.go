package origin

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// archives is a group of archives that reach each other and the same store, in virtual time.
type archives struct {
	store *memstore.Store
	stop  context.CancelFunc

	mu        sync.Mutex
	list      []*Archive
	endpoints []*endpoints.Endpoint
	// writes holds when each instance's objects with streams were written.
	writes map[string][]time.Time
	log    syncBuffer
}

// newArchives starts archives before endpoints with the given versions.
func newArchives(count int, firstStart bool, versions ...string) *archives {
	f := &archives{store: memstore.New(), writes: make(map[string][]time.Time)}
	f.store.SetHook(f.recordWrite)
	f.setVersions(versions...)
	f.start(count, firstStart)
	return f
}

// start starts archives, in place of those that ran.
func (f *archives) start(count int, firstStart bool) {
	if f.stop != nil {
		f.stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop, f.list = stop, nil
	for i := range count {
		f.list = append(f.list, f.newArchive(i, count, firstStart))
	}
	for _, a := range f.list {
		a.EndpointsChanged()
		go func() { _ = a.Run(ctx) }()
	}
}

// syncBuffer is a buffer that several loggers write to.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func (f *archives) newArchive(i, count int, firstStart bool) *Archive {
	id := fmt.Sprint("gw-", i)
	return NewArchive(ArchiveOptions{
		Source: fmt.Sprintf("%s-%d", id, time.Now().UnixNano()), Self: id, Store: f.store, StoreHistory: f.store.History, Endpoints: f.current,
		StreamServices: func() []string { return []string{"s1"} }, Confirm: func([]endpoints.Build) {},
		IsWriter: func() bool { return i == 0 }, Writers: func(n int) []string { return firstIDs(min(n, count)) }, Members: func() int { return count }, Send: f.send,
		Peers: func() ([]string, bool) {
			return slices.DeleteFunc(firstIDs(count), func(peer string) bool { return peer == id }), true
		},
		FirstStart: firstStart, Metrics: prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(&f.log, nil)), Now: time.Now, TrueTime: time.Now,
	})
}

func (f *archives) recordWrite(op memstore.Op, key string) memstore.Fault {
	if rest, ok := strings.CutPrefix(key, streamsPrefix); ok && (op == memstore.OpCreate || op == memstore.OpUpdate) {
		f.mu.Lock()
		defer f.mu.Unlock()
		id := strings.Join(strings.Split(rest, "-")[:2], "-")
		f.writes[id] = append(f.writes[id], time.Now())
	}
	return memstore.FaultNone
}

// written returns when each instance's objects with streams were written.
func (f *archives) written() map[string][]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.writes)
}

// firstIDs returns the ids of the first n archives.
func firstIDs(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("gw-", i))
	}
	return out
}

func (f *archives) send(to string, data []byte) {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	for _, a := range list {
		if a.Self == to {
			time.AfterFunc(messageDelay, func() { a.ReceiveBatch(data) })
		}
	}
}

func (f *archives) current() []*endpoints.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.endpoints)
}

// setVersions replaces the endpoints by ones with the given versions.
func (f *archives) setVersions(versions ...string) {
	table := endpoints.NewTable(func() {})
	for i, v := range versions {
		table.Put(endpoints.Info{ID: fmt.Sprint("i-", i), Service: "s1", Version: v})
	}
	f.mu.Lock()
	f.endpoints = table.All()
	list := f.list
	f.mu.Unlock()
	for _, a := range list {
		a.EndpointsChanged()
	}
}

func build(version string) endpoints.Build {
	return endpoints.Info{Service: "s1", Version: version}.Build()
}

// exchange tells all archives the writer's record of builds.
func (f *archives) exchange() {
	for _, a := range f.list[1:] {
		a.Merge("gw-0", f.list[0].Announcement(1))
	}
}

// calls returns the number of calls to the store so far.
func (f *archives) calls() int {
	n := 0
	for _, count := range f.store.Calls() {
		n += count
	}
	return n
}

func (f *archives) close() {
	f.stop()
	synctest.Wait()
	time.Sleep(time.Minute) // let pending messages be delivered
}

// Guards against calls to the store on a day without a rollout.
func TestArchive_MakesFewCallsWhileOneBuildServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(6, true, "v1")
		defer f.close()
		time.Sleep(time.Second)
		f.exchange()
		for n := range 3000 {
			f.list[n%6].record(record{Key: key(n), Build: build("v1")}, false)
			time.Sleep(20 * time.Millisecond)
		}
		g.Expect(f.calls()).To(BeNumerically("<=", 3), "the record of builds and one search for old records in a minute")
	})
}

// Guards against more than one write a second of an instance, and against writes of many.
func TestArchive_BoundsWritesDuringRollout(t *testing.T) {
	for _, size := range []int{2, 6, 63, 880} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newArchives(size, true, "v1", "v1.1")
				defer f.close()
				time.Sleep(time.Second)
				f.exchange()
				const seconds = 10
				for n := range seconds * 200 {
					f.list[n%size].record(record{Key: key(n), Build: build([]string{"v1", "v1.1"}[n%2])}, false)
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				total := 0
				for id, at := range f.written() {
					for i := 1; i < len(at); i++ {
						g.Expect(at[i].Sub(at[i-1])).To(BeNumerically(">=", writeInterval), id)
					}
					total += len(at)
				}
				writers := min(size, minWriters+size/membersPerWriter)
				g.Expect(total).To(BeNumerically("<=", writers*(seconds+2)))
				s, err := f.list[size-1].read(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.streams).To(HaveLen(seconds * 200))
			})
		})
	}
}

// Guards against records of streams that stay for good: those of processes that have ended,
// and of instances that never came back.
func TestArchive_RemovesOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(6, true, "v1", "v1.1")
		defer f.close()
		time.Sleep(time.Second)
		f.exchange()
		for n := range 100 {
			f.list[n%6].record(record{Key: key(n), Build: build("v1")}, false)
			time.Sleep(20 * time.Millisecond)
		}
		f.start(2, false)
		time.Sleep(streamLife + 2*cleanInterval)
		objects, err := f.store.List(context.Background(), prefix)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(objects).To(HaveLen(1), "the record of builds")
	})
}

// Guards against a stream that is taken for one of the only build that is left, while streams
// of another one may still be taken up; and against streams that are refused after that.
func TestArchive_KnowsOnlyBuildOnceOthersLeftLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, true, "v1", "v1.1")
		defer f.close()
		time.Sleep(time.Second)
		f.exchange()
		f.setVersions("v1.1")
		time.Sleep(streamLife - 5*time.Second)
		_, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).To(MatchError(ErrUnknown))
		time.Sleep(10 * time.Second)
		b, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(Equal(build("v1.1")))
	})
}

// Guards against a record that is trusted though the store came back from a copy that is older
// than it.
func TestArchive_DoesNotTrustRecordAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, true, "v1")
		defer f.close()
		time.Sleep(time.Second)
		before := f.store.Snapshot()
		f.setVersions("v1", "v1.1")
		time.Sleep(time.Second)
		f.setVersions("v1")
		f.store.RollBack(before)
		f.start(2, false)
		time.Sleep(time.Second)
		_, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).To(MatchError(ErrUnknown), "the record says v1 only")
	})
}

// Guards against a record that begins when the system is already running and is trusted from
// its first moment on.
func TestArchive_DoesNotTrustNewRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, false, "v1")
		defer f.close()
		time.Sleep(streamLife / 2)
		_, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).To(MatchError(ErrUnknown))
		time.Sleep(streamLife)
		b, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(Equal(build("v1")))
	})
}

// Guards against endpoints without a version that are taken for one build.
func TestArchive_KnowsNoBuildWithoutVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, true, "", "")
		defer f.close()
		time.Sleep(time.Second)
		f.exchange()
		for _, e := range f.current() {
			f.list[0].record(record{Key: 1, Build: e.Build()}, false)
		}
		time.Sleep(3 * time.Second)
		_, err := f.list[1].find(context.Background(), nil)
		g.Expect(err).To(MatchError(ErrUnknown))
		g.Expect(f.written()).To(BeEmpty(), "their streams go on at their processes only")
	})
}

// Guards against hundreds of instances that all try to record a new build while the store fails.
func TestArchive_TriesToRecordBuildsRarelyWhileStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(100, true, "v1")
		defer f.close()
		time.Sleep(time.Second)
		f.exchange()
		f.store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
		f.setVersions("v1", "v1.1")
		before := f.calls()
		time.Sleep(9 * time.Second)
		// An attempt at the beginning and one after each interval: of the writer from the start on,
		// of the others from confirmTimeout on.
		const outage = 9 * time.Second
		ofWriter, ofOthers := int(1+outage/recordInterval), int(1+(outage-confirmTimeout)/confirmTimeout)
		g.Expect(f.calls() - before).To(BeNumerically("<=", ofWriter+99*ofOthers))
		g.Expect(strings.Count(f.log.String(), `level=WARN msg="failed to record builds`)).To(Equal(100), "one line of each for an outage")
		f.store.SetHook(f.recordWrite)
		time.Sleep(4 * time.Second)
		g.Expect(f.list[0].Announcement(1).Record.all()).To(ContainElement(build("v1.1")))
	})
}

// Guards against streams that are lost with a write that failed.
func TestArchive_StoresStreamsOfFailedWrites(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.FaultUnavailable, memstore.FaultLostAnswer, memstore.FaultLostRequest} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newArchives(1, true, "v1", "v1.1")
			defer f.close()
			time.Sleep(time.Second)
			f.store.SetHook(func(op memstore.Op, key string) memstore.Fault {
				if strings.HasPrefix(key, streamsPrefix) {
					return fault
				}
				return memstore.FaultNone
			})
			f.list[0].record(record{Key: 1, Build: build("v1")}, false)
			time.Sleep(3 * time.Second)
			f.store.SetHook(f.recordWrite)
			time.Sleep(2 * time.Second)
			k := key(1)
			b, err := f.list[0].find(context.Background(), &k)
			g.Expect(err).NotTo(HaveOccurred(), "fault %v", fault)
			g.Expect(b).To(Equal(build("v1")))
			g.Expect(strings.Count(f.log.String(), `level=WARN msg="failed to store`)).To(Equal(1), "one line for an outage")
		})
	}
}

// Property: stored streams are read as they were written, the newest ones if there are many.
func TestStreams_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := rapid.SliceOf(rapid.Custom(func(t *rapid.T) record {
			return record{Key: key(rapid.Uint64().Draw(t, "key")), Build: endpoints.Build(rapid.Uint64Range(1, 5).Draw(t, "build"))}
		})).Draw(t, "list")
		value, err := encodeStreams(list, 7)
		g.Expect(err).NotTo(HaveOccurred())
		got, savedMS, err := decodeStreams(value)
		g.Expect(err).NotTo(HaveOccurred())
		slices.Reverse(got)
		g.Expect(slices.Equal(got, list)).To(BeTrue())
		g.Expect(savedMS).To(Equal(int64(7)))
	})
}

// Guards against an object that the store refuses for its size.
func TestStreams_FitIntoObject(t *testing.T) {
	g := NewWithT(t)
	list := make([]record, 2*maxObjectStreams)
	for i := range list {
		list[i] = record{Key: key(i) << 40, Build: endpoints.Build(1<<63 + uint64(i))}
	}
	value, err := encodeStreams(list, 7)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", 1<<20))
	got, _, err := decodeStreams(value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got[0]).To(Equal(list[len(list)-1]), "the newest first")
}

func FuzzDecodeStreams(f *testing.F) {
	value, _ := encodeStreams([]record{{Key: 1, Build: 2}}, 3)
	f.Add(value)
	f.Add([]byte(`{"builds":["x"],"streams":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, _, err := decodeStreams(data)
		if err != nil && len(list) > 0 {
			t.Fatal("streams of an invalid object")
		}
	})
}

// Guards against a stream of a build that was recorded a moment ago, and that is taken for one
// of the only build before by an instance that knows nothing of it: it doesn't reach its peers,
// and its list of endpoints is old.
func TestArchive_KnowsBuildThatWasJustRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, true, "v1")
		defer f.close()
		outOfStep := f.list[1]
		time.Sleep(time.Second)
		b, err := outOfStep.find(context.Background(), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b).To(Equal(build("v1")))
		f.mu.Lock()
		f.list = f.list[:1]
		f.mu.Unlock()
		f.setVersions("v1", "v2")
		time.Sleep(readInterval / 2)
		_, err = outOfStep.find(context.Background(), nil)
		g.Expect(err).To(MatchError(ErrUnknown))
	})
}

// Guards against a read of the record for each of many streams that are taken up at one instance.
func TestArchive_StreamsShareReadsOfRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(1, true, "v1")
		defer f.close()
		time.Sleep(time.Second)
		before := f.calls()
		for range 1000 {
			go func() { _, _ = f.list[0].find(context.Background(), nil) }()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(f.calls() - before).To(BeNumerically("<=", int(time.Second/minBuildsInterval)+4))
	})
}

// Guards against an instance that has just started and uses a build before it is recorded: it
// knew the record only once it had heard from a peer.
func TestArchive_StartingInstanceReadsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newArchives(2, true, "v1")
		defer f.close()
		time.Sleep(time.Second)
		f.start(2, false)
		time.Sleep(2 * archiveInterval)
		g.Expect(f.list[1].Announcement(1).Record).NotTo(BeNil())
		before := f.calls()
		time.Sleep(10 * time.Second)
		g.Expect(f.calls()-before).To(BeZero(), "read once")
	})
}
