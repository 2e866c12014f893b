package load_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/load"
	"github.com/medlarsill/medlarsill/pkg/openai"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// fakeEntry is an http.RoundTripper that serves streams with an injected fault.
type fakeEntry struct {
	call  *load.Call
	fault string
	// connections counts the connections so far.
	connections int
}

// RoundTrip implements http.RoundTripper.
func (f *fakeEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	f.connections++
	w := httptest.NewRecorder()
	f.serve(w, r)
	return w.Result(), nil
}

func (f *fakeEntry) serve(w *httptest.ResponseRecorder, r *http.Request) {
	hash := modelserver.PromptHash(f.call.Model, f.call.Messages)
	n, _ := modelserver.AnswerLength(hash, 0)
	from, end := 0, n
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		_, _ = fmt.Sscan(id, &from)
		from++
	}
	if f.fault == "cut" && f.connections == 1 || f.fault == "truncate" {
		end = n / 2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < end; i++ {
		text := modelserver.TokenText(hash, i)
		switch {
		case f.fault == "gap" && i == n/2:
			continue
		case f.fault == "repeat" && i == n/2:
			writeEvent(w, i, text)
		case f.fault == "other" && i == n/2:
			text = "other "
		}
		writeEvent(w, i, text)
	}
	if f.fault != "cut" || f.connections > 1 {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func writeEvent(w *httptest.ResponseRecorder, i int, text string) {
	data, _ := json.Marshal(openai.ChatChunk{Choices: []openai.ChatChunkChoice{{Delta: openai.ChatDelta{Content: text}}}})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
}

// TestClient_DetectsBrokenStreams checks the violation that the client reports
// for each fault in a stream.
func TestClient_DetectsBrokenStreams(t *testing.T) {
	for fault, want := range map[string]load.Guarantee{
		"none": "", "cut": "", "gap": load.GuaranteeComplete, "repeat": load.GuaranteeComplete,
		"truncate": load.GuaranteeComplete, "other": load.GuaranteeOwnText,
	} {
		t.Run(fault, func(t *testing.T) {
			g := gomega.NewWithT(t)
			call := &load.Call{ID: "r", Kind: load.KindChat, Model: "m", Stream: true, Messages: []engine.Message{{Role: "user", Content: "hi"}}}
			c := load.NewClient([]string{"http://entry"}, &http.Client{Transport: &fakeEntry{call: call, fault: fault}}, time.Minute)
			result := c.Do(t.Context(), call)
			if want == "" {
				g.Expect(c.Violations()).To(gomega.BeEmpty())
				g.Expect(result.Outcome).To(gomega.Equal(load.OutcomeDone))
				return
			}
			g.Expect(c.Violations()).To(gomega.ContainElement(gomega.HaveField("Guarantee", want)))
		})
	}
}

// TestClient_TakesOutcomeFromRunHeader checks the outcome of error responses
// with each value of the run header.
func TestClient_TakesOutcomeFromRunHeader(t *testing.T) {
	for run, want := range map[apierror.RunStatus]load.Outcome{
		apierror.NotRun: load.OutcomeRefused, apierror.RunUnknown: load.OutcomeUnknown, apierror.Ran: load.OutcomeFailed, "": load.OutcomeUnknown,
	} {
		g := gomega.NewWithT(t)
		refuse := roundTripFunc(func(*http.Request) *http.Response {
			w := httptest.NewRecorder()
			(&apierror.Error{Status: http.StatusServiceUnavailable, Code: "c", Run: run}).Write(w)
			return w.Result()
		})
		c := load.NewClient([]string{"http://entry"}, &http.Client{Transport: refuse}, time.Minute)
		result := c.Do(t.Context(), &load.Call{ID: "r", Kind: load.KindHold, Item: "i"})
		g.Expect(result.Outcome).To(gomega.Equal(want))
		g.Expect(result.Code).To(gomega.Equal("c"))
	}
}

type roundTripFunc func(*http.Request) *http.Response

// RoundTrip implements http.RoundTripper.
func (t roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r), nil }

// TestCheckRuns_RunCounts checks the violation for each combination of an
// outcome and a number of runs.
func TestCheckRuns_RunCounts(t *testing.T) {
	for _, c := range []struct {
		outcome load.Outcome
		runs    int
		want    load.Guarantee
	}{
		{load.OutcomeDone, 1, ""},
		{load.OutcomeDone, 2, load.GuaranteeAtMostOnce},
		{load.OutcomeDone, 0, load.GuaranteeDone},
		{load.OutcomeRefused, 0, ""},
		{load.OutcomeRefused, 1, load.GuaranteeNotRun},
		{load.OutcomeUnknown, 0, ""},
		{load.OutcomeUnknown, 1, ""},
		{load.OutcomeUnknown, 2, load.GuaranteeAtMostOnce},
	} {
		g := gomega.NewWithT(t)
		call := &load.Call{ID: "r", Kind: load.KindHold, Item: "i"}
		got := load.CheckRuns([]load.Result{{Call: call, Outcome: c.outcome}}, nil, load.RunRecords{Runs: map[string]int{"i": c.runs}})
		if c.want == "" {
			g.Expect(got).To(gomega.BeEmpty())
			continue
		}
		g.Expect(got).To(gomega.ConsistOf(gomega.HaveField("Guarantee", c.want)))
	}
}

// TestCheckRuns_DataCentres checks that attempts outside the workspace's data
// centres and refusals of work that ran are reported.
func TestCheckRuns_DataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	call := &load.Call{ID: "r", Kind: load.KindChat, Workspace: "w"}
	allowed := map[string][]string{"w": {"a", "b"}}
	check := func(o load.Outcome, dataCentres ...string) []load.Violation {
		return load.CheckRuns([]load.Result{{Call: call, Outcome: o}}, allowed, load.RunRecords{DataCentres: map[string][]string{"r": dataCentres}})
	}
	g.Expect(check(load.OutcomeDone, "a", "b")).To(gomega.BeEmpty())
	g.Expect(check(load.OutcomeDone, "a", "c")).To(gomega.ConsistOf(gomega.HaveField("Guarantee", load.GuaranteeDataCentre)))
	g.Expect(check(load.OutcomeRefused, "a")).To(gomega.ConsistOf(gomega.HaveField("Guarantee", load.GuaranteeNotRun)))
	g.Expect(check(load.OutcomeRefused)).To(gomega.BeEmpty())
}

// TestStreamChecker_DetectsAnyChange makes one change at any position of a
// stream and checks that it is reported.
func TestStreamChecker_DetectsAnyChange(t *testing.T) {
	type token struct {
		position int
		text     string
	}
	rapid.Check(t, func(t *rapid.T) {
		call := &load.Call{Model: "m", Messages: []engine.Message{{Role: "user", Content: rapid.String().Draw(t, "prompt")}}}
		hash := modelserver.PromptHash(call.Model, call.Messages)
		n, _ := modelserver.AnswerLength(hash, 0)
		var tokens []token
		for i := range n {
			tokens = append(tokens, token{i, modelserver.TokenText(hash, i)})
		}
		at := rapid.IntRange(0, n-1).Draw(t, "at")
		change := rapid.SampledFrom([]string{"none", "drop", "repeat", "swap", "text", "extra"}).Draw(t, "change")
		switch change {
		case "drop":
			tokens = slices.Delete(tokens, at, at+1)
		case "repeat":
			tokens = slices.Insert(tokens, at, tokens[at])
		case "swap":
			other := (at + 1) % n
			tokens[at], tokens[other] = tokens[other], tokens[at]
		case "text":
			tokens[at].text += "x"
		case "extra":
			tokens = append(tokens, token{n, "more "})
		}
		checker := load.NewStreamChecker(load.ExpectedFor(call))
		checker.StartConnection(0)
		violated := load.Guarantee("")
		for _, tok := range tokens {
			if got, _ := checker.CheckToken(tok.position, tok.text); got != "" {
				violated = got
				break
			}
		}
		if violated == "" {
			violated = checker.CheckEnd()
		}
		if (violated != "") != (change != "none") {
			t.Fatalf("change %q at token %d: got violation %q", change, at, violated)
		}
	})
}

// TestSchedule_IsDeterministic checks that a seed always gives the same calls,
// that they are sorted by time, and that their rate is close to the demand.
func TestSchedule_IsDeterministic(t *testing.T) {
	for _, p := range []load.Profile{load.Szallashallo(), load.Haba()} {
		g := gomega.NewWithT(t)
		d := load.Demand{Rate: 20, Duration: 2 * time.Minute, Amplitude: 0.2}
		a, b := load.Schedule(p, d, 7), load.Schedule(p, d, 7)
		g.Expect(a).To(gomega.Equal(b))
		g.Expect(load.Schedule(p, d, 8)).NotTo(gomega.Equal(a))
		g.Expect(len(a)).To(gomega.BeNumerically("~", 20*120, 700))
		g.Expect(slices.IsSortedFunc(a, func(x, y load.Call) int { return int(x.At - y.At) })).To(gomega.BeTrue())
	}
}
