// Package resetconn opens TCP connections that are reset when they are closed, so that nothing
// that was written arrives after that. The kernel would otherwise go on sending what a partition
// holds up, after the lease or the deadline under which it was written has ended.
package resetconn

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialContext returns a function that opens such connections, within a timeout, for
// http.Transport.
func DialContext(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, Control: Control}).DialContext
}

// maxHeadBytes bounds the status line and the headers of a response. The default of net/http is 10 MiB,
// which take many times as much once they are parsed.
const maxHeadBytes = 64 << 10

// NewTransport returns a transport for the platform's APIs that opens such connections, within a timeout.
func NewTransport(timeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: DialContext(timeout), MaxResponseHeaderBytes: maxHeadBytes}
}

// Control sets the option of a socket before it is connected. It is a net.Dialer's Control.
func Control(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
	if err != nil {
		return err
	}
	return optErr
}
