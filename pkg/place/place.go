// Package place chooses the endpoint for an attempt: filters over a snapshot
// of endpoints, then candidates, then scores, then a picker.
package place

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/loadview"
)

// Errors of this filter.
var (
	// ErrNothingAllowed means that no data centre is allowed for the request.
	ErrNoDataCentreAllowed = eris.New("place: no data centre is allowed")
	// ErrNoEndpoint means that no allowed endpoint can take the request now.
	ErrNoEndpoint = eris.New("place: no endpoint available")
)

// Request describes the attempt to place.
type Request struct {
	Service   string
	Workspace string
	// Allowed lists the allowed data centres; nothing overrides it.
	Allowed []string
	// Prefixes holds the hashes of the prompt's growing prefixes, shortest first.
	Prefixes []uint64
	// PrefixTokens holds the length of each of Prefixes in tokens. If it is
	// empty, the prompt is taken to be split evenly.
	PrefixTokens []int
	// PromptTokens and MaxTokens estimate the work.
	PromptTokens int
	MaxTokens    int
	Deadline     time.Time
	// NonIdempotent work avoids instances that may be reclaimed.
	NonIdempotent bool
	// Exclude lists endpoints that earlier attempts failed on.
	Exclude []string
	// Preset holds the weights in force.
	Preset *config.Preset
	// Priority is passed on to the engine.
	Priority int
}

// Decision is the chosen endpoint.
type Decision struct {
	Endpoint *fleet.Endpoint
	// CachedTokens is the expected number of prompt tokens in the endpoint's prefix cache.
	CachedTokens int
	// state is where the policy that placed the attempt counts it.
	state *loadview.Endpoint
}

// Placer chooses endpoints and follows the attempts that it has placed.
type Placer interface {
	// Place chooses an endpoint and counts the attempt as in flight there.
	Place(s *fleet.Snapshot, r Request) (Decision, error)
	// Done ends the attempt that Place counted.
	Done(d Decision, r Request)
}

// eligible is the hard filter: allowed data centre, not leaving, not excluded.
func eligible(e *fleet.Endpoint, r *Request) bool {
	if e.Leaving || !slices.Contains(r.Allowed, e.DataCentre) {
		return false
	}
	return !slices.Contains(r.Exclude, e.ID)
}

// Recheck tells whether a workspace's work may run in an endpoint's data centre
// under the configuration in force. It is called right before each dispatch,
// retry, resume and KV transfer; a decision may have become stale in between.
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

// tokensOf returns the length of the i-th prefix, in tokens.
func (r *Request) tokensOf(i int) int {
	if i < len(r.PrefixTokens) {
		return r.PrefixTokens[i]
	}
	return r.PromptTokens * (i + 1) / len(r.Prefixes)
}
