package revision

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ServiceName is the name under which RPC is registered with a peer.Server.
const ServiceName = "Revision"

// RPC method names.
const (
	methodApply = ServiceName + ".Apply"
	methodState = ServiceName + ".State"
	methodFetch = ServiceName + ".Fetch"
)

// Envelope carries a stored configuration as JSON.
type Envelope struct{ JSON []byte }

// Question is the argument of State.
type Question struct {
	// Voter is true if the asking process is a voter or accepts no work itself.
	Voter bool
}

// None is an empty argument.
type None struct{}

// RPC is the net/rpc receiver for calls from peers.
type RPC struct{ f *Follower }

// RPC returns the receiver to register under ServiceName.
func (f *Follower) RPC() *RPC { return &RPC{f: f} }

// Apply applies a stored configuration and answers with the resulting state.
func (r *RPC) Apply(e Envelope, answer *Answer) error {
	env, err := decode(e.JSON)
	if err != nil {
		return err
	}
	r.f.Apply(env)
	*answer = r.f.answer(true)
	return nil
}

// State returns this process's state.
func (r *RPC) State(q Question, answer *Answer) error {
	*answer = r.f.answer(q.Voter)
	return nil
}

// Fetch returns the configuration in force in this process.
func (r *RPC) Fetch(_ None, e *Envelope) error {
	env := r.f.Current()
	if env == nil {
		return eris.New("revision: no configuration yet")
	}
	value, err := json.Marshal(env)
	e.JSON = value
	return err
}
