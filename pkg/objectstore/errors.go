package objectstore

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
)

// TransportError maps the error of a failed HTTP call: to ErrUnavailable if no
// connection was set up, so that the call was not sent, and to ErrUnknown otherwise.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// ReadError maps ErrUnknown to ErrUnavailable, for reads, which have no effect. It
// returns other errors as they are.
func ReadError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return err
}
