// Package gateway passes requests of callers on to endpoints and their answers
// back, without changing either. A request runs through filters (find its route
// and workspace, read its body, count it against the allowance) and then
// through attempts, whose states decide the final answer.
package gateway

import (
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// Part is one part of a prompt, which other requests may share.
type Part = schedule.Part

// Meta is what the headers of a request say.
type Meta struct {
	// ID names the request; endpoints echo it.
	ID string
	// Key is the caller's key, "" if it sent none.
	Key string
	// Deadline is how long the caller waits; 0 if it doesn't say.
	Deadline time.Duration
	// Prompt and Output are the numbers of prompt tokens and of output tokens at
	// most. Counted is false if the request doesn't give them.
	Prompt, Output int
	Counted        bool
	// OutputHint is the caller's guess of the output tokens; 0 if none.
	OutputHint int
	// Prefix holds the parts of the prompt in order; the last one is the request's own.
	Prefix []Part
	// LastEvent is the id of the event after which a stream goes on; "" from the start.
	LastEvent string
}

// Forwarding is what the gateway tells an endpoint besides the request itself.
type Forwarding struct {
	// EndpointID is the endpoint that is meant; any other one refuses the request.
	EndpointID string
	// Workspace is the name of the caller's workspace; "" on open routes.
	Workspace string
	// Left is how long the answer may take.
	Left time.Duration
	// Urgency is the request's rank at the endpoint; negative means the usual one.
	Urgency int
	// LastEvent is the id of the event after which the endpoint goes on.
	LastEvent string
}

// AnswerMeta is what the head of an endpoint's answer says.
type AnswerMeta struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// NotRun answers promise that the request did not run and won't.
	NotRun bool
	// WrongTarget answers come from another endpoint than the one that was meant.
	WrongTarget bool
	// Proven answers carry the endpoint's proof that it made them.
	Proven bool
}

// Protocol translates between headers and their meaning.
type Protocol interface {
	// Request reads the headers of a caller's request.
	Request(h http.Header) Meta
	// Forward returns the headers that an endpoint gets for a request.
	Forward(in http.Header, f Forwarding) http.Header
	// Answer reads the head of an endpoint's answer.
	Answer(resp *http.Response) AnswerMeta
	// Back returns the headers that the caller gets for an endpoint's answer.
	Back(in http.Header) http.Header
	// RetryAfter is the text of a time after which a caller may come back.
	RetryAfter(d time.Duration) string
}
