// Package handover lets accepted model requests survive the entry (the process)
// that accepted them. A copy of each request and of its answer so far is held by
// a peer, in another allowed data centre if possible. Tokens are released to the
// caller once they are copied. If the entry stops or fails, a peer continues the
// answer.
package handover

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/dispatch"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Handover"

// The RPC methods.
const (
	methodSync   = ServiceName + ".Sync"
	methodLocate = ServiceName + ".Locate"
	methodRead   = ServiceName + ".Read"
	methodAdopt  = ServiceName + ".Adopt"
)

// Errors of this package.
var (
	// ErrNotFound means that no peer that answered knows the request.
	ErrNotFound = eris.New("handover: request not found")
	// ErrDiverged means that another process continues the answer from a copy
	// that lacks tokens which have been read here.
	ErrDiverged = eris.New("handover: answer continues from an older copy")
	// ErrNoPeer means that no allowed peer can take over a request.
	ErrNoPeer = eris.New("handover: no allowed peer can take over the request")
)

// JobCopy is a job in the form that peers exchange. The deadline is sent as the
// time left, since no clock of another machine is trusted.
type JobCopy struct {
	Job  flight.Job
	Left time.Duration
	// Generation is the generation of the copy.
	Generation flight.Generation
	// Lineage is the lineage of the owner's answer.
	Lineage flight.Lineage
}

func newJobCopy(f *flight.Flight, now time.Time) JobCopy {
	j := f.Job
	left := j.Deadline.Sub(now)
	j.Deadline = time.Time{}
	return JobCopy{Job: j, Left: left, Generation: f.Generation(), Lineage: f.Lineage()}
}

func (c JobCopy) job(now time.Time) flight.Job {
	j := c.Job
	j.Deadline = now.Add(c.Left)
	return j
}

// Extension adds tokens to a copy. The first extension of a copy carries the job.
type Extension struct {
	ID  string
	Job *JobCopy
	// From is the index of the first token.
	From   int
	Tokens []engine.Token
	// Point is the current attempt.
	Point flight.Point
	// Code is set once the answer has ended.
	Code dispatch.Code
}

// fieldBytes is the assumed size of the fields of a message, token or extension beside its text.
const fieldBytes = 128

// size returns the approximate size of the extension in a call.
func (e *Extension) size() int {
	n := fieldBytes
	if e.Job != nil {
		for _, m := range e.Job.Job.Messages {
			n += fieldBytes + len(m.Role) + len(m.Content)
		}
	}
	for _, t := range e.Tokens {
		n += fieldBytes + len(t.Text)
	}
	return n
}

// SyncArgs carries the extensions of many requests in one call.
type SyncArgs struct {
	Origin     string
	Extensions []Extension
}

// SyncState is the outcome of one extension.
type SyncState int

// The outcomes of an extension.
const (
	// SyncStored means that the copy holds the tokens.
	SyncStored SyncState = iota
	// SyncMissing means that the peer has no such copy or lacks earlier tokens; a
	// complete copy is needed.
	SyncMissing
	// SyncTakenOver means that the peer has taken over the answer.
	SyncTakenOver
)

// SyncReply holds one outcome per extension.
type SyncReply struct {
	States []SyncState
}

// LocateArgs asks whether a process owns a request or holds a copy of it.
type LocateArgs struct {
	ID string
}

// Role is a process's role for a request.
type Role int

// The roles.
const (
	// RoleNone means that the process doesn't know the request.
	RoleNone Role = iota
	// RoleCopy means that it holds a copy of another process's request.
	RoleCopy
	// RoleOwner means that it owns the answer: it produces it, or keeps it for
	// readers after its end.
	RoleOwner
)

// LocateReply describes the request that a process owns or holds a copy of.
type LocateReply struct {
	Role Role
	// Origin is the id of the owner, as far as the process knows.
	Origin string
	Job    JobCopy
	// Len is the number of tokens, for an owner only the released ones.
	Len int
}

// ReadArgs asks for the tokens of an answer, starting at an index.
type ReadArgs struct {
	ID   string
	From int
	// Wait is how long the call may wait for tokens.
	Wait time.Duration
}

// ReadReply holds released tokens.
type ReadReply struct {
	// Found is false if the process doesn't own the request.
	Found  bool
	Tokens []engine.Token
	// Lineage is the lineage of the owner's answer.
	Lineage flight.Lineage
	// Code is set if the tokens end the answer.
	Code dispatch.Code
}

// AdoptArgs asks the holder of a copy to continue the answer.
type AdoptArgs struct {
	ID string
	// Planned is set by an owner that stops as planned. A draining process
	// refuses such a call, and the owner asks another peer.
	Planned bool
}

// AdoptReply reports whether the process now owns the request.
type AdoptReply struct {
	Adopted bool
}
