package objectstore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"

	"github.com/rotisserie/eris"
)

// TransportError maps the error of an HTTP call that failed without a whole response: to
// ErrUnavailable if no connection was set up, so that the call was not sent, and to ErrUnknown
// otherwise, with ErrNoResponse or ErrInterrupted. ctx is the context of the call.
func TransportError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	if ctx.Err() != nil || isUnreachable(err) {
		return incomplete(ErrNoResponse, ErrUnknown, err)
	}
	return incomplete(ErrInterrupted, ErrUnknown, err)
}

// isUnreachable reports whether a connection has ended because the other side was silent.
func isUnreachable(err error) bool {
	return slices.ContainsFunc([]error{os.ErrDeadlineExceeded, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH}, func(cause error) bool {
		return errors.Is(err, cause)
	})
}

// incomplete returns the error of a call without a whole response: how it ended, and what that says
// of its outcome.
func incomplete(end, outcome, cause error) error {
	return fmt.Errorf("%w: %s: %w", end, cause.Error(), outcome)
}

// ReadError maps ErrUnknown to ErrUnavailable, for reads, which have no effect. It
// returns other errors as they are.
func ReadError(err error) error {
	if !errors.Is(err, ErrUnknown) {
		return err
	}
	for _, end := range []error{ErrInterrupted, ErrNoResponse} {
		if errors.Is(err, end) {
			return incomplete(end, ErrUnavailable, err)
		}
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}
