package dispatch

import "github.com/rotisserie/eris"

// Errors of this package.
var (
	// ErrNotRun means that no attempt reached an endpoint.
	ErrNotRun = eris.New("dispatch: request was not run")
	// ErrGaveUp means that at least one attempt reached an endpoint but none
	// finished the answer.
	ErrGaveUp = eris.New("dispatch: failed to finish answer")
	// ErrNotAllowed means that the configuration allows no endpoint for the request.
	ErrNotAllowed = eris.New("dispatch: configuration allows no endpoint for the request")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = eris.New("dispatch: request rejected by the engine")
	// ErrDiverged means that another process continues the answer from an older
	// copy, so that it has to be read again from its start.
	ErrDiverged = eris.New("dispatch: answer continues from an older copy")
	// ErrOwnerLost means that another process owns the answer and is unreachable
	// from here; another entry may reach it.
	ErrOwnerLost = eris.New("dispatch: owner of the answer is unreachable")
	// ErrTakenOver means that another process continues the answer.
	ErrTakenOver = eris.New("dispatch: answer was taken over by another process")
)

// errConfigNotConfirmed means that no attempt may be placed until the
// configuration is confirmed to be the newest.
var errConfigNotConfirmed = eris.New("dispatch: configuration is not confirmed to be the newest")

// Code is the outcome of an answer as peers exchange it.
type Code string

// The codes of an ended answer.
const (
	CodeComplete   Code = "complete"
	CodeNotRun     Code = "not_run"
	CodeGaveUp     Code = "gave_up"
	CodeNotAllowed Code = "not_allowed"
	CodeRejected   Code = "rejected"
)

// CodeOf returns the code of an error; nil is CodeComplete.
func CodeOf(err error) Code {
	switch {
	case err == nil:
		return CodeComplete
	case eris.Is(err, ErrNotRun):
		return CodeNotRun
	case eris.Is(err, ErrNotAllowed):
		return CodeNotAllowed
	case eris.Is(err, ErrRejected):
		return CodeRejected
	}
	return CodeGaveUp
}

// Err returns the error of a code; CodeComplete is nil.
func (c Code) Err() error {
	switch c {
	case CodeComplete:
		return nil
	case CodeNotRun:
		return ErrNotRun
	case CodeNotAllowed:
		return ErrNotAllowed
	case CodeRejected:
		return ErrRejected
	}
	return ErrGaveUp
}
