// Package silentsocket makes sockets silent: their kernel drops all that they receive, without
// acknowledging it, as if their machine stood still. Only tests import it.
package silentsocket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Begin makes a connection or a listener silent.
func Begin(c syscall.Conn) error {
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}}
	return control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	})
}

// End makes it receive again.
func End(c syscall.Conn) error {
	return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// control sets an option of a socket. Its error is net.ErrClosed if the socket is closed.
func control(c syscall.Conn, set func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = set(int(fd)) }); err != nil {
		return err
	}
	return optErr
}
