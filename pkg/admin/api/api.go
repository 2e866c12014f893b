// Package api defines the messages of the operators' HTTP API.
package api

import (
	"time"

	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Paths of the API.
const (
	PathConfig  = "/admin/v1/config"
	PathCheck   = "/admin/v1/config/check"
	PathDiff    = "/admin/v1/config/diff"
	PathPresets = "/admin/v1/presets"
	PathPreset  = "/admin/v1/preset"
	PathStatus  = "/admin/v1/status"
	PathAudit   = "/admin/v1/audit"
)

// Headers of the API.
const (
	// HeaderIfMatch holds the revision that a change expects; "0" for the first.
	HeaderIfMatch = "If-Match"
	// HeaderETag holds the revision of a response.
	HeaderETag = "ETag"
	// HeaderWriteID holds the id of a change, which makes retries idempotent.
	HeaderWriteID = "Idempotency-Key"
	// HeaderFile holds the URL-escaped name of the file that the body was read from;
	// it is used only in error messages.
	HeaderFile = "Medlarsill-File"
)

// Config is the response to GET config.
type Config struct {
	Revision uint64          `json:"revision"`
	WriteID  string          `json:"write_id"`
	Preset   string          `json:"preset"`
	Document config.Document `json:"document"`
}

// State is the state of a change that took effect.
type State string

// States of a change that took effect.
const (
	// Accepted means stored, and in force on every registered entry that takes new work.
	Accepted State = "accepted"
	// Stored means stored, but not yet in force on every registered entry.
	Stored State = "stored"
)

// Change is the response to a change that took effect.
type Change struct {
	State    State  `json:"state"`
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write_id"`
	Preset   string `json:"preset"`
	// Changes lists the fields that differ from the previous revision.
	Changes []config.Change `json:"changes"`
	// Missing lists the entries on which the revision is not known to be in force.
	// If the change is accepted, these are unreachable and refuse new work.
	Missing []Entry `json:"missing"`
	// Unchanged is true if there was nothing to change, so no revision was created.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Check is the response to a check of a configuration.
type Check struct {
	Valid    bool                 `json:"valid"`
	Problems []strictjson.Problem `json:"problems"`
}

// Diff is the response to a diff: what applying the body would change.
type Diff struct {
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
}

// Presets is the response to GET presets.
type Presets struct {
	Revision uint64          `json:"revision"`
	InForce  string          `json:"in_force"`
	Presets  []config.Preset `json:"presets"`
}

// SwitchPreset is the body of PUT preset.
type SwitchPreset struct {
	Preset string `json:"preset"`
}

// Entry is the state of a registered entry.
type Entry struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
	// Revision is the revision in force on the entry; 0 if unknown.
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset,omitempty"`
	// Ready reports whether the entry accepts new requests.
	Ready bool `json:"ready"`
	// Error describes why the entry's state is unknown; empty if it responded.
	Error string `json:"error,omitempty"`
}

// Endpoints counts the endpoints of a service in a data centre by state.
type Endpoints struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Starting   int    `json:"starting"`
	Ready      int    `json:"ready"`
	Leaving    int    `json:"leaving"`
}

// Lease is a lease in the object store.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Fence is the holder's fencing token.
	Fence uint64 `json:"fence"`
}

// Limit holds the limits of a workspace.
type Limit struct {
	Workspace   string   `json:"workspace"`
	Weight      int      `json:"weight"`
	MaxInFlight int      `json:"max_in_flight"`
	DataCentres []string `json:"data_centres"`
}

// Capacity is the range of instances of a service that the preset in force allows,
// with the number that is ready.
type Capacity struct {
	Service string `json:"service"`
	Min     int    `json:"min"`
	Max     int    `json:"max"`
	Ready   int    `json:"ready"`
}

// Status is the response to GET status. Parts that couldn't be read are listed in Errors.
type Status struct {
	Organisation string      `json:"organisation"`
	Revision     uint64      `json:"revision"`
	Preset       string      `json:"preset"`
	Entries      []Entry     `json:"entries"`
	Endpoints    []Endpoints `json:"endpoints"`
	Capacity     []Capacity  `json:"capacity"`
	Limits       []Limit     `json:"limits"`
	Leases       []Lease     `json:"leases"`
	Errors       []string    `json:"errors"`
}

// Audit is the response to GET audit, newest record first.
type Audit struct {
	Records []audit.Record `json:"records"`
}

// Code is an error code.
type Code string

// Error codes.
const (
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeInvalid          Code = "invalid"
	CodeTooLarge         Code = "too_large"
	CodeIfMatchMissing   Code = "if_match_missing"
	CodeLostRace         Code = "lost_race"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeAuditUnavailable Code = "audit_unavailable"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInternal         Code = "internal"
)

// Error describes a failed request.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Revision is the current revision after a lost race.
	Revision uint64 `json:"revision,omitempty"`
	// WriteID is the id of the change whose outcome is unknown.
	WriteID  string               `json:"write_id,omitempty"`
	Problems []strictjson.Problem `json:"problems,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// RetryAfter is the Retry-After of responses that report an unavailable store.
const RetryAfter = time.Second
