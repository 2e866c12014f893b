package load_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/load"
	"github.com/medlarsill/medlarsill/pkg/openai"
	"github.com/medlarsill/medlarsill/pkg/standin"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	"github.com/medlarsill/medlarsill/pkg/standin/plainserver"
)

// fakeSystem is an http.RoundTripper that acts as entry server and platform.
type fakeSystem struct {
	mu   sync.Mutex
	runs map[string]int
	// runsRepeats makes non-idempotent work run once per request, ignoring the
	// idempotency key.
	runsRepeats bool
	// runsElsewhere makes model requests run in a data centre that no workspace allows.
	runsElsewhere bool
	dataCentres   map[string][]string
}

// RoundTrip implements http.RoundTripper.
func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/accounting":
		_ = json.NewEncoder(w).Encode(standin.Accounting{})
	case r.URL.Path == "/runs":
		_ = json.NewEncoder(w).Encode(f.runs)
	case r.URL.Path == "/attempts":
		_ = json.NewEncoder(w).Encode(f.dataCentres)
	case strings.HasPrefix(r.URL.Path, "/services/"):
		f.servePlain(w, r)
	default:
		f.serveModel(w, r)
	}
	return w.Result(), nil
}

func (f *fakeSystem) servePlain(w *httptest.ResponseRecorder, r *http.Request) {
	item := r.URL.Query().Get("item")
	if r.Method == http.MethodPost && (f.runsRepeats || f.runs[item] == 0) {
		f.runs[item]++
	}
	_ = json.NewEncoder(w).Encode(plainserver.WorkRequest{Item: item})
}

func (f *fakeSystem) serveModel(w *httptest.ResponseRecorder, r *http.Request) {
	var body openai.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	call := &load.Call{Model: body.Model}
	for _, m := range body.Messages {
		call.Messages = append(call.Messages, engine.Message{Role: m.Role, Content: string(m.Content)})
	}
	if f.runsElsewhere {
		f.dataCentres[r.Header.Get("Medlarsill-Request-Id")] = []string{"elsewhere"}
	}
	if body.Stream {
		(&fakeEntry{call: call}).serve(w, r)
		return
	}
	text := modelserver.Answer(call.Model, call.Messages, 0)
	_ = json.NewEncoder(w).Encode(openai.ChatCompletion{Choices: []openai.ChatChoice{{Message: openai.ChatMessage{Content: openai.Content(text)}}}})
}

// TestRun_DetectsViolations runs a scenario against a system that either keeps
// all guarantees or violates one, and checks the reported violations.
func TestRun_DetectsViolations(t *testing.T) {
	for _, c := range []struct {
		name                       string
		runsRepeats, runsElsewhere bool
		want                       load.Guarantee
	}{{"guarantees kept", false, false, ""}, {"work runs twice", true, false, load.GuaranteeAtMostOnce}, {"other data centre", false, true, load.GuaranteeDataCentre}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := &fakeSystem{runs: make(map[string]int), dataCentres: make(map[string][]string), runsRepeats: c.runsRepeats, runsElsewhere: c.runsElsewhere}
				client := &http.Client{Transport: f}
				doc := &config.Document{DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b"}}}
				scenario, err := load.NewScenario(load.ScenarioOrdinary, doc, load.Demand{Rate: 5, Duration: time.Minute})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				run := load.Run{
					Scenario: scenario, Profile: load.Szallashallo(), Document: doc, Seed: 1, Speed: 1,
					Client:   load.NewClient([]string{"http://one", "http://two"}, client, time.Minute),
					Platform: load.NewPlatformClient("http://platform", client),
				}
				s, err := run.Execute(t.Context())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(s.Calls).To(gomega.BeNumerically(">", 100))
				g.Expect(s.Outcomes[load.OutcomeDone]).To(gomega.Equal(s.Calls))
				if c.want == "" {
					g.Expect(s.Violations).To(gomega.BeEmpty())
					return
				}
				g.Expect(s.Violations).NotTo(gomega.BeEmpty())
				for _, v := range s.Violations {
					g.Expect(v.Guarantee).To(gomega.Equal(c.want))
				}
			})
		})
	}
}
