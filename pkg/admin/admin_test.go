package admin

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/bubble"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/entrystate"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// call sends a request and decodes the response.
func call(s *Server, r *http.Request, out any) (int, *api.Error) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if w.Code < 300 {
		_ = json.Unmarshal(w.Body.Bytes(), out)
		return w.Code, nil
	}
	var failure api.ErrorBody
	_ = json.Unmarshal(w.Body.Bytes(), &failure)
	return w.Code, failure.Error
}

func putRequest(path, key, id string, expected uint64, body any) *http.Request {
	return testRequest(http.MethodPut, path, key, id, expected, body)
}

// seededStore returns a store that holds revision 1.
func seededStore(g *WithT, priority int) *memstore.Store {
	store := memstore.New()
	status, failure := call(testServer("seed", store, emptyFleet{}), putRequest(api.PathConfig, "ann-key", "seed", 0, testDocument(priority)), &api.Change{})
	g.Expect(status).To(Equal(http.StatusOK), "%v", failure)
	return store
}

func auditRecords(g *WithT, store *memstore.Store) []audit.Record {
	var out api.Audit
	status, _ := call(testServer("reader", store, emptyFleet{}), testRequest(http.MethodGet, api.PathAudit, "eve-key", "", 0, nil), &out)
	g.Expect(status).To(Equal(http.StatusOK))
	return out.Records
}

func TestServer_ChecksKeysAndRoles(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	s := testServer("admin", store, emptyFleet{})
	status, failure := call(s, putRequest(api.PathPreset, "eve-key", "", 1, api.SwitchPreset{Preset: "peak"}), nil)
	g.Expect(status).To(Equal(http.StatusForbidden))
	g.Expect(failure.Code).To(Equal(api.CodeForbidden))
	status, _ = call(s, putRequest(api.PathConfig, "eve-key", "", 1, testDocument(2)), nil)
	g.Expect(status).To(Equal(http.StatusForbidden))
	for _, key := range []string{"", "wrong"} {
		status, _ = call(s, putRequest(api.PathPreset, key, "", 1, api.SwitchPreset{Preset: "peak"}), nil)
		g.Expect(status).To(Equal(http.StatusUnauthorized))
	}
	var got api.Config
	status, _ = call(s, testRequest(http.MethodGet, api.PathConfig, "eve-key", "", 0, nil), &got)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(got.Revision).To(Equal(uint64(1)), "nothing was changed")
	trail := auditRecords(g, store)
	g.Expect(trail).To(HaveLen(3), "both refusals and the first change are recorded, requests with unknown keys are not")
	g.Expect(trail[0].Operator).To(Equal("eve"))
	g.Expect(trail[0].Outcome).To(Equal(audit.Refused))
}

func TestPutPreset_RequiresIfMatch(t *testing.T) {
	g := NewWithT(t)
	r := putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"})
	r.Header.Del(api.HeaderIfMatch)
	status, failure := call(testServer("admin", seededStore(g, 1), emptyFleet{}), r, nil)
	g.Expect(status).To(Equal(http.StatusPreconditionFailed))
	g.Expect(failure.Code).To(Equal(api.CodeIfMatchMissing))
}

func TestPutConfig_ErrorNamesLineAndField(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	doc := testDocument(1)
	doc.Workspaces[0].DataCentres = []string{"nowhere"}
	r := putRequest(api.PathConfig, "ann-key", "", 1, doc)
	r.Header.Set(api.HeaderFile, "new.json")
	status, failure := call(testServer("admin", store, emptyFleet{}), r, nil)
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(failure.Problems).To(ContainElement(And(
		HaveField("File", "new.json"), HaveField("Line", 1), HaveField("Field", "workspaces[0].data_centres[0]"))))
	trail := auditRecords(g, store)
	g.Expect(trail[0].Outcome).To(Equal(audit.Refused))
	g.Expect(trail[0].Detail).To(ContainSubstring("workspaces[0].data_centres[0]"))
}

func TestPutConfig_RejectsRemovalOfPresetInForce(t *testing.T) {
	g := NewWithT(t)
	s := testServer("admin", seededStore(g, 1), emptyFleet{})
	status, _ := call(s, putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"}), &api.Change{})
	g.Expect(status).To(Equal(http.StatusOK))
	doc := testDocument(1)
	doc.Presets = doc.Presets[:1]
	status, failure := call(s, putRequest(api.PathConfig, "ann-key", "", 2, doc), nil)
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(failure.Problems).To(ConsistOf(HaveField("Field", "presets")))
}

// TestPutPreset_FailsIfAuditRecordIsNotStored makes the audit trail fail while the
// configuration could be written.
func TestPutPreset_FailsIfAuditRecordIsNotStored(t *testing.T) {
	bubble.Run(t, func() {
		g := NewWithT(t)
		store := seededStore(g, 1)
		store.SetHook(func(_ memstore.Op, key string) memstore.Fault {
			if key == config.Key {
				return memstore.FaultNone
			}
			return memstore.FaultUnavailable
		})
		s := testServer("admin", store, emptyFleet{})
		status, failure := call(s, putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"}), nil)
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(failure.Code).To(Equal(api.CodeAuditUnavailable))
		stored, err := s.Config.Read(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stored.Revision()).To(Equal(uint64(1)))
	})
}

// TestPutPreset_ResolvesLostWriteResponse loses the request or the response of the
// configuration write and checks that the change is reported as applied.
func TestPutPreset_ResolvesLostWriteResponse(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.FaultLostAnswer, memstore.FaultLostRequest} {
		bubble.Run(t, func() {
			g := NewWithT(t)
			store := seededStore(g, 1)
			faultsLeft := 1
			store.SetHook(func(op memstore.Op, key string) memstore.Fault {
				if op != memstore.OpUpdate || key != config.Key || faultsLeft == 0 {
					return memstore.FaultNone
				}
				faultsLeft--
				return fault
			})
			var out api.Change
			status, failure := call(testServer("admin", store, emptyFleet{}), putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"}), &out)
			g.Expect(status).To(Equal(http.StatusOK), "%v", failure)
			g.Expect(out.Revision).To(Equal(uint64(2)))
			g.Expect(auditRecords(g, store)[0].Outcome).To(Equal(audit.Applied))
		})
	}
}

// TestPutPreset_SettlesUnknownOutcomeAfterOutage starts an outage with a lost
// response to the write, and checks that the audit record is settled after the outage.
func TestPutPreset_SettlesUnknownOutcomeAfterOutage(t *testing.T) {
	bubble.Run(t, func() {
		g := NewWithT(t)
		store := seededStore(g, 1)
		down := false
		store.SetHook(func(op memstore.Op, key string) memstore.Fault {
			switch {
			case down:
				return memstore.FaultUnavailable
			case op == memstore.OpUpdate && key == config.Key:
				down = true
				return memstore.FaultLostAnswer
			}
			return memstore.FaultNone
		})
		s := testServer("admin", store, emptyFleet{})
		status, failure := call(s, putRequest(api.PathPreset, "ann-key", "doubt", 1, api.SwitchPreset{Preset: "peak"}), nil)
		g.Expect(status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(failure.WriteID).To(Equal("doubt"))
		store.SetHook(nil)
		g.Expect(auditRecords(g, store)[0].Outcome).To(Equal(audit.Applied))
		var out api.Change
		status, _ = call(s, putRequest(api.PathPreset, "ann-key", "doubt", 1, api.SwitchPreset{Preset: "peak"}), &out)
		g.Expect(status).To(Equal(http.StatusOK), "a retry returns the result of the first attempt")
		g.Expect(out.Revision).To(Equal(uint64(2)))
	})
}

// TestFleet_QueriesEntriesDuringOutage checks that entries are still queried while
// their registrations can't be read.
func TestFleet_QueriesEntriesDuringOutage(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	_, err := store.Create(context.Background(), "members/e1", []byte(`{"id":"e1","addr":"e1"}`))
	g.Expect(err).NotTo(HaveOccurred())
	fleet := NewFleet(store, fakePeers{"e1": {id: "e1", revision: 1}}, slog.New(slog.DiscardHandler))
	entries, err := fleet.Entries(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
	store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
	entries, err = fleet.Entries(context.Background())
	g.Expect(err).To(MatchError(ErrStore))
	g.Expect(entries).To(ConsistOf(And(HaveField("ID", "e1"), HaveField("Revision", uint64(1)))))
	_, err = fleet.Distribute(context.Background(), &config.Envelope{Revision: 1})
	g.Expect(err).To(MatchError(ErrStore), "a change needs the current registrations")
}

// fakePeers simulates entries by address; calls to other addresses fail. A pushed
// revision is in force at once on entries that aren't stuck.
type fakePeers map[string]*fakeEntry

type fakeEntry struct {
	id       string
	revision uint64
	// stuck entries respond, but do not apply new revisions.
	stuck bool
}

func (p fakePeers) CallAddr(_ context.Context, addr, _ string, args, reply any) error {
	e, ok := p[addr]
	if !ok {
		return errors.New("no answer")
	}
	switch out := reply.(type) {
	case *entrystate.Report:
		*out = entrystate.Report{ID: e.id, Revision: e.revision, Ready: true}
	case *revision.Answer:
		var env config.Envelope
		if err := json.Unmarshal(args.(revision.Envelope).JSON, &env); err != nil {
			return err
		}
		if !e.stuck {
			e.revision = max(e.revision, env.Revision)
		}
		*out = revision.Answer{Revision: e.revision, Confirmed: true, Voter: true, Group: len(p)}
	}
	return nil
}

// TestPutPreset_WaitsUntilInForce checks the waiting time and the response of a
// change if all entries apply it, if one is unreachable, and if one does not apply it.
func TestPutPreset_WaitsUntilInForce(t *testing.T) {
	for name, c := range map[string]struct {
		peers   fakePeers
		status  int
		missing []string
		wait    time.Duration
	}{
		"all apply it": {
			peers:  fakePeers{"e1": {id: "e1"}, "e2": {id: "e2"}, "e3": {id: "e3"}},
			status: http.StatusOK,
		},
		"one is unreachable and refuses new work": {
			peers:  fakePeers{"e1": {id: "e1"}, "e2": {id: "e2"}},
			status: http.StatusOK, missing: []string{"e3"}, wait: revision.MaxConfirmationAge,
		},
		"one is unreachable and one does not apply it": {
			peers:  fakePeers{"e1": {id: "e1"}, "e2": {id: "e2", stuck: true}},
			status: http.StatusAccepted, missing: []string{"e2", "e3"}, wait: 4 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func() {
				g := NewWithT(t)
				store := seededStore(g, 1)
				for _, id := range []string{"e1", "e2", "e3"} {
					_, err := store.Create(context.Background(), "members/"+id, []byte(`{"id":"`+id+`","addr":"`+id+`","group":3}`))
					g.Expect(err).NotTo(HaveOccurred())
				}
				s := testServer("admin", store, NewFleet(store, c.peers, slog.New(slog.DiscardHandler)))
				var out api.Change
				begin := time.Now()
				status, failure := call(s, putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"}), &out)
				g.Expect(status).To(Equal(c.status), "%v", failure)
				var missing []string
				for _, e := range out.Missing {
					missing = append(missing, e.ID)
				}
				g.Expect(missing).To(Equal(c.missing))
				g.Expect(time.Since(begin)).To(BeNumerically("~", c.wait, 200*time.Millisecond))
			})
		})
	}
}

// TestPutPreset_ObjectAPICalls checks that a change makes the number of calls to
// the object store that docs/API.md states.
func TestPutPreset_ObjectAPICalls(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	before := store.Calls()
	s := testServer("admin", store, NewFleet(store, fakePeers{}, slog.New(slog.DiscardHandler)))
	status, _ := call(s, putRequest(api.PathPreset, "ann-key", "", 1, api.SwitchPreset{Preset: "peak"}), &api.Change{})
	g.Expect(status).To(Equal(http.StatusOK))
	after := store.Calls()
	calls := func(op memstore.Op) int { return after[op] - before[op] }
	g.Expect([]int{calls(memstore.OpGet), calls(memstore.OpUpdate), calls(memstore.OpCreate), calls(memstore.OpList)}).To(Equal([]int{3, 3, 0, 1}))
}

// TestAudit_LimitsRateOfRefusals checks that refused requests of a read-only
// operator can't fill the audit trail.
func TestAudit_LimitsRateOfRefusals(t *testing.T) {
	bubble.Run(t, func() {
		g := NewWithT(t)
		store := seededStore(g, 1)
		s := testServer("admin", store, emptyFleet{})
		for range 10 * refusalBurst {
			call(s, putRequest(api.PathPreset, "eve-key", "", 1, api.SwitchPreset{Preset: "peak"}), nil)
		}
		g.Expect(len(auditRecords(g, store))).To(BeNumerically("<=", refusalBurst+1))
	})
}

// TestPutConfig_AppliesRepeatedChangeOnce repeats a change with its write id, and
// then reuses the write id for another change.
func TestPutConfig_AppliesRepeatedChangeOnce(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	s := testServer("admin", store, emptyFleet{})
	for range 2 {
		var out api.Change
		status, _ := call(s, putRequest(api.PathConfig, "ann-key", "again", 1, testDocument(2)), &out)
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(out.Revision).To(Equal(uint64(2)))
	}
	status, _ := call(s, putRequest(api.PathConfig, "ann-key", "again", 1, testDocument(3)), nil)
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity), "the write id belongs to another change")
	g.Expect(auditRecords(g, store)).To(HaveLen(2))
}

func TestPutConfig_DoesNotDiscloseKeys(t *testing.T) {
	g := NewWithT(t)
	store := seededStore(g, 1)
	doc := testDocument(1)
	doc.Workspaces[0].KeyHashes = []string{config.HashKey("another-key")}
	var out api.Change
	_, failure := call(testServer("admin", store, emptyFleet{}), putRequest(api.PathConfig, "ann-key", "", 1, doc), &out)
	g.Expect(failure).To(BeNil())
	g.Expect(out.Changes).To(HaveLen(1))
	objects, err := store.List(context.Background(), audit.Prefix)
	g.Expect(err).NotTo(HaveOccurred())
	for _, o := range objects {
		g.Expect(string(o.Value)).NotTo(ContainSubstring(config.HashKey("another-key")))
		g.Expect(string(o.Value)).NotTo(ContainSubstring("ann-key"))
	}
	g.Expect(out.Changes[0].To).NotTo(ContainSubstring(config.HashKey("another-key")))
}

func TestServer_RefusesOversizedBody(t *testing.T) {
	g := NewWithT(t)
	s := testServer("admin", seededStore(g, 1), emptyFleet{})
	status, _ := call(s, putRequest(api.PathConfig, "ann-key", "", 1, string(make([]byte, MaxBodyBytes))), nil)
	g.Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	var check api.Check
	status, _ = call(s, testRequest(http.MethodPost, api.PathCheck, "eve-key", "", 0, map[string]int{"organisation": 1}), &check)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(check.Valid).To(BeFalse())
	g.Expect(strictjson.Problems(check.Problems).Error()).To(ContainSubstring("organisation: must be a string, not a number"))
}
