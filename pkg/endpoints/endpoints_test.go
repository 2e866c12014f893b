package endpoints

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func ids(list []*Endpoint) []string {
	var out []string
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

func info(id string) Info { return Info{ID: id, Service: "s1", Addr: "10.0.0.1:80", Born: 1} }

func TestLeavingIsNeverTakenBack(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(func() {})
	table.Put(info("i-1"))
	leaving := info("i-1")
	leaving.Leaving = true
	table.Put(leaving)
	table.Put(info("i-1"))
	g.Expect(table.Service("s1")).To(BeEmpty())
}

func TestAnIDBornAgainIsANewEndpoint(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(func() {})
	leaving := info("i-1")
	leaving.Leaving = true
	table.Put(leaving)
	before, _ := table.ByID("i-1")
	before.Begin(100, time.Now())
	again := info("i-1")
	again.Born = 2
	table.Put(again)
	g.Expect(ids(table.Service("s1"))).To(Equal([]string{"i-1"}))
	after, _ := table.ByID("i-1")
	g.Expect(after.Own()).To(Equal(Load{}), "it holds and knows nothing of before")
	g.Expect(before.Left()).To(BeClosed())
}

func TestAnEndpointThatMovesToAnotherServiceIsNew(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(func() {})
	table.Put(info("i-1"))
	moved := info("i-1")
	moved.Service = "s2"
	table.Put(moved)
	g.Expect(table.Service("s1")).To(BeEmpty())
	g.Expect(ids(table.Service("s2"))).To(Equal([]string{"i-1"}))
}

// TestTheTableAgreesWithAnOracle makes any sequence of changes and compares
// what takes new work with a plain model.
func TestTheTableAgreesWithAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		table := NewTable(func() {})
		type state struct {
			leaving bool
			born    int64
			lapse   time.Time
		}
		model := map[string]*state{}
		// gone holds the start of each endpoint that has left: it never comes back.
		gone := map[string]int64{}
		remove := func(id string) {
			if s, known := model[id]; known && s.leaving {
				gone[id] = s.born
			}
			delete(model, id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "id"))
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			table.Expire(now)
			for name, s := range model {
				if !s.lapse.IsZero() && now.After(s.lapse) {
					remove(name)
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				i := info(id)
				i.Born = int64(rapid.IntRange(1, 2).Draw(t, "born"))
				i.Leaving = rapid.Bool().Draw(t, "leaving")
				table.Put(i)
				if born, left := gone[id]; left && born == i.Born {
					break
				}
				s, known := model[id]
				if !known || s.born != i.Born {
					s = &state{born: i.Born}
					model[id] = s
				}
				s.leaving = s.leaving || i.Leaving
				s.lapse = time.Time{}
			case 1:
				table.Remove(id)
				remove(id)
			case 2:
				until := now.Add(time.Second)
				table.Lapse(id, until)
				if s, known := model[id]; known && s.lapse.IsZero() {
					s.lapse = until
				}
			case 3:
				list := []Info{info(id)}
				missing := table.Replace(list)
				var want []string
				for name := range model {
					if name != id {
						want = append(want, name)
					}
				}
				slices.Sort(want)
				slices.Sort(missing)
				if !slices.Equal(missing, want) {
					t.Fatalf("missing %v, want %v", missing, want)
				}
				if born, left := gone[id]; left && born == 1 {
					break
				}
				if s, known := model[id]; !known || s.born != 1 {
					model[id] = &state{born: 1}
				}
				model[id].lapse = time.Time{}
			}
			var want []string
			for _, name := range slices.Sorted(maps.Keys(model)) {
				if !model[name].leaving {
					want = append(want, name)
				}
			}
			if got := ids(table.Service("s1")); !slices.Equal(got, want) {
				t.Fatalf("serving %v, want %v", got, want)
			}
		}
	})
}

func TestABrokenEndpointIsTriedByOneRequestAtATime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable(func() {})
	table.Put(info("i-1"))
	e, _ := table.ByID("i-1")
	e.Broken(now)
	g.Expect(e.Paused(now)).To(BeTrue())
	now = now.Add(firstPause)
	g.Expect(e.Paused(now)).To(BeFalse())
	e.Begin(0, now)
	g.Expect(e.Paused(now)).To(BeTrue(), "one request finds out whether it is back")
	e.Broken(now)
	g.Expect(e.Paused(now.Add(2*firstPause-1))).To(BeTrue(), "the pause grows")
	e.Succeeded()
	g.Expect(e.Paused(now)).To(BeFalse())
	for range 20 {
		e.Broken(now)
	}
	g.Expect(e.Paused(now.Add(maxPause))).To(BeFalse(), "the pause is bounded")
}

func TestPeerLoadsAddUpAndAge(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable(func() {})
	table.Put(info("i-1"))
	e, _ := table.ByID("i-1")
	e.Begin(10, now)
	const fresh = time.Second
	loads := NewPeerLoads(table, func() time.Duration { return fresh }, func() time.Time { return now })
	loads.Heard("a", map[string]Load{"i-1": {Running: 2, Prompt: 5}})
	loads.Heard("b", map[string]Load{"i-1": {Running: 3, Prompt: 7}, "i-9": {Running: 1}})
	g.Expect(e.Total()).To(Equal(Load{Running: 6, Prompt: 22}))
	loads.Heard("b", nil)
	g.Expect(e.Total()).To(Equal(Load{Running: 3, Prompt: 15}), "a newer word replaces the older one")
	now = now.Add(fresh + time.Millisecond)
	loads.Heard("b", nil)
	g.Expect(e.Total()).To(Equal(Load{Running: 1, Prompt: 10}), "a silent peer's load is forgotten")
}

// TestWhatAnEndpointHasReadIsNoWaitAnyMore follows one prompt behind another one:
// time passes, and with each answer the next prompt begins.
func TestWhatAnEndpointHasReadIsNoWaitAnyMore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	table := NewTable(func() {})
	table.Put(info("i-1"))
	e, _ := table.ByID("i-1")
	const token = time.Millisecond
	e.Begin(100, now)
	e.Begin(200, now)
	g.Expect(e.Unread(token, now)).To(Equal(300))
	now = now.Add(60 * token)
	g.Expect(e.Unread(token, now)).To(Equal(240))
	now = now.Add(60 * token)
	e.Answered(100, now) // it took longer than expected
	g.Expect(e.Unread(token, now)).To(Equal(200))
	e.SetPeers(Load{Running: 1, Prompt: 50}, now)
	now = now.Add(100 * token)
	g.Expect(e.Unread(token, now)).To(Equal(150))
	now = now.Add(time.Second)
	g.Expect(e.Unread(token, now)).To(BeZero(), "never less than nothing")
	g.Expect(e.Unread(0, now)).To(Equal(250), "at an unknown speed nothing counts as read")
}

// followed is a follower over a store in memory.
type followed struct {
	store  *memstore.Store
	table  *Table
	down   atomic.Bool
	cancel func()
	done   chan error
}

func follow() *followed {
	f := &followed{store: memstore.New(), table: NewTable(func() {}), done: make(chan error, 1)}
	f.store.SetHook(func(memstore.Op, string) memstore.Fault {
		if f.down.Load() {
			return memstore.FaultUnavailable
		}
		return memstore.FaultNone
	})
	follower := NewFollower(FollowerOptions{
		Store: f.store, Prefix: "eps/", Table: f.table, Now: time.Now, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Decode: func(key string, value []byte) (Info, error) {
			var i Info
			if err := json.Unmarshal(value, &i); err != nil {
				return i, errors.New("unreadable")
			}
			i.ID = key[len("eps/"):]
			return i, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() { f.done <- follower.Run(ctx) }()
	return f
}

func (f *followed) write(id, value string) {
	ctx := context.Background()
	if o, err := f.store.Get(ctx, "eps/"+id); err == nil {
		_, _ = f.store.Update(ctx, "eps/"+id, []byte(value), o.Version)
	} else {
		_, _ = f.store.Create(ctx, "eps/"+id, []byte(value))
	}
}

func (f *followed) remove(id string) {
	ctx := context.Background()
	o, _ := f.store.Get(ctx, "eps/"+id)
	_ = f.store.Delete(ctx, "eps/"+id, o.Version)
}

func (f *followed) stop() {
	f.cancel()
	<-f.done
}

const ready = `{"Service":"s1","Addr":"10.0.0.1:80","Born":1}`

func TestARemovedRegistrationEndsTheEndpointAtOnceInHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := follow()
		defer f.stop()
		f.write("i-1", ready)
		f.write("i-2", ready)
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"i-1", "i-2"}))
		f.remove("i-1")
		time.Sleep(groupPause + time.Millisecond)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"i-2"}))
	})
}

// TestRegistrationsThatLapsedInAnOutage checks the grace from the store's
// return: living endpoints come back in it, the others are gone after it.
func TestRegistrationsThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := follow()
		defer f.stop()
		f.write("i-1", ready)
		f.write("i-2", ready)
		time.Sleep(time.Second)
		f.write("unused", ready) // ends the waiting watch, so that the outage is noticed
		f.down.Store(true)
		time.Sleep(2 * time.Second)
		f.down.Store(false)
		f.remove("i-1")
		f.remove("i-2")
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(ContainElements("i-1", "i-2"), "lapsed ones are kept for a while")
		f.write("i-2", ready)
		time.Sleep(lapseGrace)
		g.Expect(ids(f.table.Service("s1"))).To(ContainElement("i-2"))
		g.Expect(ids(f.table.Service("s1"))).NotTo(ContainElement("i-1"))
	})
}

// TestAnEndpointThatLeftDuringACutIsGoneInTime cuts a follower off from the store, whose
// calls hang for their whole time then, and has an endpoint leave meanwhile: at
// whichever moment the cut ends, the endpoint gets nothing three seconds later.
func TestAnEndpointThatLeftDuringACutIsGoneInTime(t *testing.T) {
	const (
		callTimeout = 600 * time.Millisecond
		inTouch     = 3 * time.Second
	)
	for phase := time.Duration(0); phase < 2*time.Second; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := follow()
			defer f.stop()
			f.store.SetHook(func(memstore.Op, string) memstore.Fault {
				if !f.down.Load() {
					return memstore.FaultNone
				}
				time.Sleep(callTimeout)
				return memstore.FaultUnavailable
			})
			f.write("i-1", ready)
			f.write("i-2", ready)
			time.Sleep(time.Second)
			f.write("unused", ready) // ends the waiting watch
			f.down.Store(true)
			time.Sleep(5*time.Second + phase)
			f.down.Store(false)
			f.remove("i-1")
			time.Sleep(inTouch)
			g.Expect(ids(f.table.Service("s1"))).NotTo(ContainElement("i-1"), phase.String())
			g.Expect(ids(f.table.Service("s1"))).To(ContainElement("i-2"), phase.String())
		})
	}
}

// TestAStoreThatWentBackBringsNothingBackThatHasLeft has the store come back from a
// copy in which one endpoint, that has left since, is ready, and another one, that
// lives, is missing.
func TestAStoreThatWentBackBringsNothingBackThatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := follow()
		defer f.stop()
		f.write("left", ready)
		copied := f.store.Snapshot()
		f.write("lives", ready)
		time.Sleep(time.Second)
		f.write("left", `{"Service":"s1","Addr":"10.0.0.1:80","Born":1,"Leaving":true}`)
		time.Sleep(time.Second)
		f.remove("left")
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"lives"}))
		f.store.RollBack(copied)
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"lives"}), "it has its time to come back")
		f.write("lives", ready)
		time.Sleep(lapseGrace)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"lives"}))
		f.write("left", `{"Service":"s1","Addr":"10.0.0.1:80","Born":2}`)
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"left", "lives"}), "a new start of it")
	})
}

func TestAnUnreadableRegistrationHurtsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := follow()
		defer f.stop()
		f.write("i-1", ready)
		f.write("i-2", ready)
		f.write("i-3", `{"Service":7}`)
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"i-1", "i-2"}))
		f.write("i-2", `nonsense`)
		time.Sleep(time.Second)
		g.Expect(ids(f.table.Service("s1"))).To(Equal([]string{"i-1"}))
	})
}
