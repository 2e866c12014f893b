package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/openai"
	"github.com/medlarsill/medlarsill/pkg/sleep"
	"github.com/medlarsill/medlarsill/pkg/standin/plainserver"
)

// Limits of a call.
const (
	// maxConnections limits the connections of one call.
	maxConnections = 12
	// retryDelay is the delay before another connection.
	retryDelay = 50 * time.Millisecond
	// maxResponseBytes limits a response that is not streamed.
	maxResponseBytes = 4 << 20
	// maxEventBytes limits one server-sent event.
	maxEventBytes = 1 << 20
)

// headerIdempotencyKey is the request header with the caller's idempotency key.
const headerIdempotencyKey = "Idempotency-Key"

// Result is the result of a call. All times are real time, not simulated time.
type Result struct {
	Call    *Call
	Outcome Outcome
	// Code is the error code of the last error response.
	Code string
	// FirstToken is the time to the first streamed token; zero if there was none.
	FirstToken time.Duration
	// BetweenTokens contains the times between streamed tokens.
	BetweenTokens []time.Duration
	// Total is the time from the start to the end of the call.
	Total time.Duration
	// Tokens is the length of the received answer.
	Tokens int
	// Connections counts all connections; Resumes counts those that asked for
	// the rest of a response.
	Connections int
	Resumes     int
}

// Client sends calls to the entry servers and checks the responses.
type Client struct {
	entries    []string
	http       *http.Client
	nextEntry  atomic.Uint64
	violations violations
	timeout    time.Duration
}

// NewClient returns a client that distributes calls over the entry servers with
// the given base URLs. The timeout limits a call with all its connections.
func NewClient(entries []string, client *http.Client, timeout time.Duration) *Client {
	return &Client{entries: entries, http: client, timeout: timeout}
}

// Violations returns the violations found so far.
func (c *Client) Violations() []Violation { return c.violations.all() }

// callState is the state of one call across its connections.
type callState struct {
	client    *Client
	call      *Call
	start     time.Time
	entry     uint64
	checker   *StreamChecker
	result    Result
	lastToken time.Time
	// lastEventID is the id of the last event received.
	lastEventID string
	// accepted is set once an entry server has started to stream the answer.
	accepted bool
	// mayHaveRun is set once a connection failed after the call may have been sent.
	mayHaveRun bool
}

// Do sends a call and returns its result. If a connection fails, it retries at
// the next entry server with the same id and idempotency key, and it resumes
// interrupted streams.
func (c *Client) Do(ctx context.Context, call *Call) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	s := &callState{client: c, call: call, start: time.Now(), entry: c.nextEntry.Add(1), result: Result{Call: call, Outcome: OutcomeNoAnswer}}
	s.lastToken = s.start
	if call.Kind.IsModel() {
		s.checker = NewStreamChecker(ExpectedFor(call))
	}
	for s.result.Connections < maxConnections && ctx.Err() == nil {
		s.result.Connections++
		if s.connect(ctx) {
			break
		}
		s.entry++
		sleep.For(ctx, retryDelay)
	}
	s.result.Total = time.Since(s.start)
	if s.accepted && s.result.Outcome != OutcomeDone {
		c.violations.add(GuaranteeAccepted, call.ID, string(s.result.Outcome)+" "+s.result.Code)
	}
	return s.result
}

// connect makes one connection and reports whether the call is complete.
func (s *callState) connect(ctx context.Context) bool {
	req, err := s.newRequest(ctx)
	if err != nil {
		return false
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		s.mayHaveRun = true
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.handleErrorResponse(resp)
	}
	if s.call.Kind.IsModel() && s.call.Stream {
		return s.readStream(resp)
	}
	return s.readFullResponse(resp)
}

// newRequest returns a request for the call or, after an interruption, for the
// rest of its response.
func (s *callState) newRequest(ctx context.Context) (*http.Request, error) {
	base := s.client.entries[s.entry%uint64(len(s.client.entries))]
	if s.shouldResume() {
		return s.newResumeRequest(ctx, base)
	}
	path, body := s.newBody()
	method := http.MethodPost
	if s.call.Kind == KindCheck {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	s.setHeaders(req)
	req.Header.Set("Content-Type", "application/json")
	if s.call.Kind == KindHold {
		req.Header.Set(headerIdempotencyKey, s.call.Item)
	}
	return req, nil
}

// shouldResume reports whether the next connection asks for the rest of a
// stream. Every second connection repeats the call instead, in case no entry
// server has its state.
func (s *callState) shouldResume() bool {
	return s.accepted && s.checker != nil && s.result.Connections%2 == 0
}

func (s *callState) newResumeRequest(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+s.call.ID, nil)
	if err != nil {
		return nil, err
	}
	s.result.Resumes++
	s.setHeaders(req)
	if s.call.Stream {
		s.continueStream(req)
	}
	return req, nil
}

// continueStream sets the headers that ask for the events after the last one received.
func (s *callState) continueStream(req *http.Request) {
	req.Header.Set("Accept", "text/event-stream")
	if s.lastEventID != "" {
		req.Header.Set("Last-Event-ID", s.lastEventID)
	}
	s.checker.StartConnection(s.checker.Received())
}

func (s *callState) setHeaders(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+s.call.Key)
	req.Header.Set(apierror.HeaderRequestID, s.call.ID)
}

// newBody returns the path and the body of the call. For a model call it also resets
// the checker, because the answer is read from its first token again.
func (s *callState) newBody() (path string, body []byte) {
	if !s.call.Kind.IsModel() {
		body, _ = json.Marshal(plainserver.WorkRequest{Item: s.call.Item})
		return "/services/" + s.call.Service + s.call.Path + "?item=" + s.call.Item, body
	}
	r := openai.ChatRequest{Model: s.call.Model, Stream: s.call.Stream}
	for _, m := range s.call.Messages {
		r.Messages = append(r.Messages, openai.ChatMessage{Role: m.Role, Content: openai.Content(m.Content)})
	}
	body, _ = json.Marshal(r)
	s.lastEventID = ""
	s.checker.StartConnection(0)
	return "/v1/chat/completions", body
}

// handleErrorResponse reads an error response and reports whether it is final.
// It is not final if an entry server had accepted the stream, because another one
// may still have its state, or if a model call gets status 409.
func (s *callState) handleErrorResponse(resp *http.Response) bool {
	var body openai.ErrorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body)
	s.result.Code = body.Error.Code
	if resp.StatusCode == http.StatusConflict && s.checker != nil {
		s.restartStream()
		return false
	}
	s.result.Outcome = outcomeFromRun(apierror.RunStatus(resp.Header.Get(apierror.HeaderRun)))
	if s.result.Outcome == OutcomeRefused && s.mayHaveRun && s.call.Kind.IsModel() {
		// An earlier connection may have started the call. Model calls have no
		// idempotency key, so the response refers only to this attempt.
		s.result.Outcome = OutcomeUnknown
	}
	return !s.accepted
}

// restartStream resets a stream that can't be resumed, so that it is read from
// its start again.
func (s *callState) restartStream() {
	s.lastEventID = ""
	s.checker = NewStreamChecker(s.checker.expected)
}

// readFullResponse reads and checks a response that is not streamed. It reports
// whether the response was read completely.
func (s *callState) readFullResponse(resp *http.Response) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		s.mayHaveRun = true
		return false
	}
	s.result.Outcome = OutcomeDone
	if !s.call.Kind.IsModel() {
		s.checkPlainResponse(data)
		return true
	}
	var body openai.ChatCompletion
	if err := json.Unmarshal(data, &body); err != nil || len(body.Choices) != 1 {
		s.client.violations.add(GuaranteeComplete, s.call.ID, "response is not a chat completion")
		return true
	}
	want := s.checker.expected.Text()
	if got := string(body.Choices[0].Message.Content); got != want {
		s.client.violations.add(textViolation(got, want), s.call.ID, "answer differs from the expected one")
	}
	s.result.Tokens = s.checker.expected.length
	s.result.FirstToken = 0
	return true
}

// textViolation returns the guarantee that a wrong answer violates:
// GuaranteeComplete if it is only truncated or extended.
func textViolation(got, want string) Guarantee {
	n := min(len(got), len(want))
	if got[:n] == want[:n] {
		return GuaranteeComplete
	}
	return GuaranteeOwnText
}

func (s *callState) checkPlainResponse(data []byte) {
	var body plainserver.WorkRequest
	if err := json.Unmarshal(data, &body); err != nil || body.Item != s.call.Item {
		s.client.violations.add(GuaranteeOwnText, s.call.ID, "response is for another item")
	}
}

// readStream reads a stream until it ends or is interrupted, and reports
// whether the call is complete.
func (s *callState) readStream(resp *http.Response) bool {
	s.accepted = true
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false
		}
		if ev.Data == "[DONE]" {
			return s.finishStream()
		}
		if done, final := s.handleEvent(ev); done {
			return final
		}
	}
	return false
}

// handleEvent handles one event. It reports whether to stop reading the stream
// and, if so, whether the call is complete.
func (s *callState) handleEvent(ev sse.Event) (done, final bool) {
	var chunk struct {
		openai.ChatChunk
		Error *openai.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
		s.client.violations.add(GuaranteeComplete, s.call.ID, "event is not JSON")
		return true, true
	}
	if chunk.Error != nil {
		s.result.Code, s.result.Outcome = chunk.Error.Code, OutcomeUnknown
		return true, false
	}
	if len(chunk.Choices) == 0 {
		return false, false
	}
	s.lastEventID = ev.LastEventID
	index, _, _ := strings.Cut(ev.LastEventID, "@")
	position, err := strconv.Atoi(index)
	if err != nil {
		s.client.violations.add(GuaranteeComplete, s.call.ID, "event id has no token position")
		return true, true
	}
	violated, first := s.checker.CheckToken(position, chunk.Choices[0].Delta.Content)
	if violated != "" {
		s.client.violations.add(violated, s.call.ID, "unexpected event "+ev.LastEventID+", tokens received: "+strconv.Itoa(s.checker.Received()))
		return true, true
	}
	if first {
		s.recordTokenTime()
	}
	return false, false
}

// recordTokenTime records the arrival time of a new token.
func (s *callState) recordTokenTime() {
	now := time.Now()
	if s.result.FirstToken == 0 {
		s.result.FirstToken = now.Sub(s.start)
	} else {
		s.result.BetweenTokens = append(s.result.BetweenTokens, now.Sub(s.lastToken))
	}
	s.lastToken = now
}

// finishStream handles the end-of-stream event.
func (s *callState) finishStream() bool {
	if violated := s.checker.CheckEnd(); violated != "" {
		s.client.violations.add(violated, s.call.ID, "stream ended after "+strconv.Itoa(s.checker.Received())+" tokens")
		return true
	}
	s.result.Outcome, s.result.Tokens = OutcomeDone, s.checker.Received()
	return true
}
