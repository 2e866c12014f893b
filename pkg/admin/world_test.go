package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// noFleet is a fleet without entries.
type noFleet struct{}

func (noFleet) Entries(context.Context) ([]api.Entry, error) { return []api.Entry{}, nil }

func (noFleet) Distribute(context.Context, *config.Envelope) (InForce, error) {
	return InForce{Everywhere: true}, nil
}

// verdict is what the scheduler decides for one call to the store.
type verdict int

const (
	pass verdict = iota
	unavailable
	lostAnswer
	lostRequest
	kill
)

// gate is one admin process's view of the store: each call waits for its turn.
type gate struct {
	objectstore.Store
	w    *world
	turn chan verdict
}

func (g *gate) wait() {
	g.w.setWaiting(g, true)
	v := <-g.turn
	if v == kill {
		runtime.Goexit()
	}
	g.w.fault = map[verdict]memstore.Fault{
		pass: memstore.FaultNone, unavailable: memstore.FaultUnavailable,
		lostAnswer: memstore.FaultLostAnswer, lostRequest: memstore.FaultLostRequest,
	}[v]
}

func (g *gate) Get(ctx context.Context, key string) (objectstore.Object, error) {
	g.wait()
	return g.Store.Get(ctx, key)
}

func (g *gate) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	g.wait()
	return g.Store.Create(ctx, key, value)
}

func (g *gate) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	g.wait()
	return g.Store.Update(ctx, key, value, version)
}

// try is one request of an operator.
type try struct {
	writeID  string
	expected uint64
	killed   bool
	status   int
	answer   api.Change
	failure  *api.Error
	done     bool
}

// world holds the store, the tries, and the revisions that were ever stored.
type world struct {
	store *memstore.Store
	// mu guards waiting: processes that wake at the same time arrive together.
	mu      sync.Mutex
	waiting map[*gate]bool
	running map[*gate]*try
	fault   memstore.Fault
	history []config.Envelope
	tries   []*try
}

func (w *world) setWaiting(g *gate, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[g] = waiting
}

func (w *world) isWaiting(g *gate) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waiting[g]
}

func newWorld() *world {
	w := &world{store: memstore.New(), waiting: make(map[*gate]bool), running: make(map[*gate]*try)}
	w.store.SetHook(func(memstore.Op, string) memstore.Fault { return w.fault })
	return w
}

var testOperators = []settings.Operator{
	{Name: "ann", Role: settings.RoleOperate, KeyHashes: []string{config.HashKey("ann-key")}},
	{Name: "bob", Role: settings.RoleOperate, KeyHashes: []string{config.HashKey("bob-key")}},
	{Name: "eve", Role: settings.RoleRead, KeyHashes: []string{config.HashKey("eve-key")}},
}

func testServer(id string, store objectstore.Store, fleet Fleet) *Server {
	return New(Options{
		ID: id, Config: NewConfigStore(store, nil), Fleet: fleet, Trail: audit.New(store, nil), Store: store,
		Operators: auth.New(testOperators), InForceWait: 4 * time.Second, Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()), Now: time.Now,
	})
}

func testDocument(priority int) *config.Document {
	return &config.Document{
		Organisation: "test", DataCentres: []config.DataCentre{{Name: "a", Region: "r"}},
		Classes:       []config.MachineClass{{Name: "cpu", Prices: []config.Price{{DataCentre: "a", OnDemand: 1, Reclaimable: 1}}}},
		Services:      []config.Service{{Name: "beds", Kind: config.KindPlain, Class: "cpu", Priority: priority, BatchLimit: 1}},
		Workspaces:    []config.Workspace{{Name: "w", KeyHashes: []string{config.HashKey("k")}, DataCentres: []string{"a"}, Services: []string{"beds"}, Weight: 1, MaxInFlight: 1}},
		Presets:       []config.Preset{testPreset("ordinary"), testPreset("peak")},
		InitialPreset: "ordinary",
	}
}

func testPreset(name string) config.Preset {
	return config.Preset{Name: name, Capacity: []config.Capacity{{Service: "beds", Min: 1, Max: 2}}}
}

func testRequest(method, path, key, writeID string, expected uint64, body any) *http.Request {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(api.HeaderIfMatch, strconv.FormatUint(expected, 10))
	r.Header.Set(api.HeaderWriteID, writeID)
	return r
}

// start lets a new admin process serve a request.
func (w *world) start(t *try, r *http.Request) {
	g := &gate{Store: w.store, w: w, turn: make(chan verdict)}
	w.tries = append(w.tries, t)
	w.running[g] = t
	server := testServer(fmt.Sprintf("admin-%d", len(w.tries)), g, noFleet{})
	go func() {
		defer func() { t.done = true }()
		out := httptest.NewRecorder()
		server.Handler().ServeHTTP(out, r)
		t.status = out.Code
		var failure api.ErrorBody
		if out.Code < 300 {
			_ = json.Unmarshal(out.Body.Bytes(), &t.answer)
		} else {
			_ = json.Unmarshal(out.Body.Bytes(), &failure)
			t.failure = failure.Error
		}
	}()
	synctest.Wait()
}

// step gives one waiting process its turn and checks what the store holds then.
func (w *world) step(g *gate, v verdict) {
	w.setWaiting(g, false)
	if v == kill {
		w.running[g].killed = true
	}
	g.turn <- v
	synctest.Wait()
	w.fault = memstore.FaultNone
	w.observe()
}

// observe checks that the stored revision is the last one or the one after it.
func (w *world) observe() {
	o, err := w.store.Get(context.Background(), config.Key)
	if err != nil {
		return
	}
	var env config.Envelope
	Expect(json.Unmarshal(o.Value, &env)).To(Succeed())
	last := uint64(len(w.history))
	if env.Revision == last {
		Expect(env.WriteID).To(Equal(w.history[last-1].WriteID), "a revision was written twice")
		return
	}
	Expect(env.Revision).To(Equal(last+1), "revisions must neither skip nor revert")
	_, ok := env.Document.PresetByName(env.Preset)
	Expect(ok).To(BeTrue(), "one declared preset is in force")
	w.history = append(w.history, env)
}

func (w *world) ready() []*gate {
	var out []*gate
	for _, t := range w.tries {
		for g, owner := range w.running {
			if owner == t && w.isWaiting(g) {
				out = append(out, g)
			}
		}
	}
	return out
}

// finish runs everything to its end without faults.
func (w *world) finish() {
	for {
		if ready := w.ready(); len(ready) > 0 {
			w.step(ready[0], pass)
			continue
		}
		open := false
		for _, t := range w.tries {
			open = open || !t.done
		}
		if !open {
			return
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

// applied returns the revision that a write id made, or 0.
func (w *world) applied(writeID string) uint64 {
	var found uint64
	for _, env := range w.history {
		if env.WriteID == writeID {
			Expect(found).To(BeZero(), "a change took effect twice")
			found = env.Revision
		}
	}
	return found
}

// checkAnswers compares what the operators were told with what happened.
func (w *world) checkAnswers() {
	for _, t := range w.tries {
		made := w.applied(t.writeID)
		switch {
		case t.killed:
		case t.status == http.StatusOK && !t.answer.Unchanged:
			Expect(made).To(Equal(t.expected+1), "an accepted change made its revision")
			Expect(t.answer.Revision).To(Equal(made))
		case t.status == http.StatusConflict, t.status == http.StatusUnprocessableEntity, t.status == http.StatusForbidden:
			Expect(made).To(BeZero(), "a refused change took effect: %v", t.failure)
		case t.status == http.StatusServiceUnavailable && w.triesOf(t.writeID) == 1:
			Expect(made).To(BeZero(), "nothing was changed, it was said: %v", t.failure)
		}
	}
}

func (w *world) triesOf(writeID string) int {
	n := 0
	for _, t := range w.tries {
		if t.writeID == writeID {
			n++
		}
	}
	return n
}

// checkAudit compares the trail with what happened.
func (w *world) checkAudit() {
	trail := audit.New(w.store, nil)
	var env *config.Envelope
	if n := len(w.history); n > 0 {
		env = &w.history[n-1]
	}
	records, err := trail.List(context.Background(), env, MaxAuditLimit)
	Expect(err).NotTo(HaveOccurred())
	byID := make(map[string]audit.Record)
	for _, r := range records {
		Expect(byID).NotTo(HaveKey(r.ID), "a record stands twice")
		byID[r.ID] = r
		made := w.applied(r.ID)
		switch r.Outcome {
		case audit.Applied:
			Expect(made).To(Equal(r.To))
		case audit.Unknown:
			Expect(made).To(BeZero(), "a change that took effect is settled")
		default:
			Expect(made).To(BeZero(), "%s but took effect", r.Outcome)
		}
	}
	for _, e := range w.history {
		Expect(byID[e.WriteID].Outcome).To(Equal(audit.Applied), "revision %d has its record", e.Revision)
		Expect(byID[e.WriteID].To).To(Equal(e.Revision))
	}
}
