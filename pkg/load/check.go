package load

import (
	"fmt"
	"slices"
	"sync"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
)

// Guarantee is a guarantee of the serving system that a run checks. Reports list
// violations as broken promises.
type Guarantee string

// The guarantees that a run checks.
const (
	// GuaranteeComplete: an answer has no gaps and no repeated tokens, and a
	// truncated one is not marked as complete.
	GuaranteeComplete Guarantee = "complete answer"
	// GuaranteeOwnText: an answer contains no text of another answer.
	GuaranteeOwnText Guarantee = "no text of another answer"
	// GuaranteeAtMostOnce: non-idempotent work runs at most once.
	GuaranteeAtMostOnce Guarantee = "at most once"
	// GuaranteeNotRun: work reported as not run has not run.
	GuaranteeNotRun Guarantee = "not run"
	// GuaranteeDone: work reported as done has run.
	GuaranteeDone Guarantee = "kept"
	// GuaranteeDataCentre: work runs only in the workspace's data centres.
	GuaranteeDataCentre Guarantee = "allowed data centre"
	// GuaranteeAccepted: an accepted request is completed.
	GuaranteeAccepted Guarantee = "accepted request is completed"
)

// Violation is a violation of a guarantee by a call.
type Violation struct {
	Guarantee Guarantee
	Call      string
	Detail    string
}

// ExpectedAnswer is the answer that a model call must get.
type ExpectedAnswer struct {
	hash   uint64
	length int
	finish engine.Finish
}

// ExpectedFor returns the expected answer of a model call.
func ExpectedFor(c *Call) ExpectedAnswer {
	hash := modelserver.PromptHash(c.Model, c.Messages)
	n, finish := modelserver.AnswerLength(hash, 0)
	return ExpectedAnswer{hash: hash, length: n, finish: finish}
}

// Text returns the text of the answer.
func (e ExpectedAnswer) Text() string {
	out := ""
	for i := range e.length {
		out += modelserver.TokenText(e.hash, i)
	}
	return out
}

// StreamChecker checks the tokens of a streamed answer across all its
// connections. Create it with NewStreamChecker.
type StreamChecker struct {
	expected ExpectedAnswer
	// next is the position of the next token on the current connection.
	next int
	// received is the number of tokens received over all connections.
	received int
	done     bool
}

// NewStreamChecker returns a checker that has received no tokens.
func NewStreamChecker(e ExpectedAnswer) *StreamChecker { return &StreamChecker{expected: e} }

// StartConnection starts a connection whose first token has the given position.
func (s *StreamChecker) StartConnection(from int) { s.next = from }

// Received returns the number of tokens received over all connections.
func (s *StreamChecker) Received() int { return s.received }

// CheckToken checks the token at a position. It returns the violated guarantee,
// or "", and whether the token is new, that is, not received on an earlier
// connection.
func (s *StreamChecker) CheckToken(position int, text string) (Guarantee, bool) {
	if position != s.next || position >= s.expected.length {
		return GuaranteeComplete, false
	}
	if text != modelserver.TokenText(s.expected.hash, position) {
		return GuaranteeOwnText, false
	}
	s.next++
	first := position == s.received
	s.received = max(s.received, s.next)
	return "", first
}

// CheckEnd checks that the stream may end after the tokens received so far. It
// returns the violated guarantee, or "".
func (s *StreamChecker) CheckEnd() Guarantee {
	if s.next != s.expected.length {
		return GuaranteeComplete
	}
	s.done = true
	return ""
}

// Done reports whether the complete answer and its end-of-stream event have been received.
func (s *StreamChecker) Done() bool { return s.done }

// Outcome is the outcome of a call as its caller sees it.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone means that the call got a complete response.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the call was reported as not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the call ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeNoAnswer means that no entry server gave a final response in time.
	OutcomeNoAnswer Outcome = "no answer"
)

// outcomeFromRun returns the outcome for the run header of an error response.
func outcomeFromRun(run apierror.RunStatus) Outcome {
	switch run {
	case apierror.NotRun:
		return OutcomeRefused
	case apierror.Ran:
		return OutcomeFailed
	}
	return OutcomeUnknown
}

// RunRecords contains the simulated platform's records of the work that ran.
type RunRecords struct {
	// Runs counts the runs of non-idempotent work by item.
	Runs map[string]int
	// DataCentres lists the data centres of the attempts of model requests by request id.
	DataCentres map[string][]string
}

// CheckRuns compares the outcomes reported to callers with the run records. Each
// violation of a call that was sent twice is reported once.
func CheckRuns(results []Result, allowed map[string][]string, records RunRecords) []Violation {
	var out []Violation
	seen := make(map[Violation]bool)
	for i := range results {
		found := checkRunCount(&results[i], records.Runs)
		found = append(found, checkDataCentres(&results[i], allowed, records.DataCentres)...)
		for _, v := range found {
			if key := (Violation{Guarantee: v.Guarantee, Call: v.Call}); !seen[key] {
				seen[key] = true
				out = append(out, v)
			}
		}
	}
	return out
}

func checkRunCount(r *Result, runs map[string]int) []Violation {
	if r.Call.Kind != KindHold {
		return nil
	}
	var out []Violation
	n := runs[r.Call.Item]
	add := func(guarantee Guarantee) {
		out = append(out, Violation{Guarantee: guarantee, Call: r.Call.ID, Detail: fmt.Sprintf("outcome %s, %d runs", r.Outcome, n)})
	}
	if n > 1 {
		add(GuaranteeAtMostOnce)
	}
	if n > 0 && r.Outcome == OutcomeRefused && !r.Call.Duplicate {
		add(GuaranteeNotRun)
	}
	if n == 0 && r.Outcome == OutcomeDone {
		add(GuaranteeDone)
	}
	return out
}

func checkDataCentres(r *Result, allowed map[string][]string, dataCentres map[string][]string) []Violation {
	if !r.Call.Kind.IsModel() {
		return nil
	}
	var out []Violation
	for _, dc := range dataCentres[r.Call.ID] {
		if !slices.Contains(allowed[r.Call.Workspace], dc) {
			out = append(out, Violation{Guarantee: GuaranteeDataCentre, Call: r.Call.ID, Detail: "ran in " + dc})
		}
	}
	if len(dataCentres[r.Call.ID]) > 0 && r.Outcome == OutcomeRefused {
		out = append(out, Violation{Guarantee: GuaranteeNotRun, Call: r.Call.ID, Detail: "refused but started by an engine"})
	}
	return out
}

// violations collects violations from concurrent calls.
type violations struct {
	mu   sync.Mutex
	list []Violation
}

func (v *violations) add(guarantee Guarantee, call, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, Violation{Guarantee: guarantee, Call: call, Detail: detail})
}

func (v *violations) all() []Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.list)
}
