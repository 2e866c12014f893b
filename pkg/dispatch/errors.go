package dispatch

import "github.com/rotisserie/eris"

// Errors of this layer.
var (
	// ErrNotRun means that no attempt reached an endpoint.
	ErrNotRun = eris.New("dispatch: request was not run")
	// ErrGaveUp means that attempts ran but none could finish the answer.
	ErrGaveUp = eris.New("dispatch: answer could not be finished")
	// ErrNotAllowed means that the configuration allows no place for the work.
	ErrNotAllowed = eris.New("dispatch: no place is allowed")
	// ErrRejected means that the engine refuses the request as invalid.
	ErrRejected = eris.New("dispatch: request rejected by the engine")
	// ErrDiverged means that the answer goes on elsewhere from an older copy,
	// so that it has to be read again from its start.
	ErrDiverged = eris.New("dispatch: answer continues from an older copy")
	// ErrOwnerLost means that another process has the answer and can't be
	// reached from here; another entry may reach it.
	ErrOwnerLost = eris.New("dispatch: the answer's owner can't be reached")
	// ErrTakenOver means that another process continues the answer.
	ErrTakenOver = eris.New("dispatch: another process has taken the answer over")
)

// errStale means that no attempt may be placed until the newest configuration is confirmed.
var errConfigNotConfirmed = eris.New("dispatch: configuration is not confirmed")

// Code is an error of this layer in a form that peers exchange.
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
