// Package handover makes accepted model requests outlive the entry that took
// them: a copy of each request and of its answer so far is kept on a peer in
// another allowed data centre, pieces are released to the caller once copied,
// and a peer continues the answer when the entry stops or dies.
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

// The methods that peers call.
const (
	methodSync   = ServiceName + ".Sync"
	methodLocate = ServiceName + ".Locate"
	methodRead   = ServiceName + ".Read"
	methodAdopt  = ServiceName + ".Adopt"
)

// Errors of this layer.
var (
	// ErrNotFound means that no peer that could be asked knows the request.
	ErrNotFound = eris.New("handover: unknown request")
	// ErrDiverged means that the answer goes on elsewhere from a copy that
	// lacks pieces which have been read here.
	ErrDiverged = eris.New("handover: answer continues from an older copy")
	// ErrNoPeer means that no allowed peer can take a request.
	ErrNoPeer = eris.New("handover: no allowed peer")
)

// JobCopy is a job as peers exchange it: times are durations left, since no
// clock of another machine is trusted.
type JobCopy struct {
	Job  flight.Job
	Left time.Duration
	// Generation grows with each new copy and each new owner.
	Generation flight.Generation
	// Lineage is the owner's.
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

// Extension adds pieces to one copy. The first extension of a copy carries the job.
type Extension struct {
	ID  string
	Job *JobCopy
	// From is the position of the first piece.
	From   int
	Tokens []engine.Token
	// Point is the attempt that runs now.
	Point flight.Point
	// Code is set once the answer has ended.
	Code dispatch.Code
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
	// SyncKept means that the copy holds the pieces.
	SyncStored SyncState = iota
	// SyncMissing means that the peer has no such copy or a gap; a whole copy is needed.
	SyncMissing
	// SyncTakenOver means that the peer continues the answer itself.
	SyncTakenOver
)

// SyncReply holds one outcome per extension.
type SyncReply struct {
	States []SyncState
}

// LocateArgs asks for a request.
type LocateArgs struct {
	ID string
}

// Role is what a process has of a request.
type Role int

// The roles of a process.
const (
	// RoleNone means that the process knows nothing of the request.
	RoleNone Role = iota
	// RoleCopy means that it holds a copy that another process extends.
	RoleCopy
	// RoleOwner means that it produces the answer or holds all of it.
	RoleOwner
)

// LocateReply tells what a process has of a request.
type LocateReply struct {
	Role Role
	// Origin is the owner as far as the holder of a copy knows.
	Origin string
	Job    JobCopy
	// Len is the number of pieces.
	Len int
}

// ReadArgs asks for the pieces of a request from a position on.
type ReadArgs struct {
	ID   string
	From int
	// Wait is how long the call may wait for pieces.
	Wait time.Duration
}

// ReadReply holds visible pieces.
type ReadReply struct {
	// Found is false if the process doesn't own the request.
	Found  bool
	Tokens []engine.Token
	// Lineage is the owner's.
	Lineage flight.Lineage
	// Code is set if the pieces end the answer.
	Code dispatch.Code
}

// AdoptArgs asks the holder of a copy to continue the answer.
type AdoptArgs struct {
	ID string
	// Planned is set by an owner that stops; it asks another peer if this one
	// is about to stop too.
	Planned bool
}

// AdoptReply tells whether the process now owns the request.
type AdoptReply struct {
	Adopted bool
}
