// Package gateway forwards requests of callers to endpoints, and their responses
// back, without changing their content. A request passes filters (find its route
// and workspace, read its body, charge its cost to the allowance) and is then
// attempted on endpoints; the states of the attempts decide the final response.
package gateway

import (
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/backoff"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/overload"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/schedule"
)

// Part is a part of a prompt that other requests may share.
type Part = schedule.Part

// Meta holds the fields that are read from a request's headers.
type Meta struct {
	// ID is the request id; endpoints echo it.
	ID string
	// Key is the caller's API key, or "".
	Key string
	// Deadline is how long the caller waits for the response; 0 if unknown.
	Deadline time.Duration
	// Prompt is the number of prompt tokens, Output the maximum number of output
	// tokens. TokensKnown is false if the request doesn't give them.
	Prompt, Output int
	TokensKnown    bool
	// OutputHint is the caller's estimate of the number of output tokens; 0 if none.
	OutputHint int
	// Prefix holds the parts of the prompt in order; the last one is specific to
	// the request.
	Prefix []Part
	// LastEvent is the id of the event after which a stream is resumed; "" means
	// from the start.
	LastEvent string
	// Resumes is the id of the request that brought the first event of the stream that this
	// one resumes; "" if it begins one.
	Resumes string
}

// Forwarding holds the values that the gateway adds to a forwarded request.
type Forwarding struct {
	// EndpointID is the intended endpoint; any other endpoint refuses the request.
	EndpointID string
	// Workspace is the name of the caller's workspace; "" for a request without a
	// known key, which some routes allow.
	Workspace string
	// TimeLeft is the time left for the response.
	TimeLeft time.Duration
	// EndpointPriority is the request's priority at the endpoint; negative means the
	// default.
	EndpointPriority int
	// LastEvent is the id of the event after which the endpoint resumes the stream.
	LastEvent string
	// FetchFrom is the address of the endpoint from which the endpoint fetches what that keeps of
	// the prompt; "" means that it fetches nothing.
	FetchFrom string
	// Handover names the run that the endpoint goes on with.
	Handover Handover
}

// ResponseMeta holds the fields that are read from the head of an endpoint's response.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// NotRun means that the endpoint did not run the request and will not.
	NotRun bool
	// WrongTarget means that another endpoint than the intended one responded.
	WrongTarget bool
	// Leaving means that the endpoint says that it is leaving.
	Leaving bool
	// RateLimit is what the response says of the endpoint's rate limit.
	RateLimit ratelimit.Announcement
	// Backoff is what the response says of the time for which its endpoint wants no requests.
	Backoff backoff.Request
	// Overload is what the response says of the endpoint's sensitivity to overload.
	Overload overload.Announcement
	// Stamped means that the response carries the endpoint's stamp, which proves
	// that the endpoint made it.
	Stamped bool
}

// Protocol reads and writes the headers of requests and responses.
type Protocol interface {
	// Request reads the headers of a caller's request.
	Request(h http.Header) Meta
	// RequestHeader returns the headers of the request to an endpoint, given those
	// of the caller's request.
	RequestHeader(in http.Header, f Forwarding) http.Header
	// PeerHeader returns the headers of a request that is forwarded to a peer, given those of
	// the caller's request. lastEvent and resumes replace Meta.LastEvent and Meta.Resumes if they
	// aren't empty.
	PeerHeader(in http.Header, lastEvent, resumes string) http.Header
	// Response reads the head of an endpoint's response.
	Response(resp *http.Response) ResponseMeta
	// ResponseHeader returns the headers of the response to the caller, given those
	// of an endpoint's response.
	ResponseHeader(in http.Header) http.Header
	// MoveRequest returns the order to an endpoint to hand over a running request, and MoveReply reads
	// its answer.
	MoveRequest(o MoveOrder) *http.Request
	MoveReply(resp *http.Response) kvmove.Reply
	// FreeRequest returns the request to an endpoint to free what it has handed over under a handle.
	FreeRequest(endpointID, addr, handle string) *http.Request
	// RetryAfter returns the value of the Retry-After header for a duration.
	RetryAfter(d time.Duration) string
}
