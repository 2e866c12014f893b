// Package apierror writes the error responses for callers: JSON in the format of
// the OpenAI API, with a header that reports whether the request was run.
package apierror

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarsill/medlarsill/pkg/openai"
)

// Headers of responses.
const (
	// HeaderRequestID holds the request id in every response; a caller may set it in the request.
	HeaderRequestID = "Medlarsill-Request-Id"
	// HeaderRun reports whether a failed request was run.
	HeaderRun = "Medlarsill-Run"
)

// RunStatus reports whether a failed request was run.
type RunStatus string

// Values of HeaderRun.
const (
	// NotRun guarantees that no endpoint ran any part of the request.
	NotRun RunStatus = "not-run"
	// RunUnknown means that an endpoint may have run it.
	RunUnknown RunStatus = "unknown"
	// Ran means that an endpoint ran it.
	Ran RunStatus = "ran"
)

// Error types of the OpenAI API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypePermission     = "permission_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Error is an error response to a caller.
type Error struct {
	Status  int
	Type    string
	Code    string
	Message string
	Param   string
	Run     RunStatus
	// RetryAfter is when the caller should retry; zero omits the header.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Invalid returns the error for an invalid request, which was not run.
func Invalid(status int, code, message string) *Error {
	return &Error{Status: status, Type: TypeInvalidRequest, Code: code, Message: message, Run: NotRun}
}

// Body returns the JSON body of the error.
func (e *Error) Body() openai.ErrorBody {
	body := openai.ErrorBody{Error: openai.Error{Message: e.Message, Type: e.Type, Code: e.Code}}
	if e.Param != "" {
		body.Error.Param = &e.Param
	}
	return body
}

// Write sends the error response.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.Body())
}

// retrySeconds rounds up to whole seconds for the Retry-After header.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
