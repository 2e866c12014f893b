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

// emptyFleet is a Fleet without entries.
type emptyFleet struct{}

func (emptyFleet) Entries(context.Context) ([]api.Entry, error) { return []api.Entry{}, nil }

func (emptyFleet) Distribute(context.Context, *config.Envelope) (InForce, error) {
	return InForce{Everywhere: true}, nil
}

// decision is the outcome that the simulation chooses for one call to the store.
type decision int

const (
	pass decision = iota
	unavailable
	lostAnswer
	lostRequest
	kill
)

// gatedStore is one admin process's access to the store: each call blocks until
// the simulation decides its outcome.
type gatedStore struct {
	objectstore.Store
	sim       *simulation
	decisions chan decision
}

func (g *gatedStore) awaitTurn() {
	g.sim.setWaiting(g, true)
	d := <-g.decisions
	if d == kill {
		runtime.Goexit()
	}
	g.sim.fault = map[decision]memstore.Fault{
		pass: memstore.FaultNone, unavailable: memstore.FaultUnavailable,
		lostAnswer: memstore.FaultLostAnswer, lostRequest: memstore.FaultLostRequest,
	}[d]
}

func (g *gatedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	g.awaitTurn()
	return g.Store.Get(ctx, key)
}

func (g *gatedStore) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	g.awaitTurn()
	return g.Store.Create(ctx, key, value)
}

func (g *gatedStore) Update(ctx context.Context, key string, value []byte, version uint64) (objectstore.Object, error) {
	g.awaitTurn()
	return g.Store.Update(ctx, key, value, version)
}

// attempt is one request of an operator.
type attempt struct {
	writeID  string
	expected uint64
	killed   bool
	status   int
	answer   api.Change
	failure  *api.Error
	done     bool
}

// simulation runs admin processes on one store and keeps their attempts and all
// revisions that were stored.
type simulation struct {
	store *memstore.Store
	// mu guards waiting, which processes modify concurrently.
	mu       sync.Mutex
	waiting  map[*gatedStore]bool
	running  map[*gatedStore]*attempt
	fault    memstore.Fault
	history  []config.Envelope
	attempts []*attempt
}

func (s *simulation) setWaiting(g *gatedStore, waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[g] = waiting
}

func (s *simulation) isWaiting(g *gatedStore) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[g]
}

func newSimulation() *simulation {
	s := &simulation{store: memstore.New(), waiting: make(map[*gatedStore]bool), running: make(map[*gatedStore]*attempt)}
	s.store.SetHook(func(memstore.Op, string) memstore.Fault { return s.fault })
	return s
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

// start serves a request in a new admin process.
func (s *simulation) start(a *attempt, r *http.Request) {
	g := &gatedStore{Store: s.store, sim: s, decisions: make(chan decision)}
	s.attempts = append(s.attempts, a)
	s.running[g] = a
	server := testServer(fmt.Sprintf("admin-%d", len(s.attempts)), g, emptyFleet{})
	go func() {
		defer func() { a.done = true }()
		out := httptest.NewRecorder()
		server.Handler().ServeHTTP(out, r)
		a.status = out.Code
		var failure api.ErrorBody
		if out.Code < 300 {
			_ = json.Unmarshal(out.Body.Bytes(), &a.answer)
		} else {
			_ = json.Unmarshal(out.Body.Bytes(), &failure)
			a.failure = failure.Error
		}
	}()
	synctest.Wait()
}

// step lets one waiting process continue and then checks the stored revision.
func (s *simulation) step(g *gatedStore, d decision) {
	s.setWaiting(g, false)
	if d == kill {
		s.running[g].killed = true
	}
	g.decisions <- d
	synctest.Wait()
	s.fault = memstore.FaultNone
	s.checkStored()
}

// checkStored checks that the stored revision is the last known one or its successor.
func (s *simulation) checkStored() {
	o, err := s.store.Get(context.Background(), config.Key)
	if err != nil {
		return
	}
	var env config.Envelope
	Expect(json.Unmarshal(o.Value, &env)).To(Succeed())
	last := uint64(len(s.history))
	if env.Revision == last {
		Expect(env.WriteID).To(Equal(s.history[last-1].WriteID), "a revision was written twice")
		return
	}
	Expect(env.Revision).To(Equal(last+1), "revisions must neither skip nor revert")
	_, ok := env.Document.PresetByName(env.Preset)
	Expect(ok).To(BeTrue(), "one declared preset is in force")
	s.history = append(s.history, env)
}

func (s *simulation) ready() []*gatedStore {
	var out []*gatedStore
	for _, a := range s.attempts {
		for g, owner := range s.running {
			if owner == a && s.isWaiting(g) {
				out = append(out, g)
			}
		}
	}
	return out
}

// runToEnd runs all attempts to completion without faults.
func (s *simulation) runToEnd() {
	for {
		if ready := s.ready(); len(ready) > 0 {
			s.step(ready[0], pass)
			continue
		}
		open := false
		for _, a := range s.attempts {
			open = open || !a.done
		}
		if !open {
			return
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

// revisionOf returns the revision that a write id created, or 0.
func (s *simulation) revisionOf(writeID string) uint64 {
	var found uint64
	for _, env := range s.history {
		if env.WriteID == writeID {
			Expect(found).To(BeZero(), "a change took effect twice")
			found = env.Revision
		}
	}
	return found
}

// checkResponses compares the responses to the operators with the stored revisions.
func (s *simulation) checkResponses() {
	for _, a := range s.attempts {
		created := s.revisionOf(a.writeID)
		switch {
		case a.killed:
		case a.status == http.StatusOK && !a.answer.Unchanged:
			Expect(created).To(Equal(a.expected+1), "an accepted change must create its revision")
			Expect(a.answer.Revision).To(Equal(created))
		case a.status == http.StatusConflict, a.status == http.StatusUnprocessableEntity, a.status == http.StatusForbidden:
			Expect(created).To(BeZero(), "a refused change took effect: %v", a.failure)
		case a.status == http.StatusServiceUnavailable && s.attemptsOf(a.writeID) == 1:
			Expect(created).To(BeZero(), "a change took effect though it was reported as not made: %v", a.failure)
		}
	}
}

func (s *simulation) attemptsOf(writeID string) int {
	n := 0
	for _, a := range s.attempts {
		if a.writeID == writeID {
			n++
		}
	}
	return n
}

// checkAudit compares the audit trail with the stored revisions.
func (s *simulation) checkAudit() {
	trail := audit.New(s.store, nil)
	var env *config.Envelope
	if n := len(s.history); n > 0 {
		env = &s.history[n-1]
	}
	records, err := trail.List(context.Background(), env, MaxAuditLimit)
	Expect(err).NotTo(HaveOccurred())
	byID := make(map[string]audit.Record)
	for _, r := range records {
		Expect(byID).NotTo(HaveKey(r.ID), "a record is listed twice")
		byID[r.ID] = r
		created := s.revisionOf(r.ID)
		switch r.Outcome {
		case audit.Applied:
			Expect(created).To(Equal(r.To))
		case audit.Unknown:
			Expect(created).To(BeZero(), "a change that took effect must be settled")
		default:
			Expect(created).To(BeZero(), "recorded as %s, but took effect", r.Outcome)
		}
	}
	for _, e := range s.history {
		Expect(byID[e.WriteID].Outcome).To(Equal(audit.Applied), "revision %d must have a record", e.Revision)
		Expect(byID[e.WriteID].To).To(Equal(e.Revision))
	}
}
