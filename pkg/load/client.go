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
	// maxTries bounds the connections of one call.
	maxTries = 12
	// retryDelay is the pause before another connection.
	retryDelay = 50 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 4 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
)

// headerKey is the caller's idempotency key.
const headerKey = "Idempotency-Key"

// Result is how a call went. Times are of the clock, not accounted.
type Result struct {
	Call    *Call
	Outcome Outcome
	// Code is the error code of the last error answer.
	Code string
	// FirstToken is the time to the first piece; zero if there was none.
	FirstToken time.Duration
	// Between holds the times between pieces.
	Between []time.Duration
	// Total is the time to the final answer.
	Total time.Duration
	// Tokens is the length of the answer.
	Tokens int
	// Connections counts the connections, Resumes those that continued a stream.
	Connections int
	Resumes     int
}

// Client sends calls through the entries.
type Client struct {
	entries []string
	http    *http.Client
	next    atomic.Uint64
	broken  violations
	timeout time.Duration
}

// NewClient returns a client that spreads calls over entries, given as base
// URLs. The timeout bounds a call with all its connections.
func NewClient(entries []string, client *http.Client, timeout time.Duration) *Client {
	return &Client{entries: entries, http: client, timeout: timeout}
}

// Violations returns the promises that were broken so far.
func (c *Client) Violations() []Violation { return c.broken.all() }

// attempt is the state of one call over its connections.
type attempt struct {
	c      *Client
	call   *Call
	start  time.Time
	entry  uint64
	check  *StreamCheck
	result Result
	last   time.Time
	// lastEventID is the id of the last event received.
	lastEventID string
	// accepted is set once an entry has answered with a stream.
	accepted bool
	// mayBe is set once a connection broke after the call was sent.
	mayBe bool
}

// Do sends a call and follows it to its final answer: another entry is tried
// with the same id and key if one dies, and broken streams are resumed.
func (c *Client) Do(ctx context.Context, call *Call) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a := &attempt{c: c, call: call, start: time.Now(), entry: c.next.Add(1), result: Result{Call: call, Outcome: OutcomeNoAnswer}}
	a.last = a.start
	if call.Kind.Model() {
		a.check = NewStreamCheck(Expect(call))
	}
	for a.result.Connections < maxTries && ctx.Err() == nil {
		a.result.Connections++
		if a.connect(ctx) {
			break
		}
		a.entry++
		sleep.For(ctx, retryDelay)
	}
	a.result.Total = time.Since(a.start)
	if a.accepted && a.result.Outcome != OutcomeDone {
		c.broken.add(PromiseAccepted, call.ID, string(a.result.Outcome)+" "+a.result.Code)
	}
	return a.result
}

// connect makes one connection. It reports whether the call has its final answer.
func (a *attempt) connect(ctx context.Context) bool {
	req, err := a.request(ctx)
	if err != nil {
		return false
	}
	resp, err := a.c.http.Do(req)
	if err != nil {
		a.mayBe = true
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.refused(resp)
	}
	if a.call.Kind.Model() && a.call.Stream {
		return a.readStream(resp)
	}
	return a.readWhole(resp)
}

// request returns the call itself, or the request for the rest of its stream.
func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	base := a.c.entries[a.entry%uint64(len(a.c.entries))]
	if a.resuming() {
		return a.resume(ctx, base)
	}
	path, body := a.body()
	method := http.MethodPost
	if a.call.Kind == KindCheck {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	a.headers(req)
	req.Header.Set("Content-Type", "application/json")
	if a.call.Kind == KindHold {
		req.Header.Set(headerKey, a.call.Item)
	}
	return req, nil
}

// resuming tells whether the next connection asks for the rest of a stream.
// Every second time the call itself is repeated, in case no entry knows it.
func (a *attempt) resuming() bool {
	return a.accepted && a.check != nil && a.result.Connections%2 == 0
}

func (a *attempt) resume(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+a.call.ID, nil)
	if err != nil {
		return nil, err
	}
	a.result.Resumes++
	a.headers(req)
	if a.call.Stream {
		a.continueStream(req)
	}
	return req, nil
}

// continueStream asks for the events after the last one received.
func (a *attempt) continueStream(req *http.Request) {
	req.Header.Set("Accept", "text/event-stream")
	if a.lastEventID != "" {
		req.Header.Set("Last-Event-ID", a.lastEventID)
	}
	a.check.Connect(a.check.Got())
}

func (a *attempt) headers(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+a.call.Key)
	req.Header.Set(apierror.HeaderRequestID, a.call.ID)
}

func (a *attempt) body() (path string, body []byte) {
	if !a.call.Kind.Model() {
		body, _ = json.Marshal(plainserver.WorkRequest{Item: a.call.Item})
		return "/services/" + a.call.Service + a.call.Path + "?item=" + a.call.Item, body
	}
	r := openai.ChatRequest{Model: a.call.Model, Stream: a.call.Stream}
	for _, m := range a.call.Messages {
		r.Messages = append(r.Messages, openai.ChatMessage{Role: m.Role, Content: openai.Content(m.Content)})
	}
	body, _ = json.Marshal(r)
	a.lastEventID = ""
	a.check.Connect(0)
	return "/v1/chat/completions", body
}

// refused reads an error answer. Not run, unknown and failed are final unless
// the stream was accepted before: then another entry may still have it.
func (a *attempt) refused(resp *http.Response) bool {
	var body openai.ErrorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body)
	a.result.Code = body.Error.Code
	if resp.StatusCode == http.StatusConflict && a.check != nil {
		a.readAgain()
		return false
	}
	a.result.Outcome = outcomeOf(apierror.Run(resp.Header.Get(apierror.HeaderRun)))
	if a.result.Outcome == OutcomeRefused && a.mayBe && a.call.Kind.Model() {
		// An earlier connection may have started it, and an entry that knows no
		// key of the call speaks of the repeat only.
		a.result.Outcome = OutcomeUnknown
	}
	return !a.accepted
}

// readAgain forgets a stream that can't be continued where it broke.
func (a *attempt) readAgain() {
	a.lastEventID = ""
	a.check = NewStreamCheck(a.check.expected)
}

// readWhole reads a whole answer and checks it.
func (a *attempt) readWhole(resp *http.Response) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		a.mayBe = true
		return false
	}
	a.result.Outcome = OutcomeDone
	if !a.call.Kind.Model() {
		a.checkPlain(data)
		return true
	}
	var body openai.ChatCompletion
	if err := json.Unmarshal(data, &body); err != nil || len(body.Choices) != 1 {
		a.c.broken.add(PromiseWhole, a.call.ID, "answer is not a chat completion")
		return true
	}
	want := a.check.expected.Text()
	if got := string(body.Choices[0].Message.Content); got != want {
		a.c.broken.add(wrongText(got, want), a.call.ID, "whole answer differs")
	}
	a.result.Tokens = a.check.expected.length
	a.result.FirstToken = 0
	return true
}

// wrongText tells a truncated or lengthened answer from another one.
func wrongText(got, want string) Promise {
	n := min(len(got), len(want))
	if got[:n] == want[:n] {
		return PromiseWhole
	}
	return PromiseOwn
}

func (a *attempt) checkPlain(data []byte) {
	var body plainserver.WorkRequest
	if err := json.Unmarshal(data, &body); err != nil || body.Item != a.call.Item {
		a.c.broken.add(PromiseOwn, a.call.ID, "answer is about another item")
	}
}

// readStream reads a stream to its end or to where it breaks.
func (a *attempt) readStream(resp *http.Response) bool {
	a.accepted = true
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false
		}
		if ev.Data == "[DONE]" {
			return a.endStream()
		}
		if done, final := a.event(ev); done {
			return final
		}
	}
	return false
}

// event takes one event. It reports whether the connection is over and, if
// so, whether the call has its final answer.
func (a *attempt) event(ev sse.Event) (done, final bool) {
	var chunk struct {
		openai.ChatChunk
		Error *openai.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
		a.c.broken.add(PromiseWhole, a.call.ID, "event is not JSON")
		return true, true
	}
	if chunk.Error != nil {
		a.result.Code, a.result.Outcome = chunk.Error.Code, OutcomeUnknown
		return true, false
	}
	if len(chunk.Choices) == 0 {
		return false, false
	}
	a.lastEventID = ev.LastEventID
	index, _, _ := strings.Cut(ev.LastEventID, "@")
	position, err := strconv.Atoi(index)
	if err != nil {
		a.c.broken.add(PromiseWhole, a.call.ID, "event without a position")
		return true, true
	}
	broken, first := a.check.Piece(position, chunk.Choices[0].Delta.Content)
	if broken != "" {
		a.c.broken.add(broken, a.call.ID, "piece "+ev.LastEventID+" after "+strconv.Itoa(a.check.Got()))
		return true, true
	}
	if first {
		a.clock()
	}
	return false, false
}

// clock records the time of a new piece.
func (a *attempt) clock() {
	now := time.Now()
	if a.result.FirstToken == 0 {
		a.result.FirstToken = now.Sub(a.start)
	} else {
		a.result.Between = append(a.result.Between, now.Sub(a.last))
	}
	a.last = now
}

func (a *attempt) endStream() bool {
	if p := a.check.End(); p != "" {
		a.c.broken.add(p, a.call.ID, "end mark after "+strconv.Itoa(a.check.Got())+" pieces")
		return true
	}
	a.result.Outcome, a.result.Tokens = OutcomeDone, a.check.Got()
	return true
}
