// Package place chooses the endpoint for each attempt of a request. It filters a
// snapshot of the endpoints, selects a few candidates, scores them and picks the
// best. An entry is an instance that accepts callers' requests; each entry places
// its own requests.
package place

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
)

// Errors of Placer.Place.
var (
	// ErrNoDataCentreAllowed means that no data centre is allowed for the request.
	ErrNoDataCentreAllowed = eris.New("place: no data centre is allowed")
	// ErrNoEndpoint means that no endpoint passes the filters now.
	ErrNoEndpoint = eris.New("place: no endpoint passes the filters")
)

// Request describes an attempt that is to be placed.
type Request struct {
	Service   string
	Workspace string
	// Allowed lists the allowed data centres. Endpoints elsewhere are never chosen.
	Allowed []string
	// Prefixes holds the hashes of the prompt's prefixes, one for each message,
	// shortest first.
	Prefixes []uint64
	// PrefixTokens holds the length of each of Prefixes in tokens. If it is empty,
	// the prompt is assumed to be divided evenly.
	PrefixTokens []int
	// PromptTokens is the estimated length of the prompt and MaxTokens the largest
	// number of tokens to decode.
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time
	// NonIdempotent means that on-demand instances are preferred to reclaimable ones.
	NonIdempotent bool
	// Exclude lists the ids of endpoints on which earlier attempts failed.
	Exclude []string
	// Preset holds the score weights; if it is nil, all weights are 1.
	Preset *config.Preset
}

// Decision is the result of placing an attempt.
type Decision struct {
	Endpoint *fleet.Endpoint
	// CachedTokens is the expected number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int
	// state counts the attempt if a Policy placed it.
	state *loadview.Endpoint
}

// Placer chooses endpoints and counts the attempts that it has placed.
type Placer interface {
	// Place chooses an endpoint and counts the attempt as in flight there.
	Place(s *fleet.Snapshot, r Request) (Decision, error)
	// Done must be called when an attempt that Place counted has ended.
	Done(d Decision, r Request)
}

// eligible reports whether an endpoint passes the hard filter: it is in an allowed
// data centre, not leaving and not excluded.
func eligible(e *fleet.Endpoint, r *Request) bool {
	if e.Leaving || !slices.Contains(r.Allowed, e.DataCentre) {
		return false
	}
	return !slices.Contains(r.Exclude, e.ID)
}

// DataCentreAllowed reports whether the configuration allows a workspace's requests
// in an endpoint's data centre. It is called immediately before each dispatch,
// retry, resume and KV transfer, since the configuration may have changed after
// the endpoint was chosen.
func DataCentreAllowed(env *config.Envelope, workspace string, e *fleet.Endpoint) bool {
	if env == nil {
		return false
	}
	w, ok := env.Document.WorkspaceByName(workspace)
	if !ok {
		return false
	}
	return slices.Contains(env.AllowedDataCentres(w), e.DataCentre)
}

// tokensOf returns the length of prefix i in tokens.
func (r *Request) tokensOf(i int) int {
	if i < len(r.PrefixTokens) {
		return r.PrefixTokens[i]
	}
	return r.PromptTokens * (i + 1) / len(r.Prefixes)
}
