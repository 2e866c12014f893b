package objectstore

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
)

// TransportError translates a failure of an HTTP call: one that never left this
// process is ErrUnavailable, the effect of any other is ErrUnknown.
func TransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// ReadError maps an unknown outcome of a read to ErrUnavailable: a read has no effect.
func ReadError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return err
}
