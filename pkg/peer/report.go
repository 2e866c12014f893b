package peer

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Reasons for which a connection is closed, as told in metrics and log lines.
const (
	// reasonMessage is a message over the limit, reasonDefinitions too many definitions of types.
	reasonMessage     = "message_size"
	reasonDefinitions = "definitions"
	// reasonMemory is one of too many unfinished messages and calls in progress.
	reasonMemory = "memory"
	// reasonConns is one of too many connections.
	reasonConns = "connections"
)

// logInterval is the shortest time between two log lines on closed connections.
const logInterval = 10 * time.Second

// report counts the connections that a server closes, and logs some of them.
type report struct {
	counts *prometheus.CounterVec
	log    *slog.Logger

	mu     sync.Mutex
	logged time.Time
}

// Report lets the server count the connections that it closes because of its limits, and log them.
// It must be called before Serve.
func (s *Server) Report(r prometheus.Registerer, log *slog.Logger) {
	s.limits.report.log = log
	s.limits.report.counts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_peer_closed_total", Help: "Connections of peers closed because of a limit, by reason.",
	}, []string{"reason"})
	r.MustRegister(s.limits.report.counts)
}

// closed records that a connection is closed for a reason.
func (r *report) closed(c net.Conn, reason string) {
	if r.counts == nil {
		return
	}
	r.counts.WithLabelValues(reason).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.logged) >= logInterval {
		r.logged = now
		r.log.Warn("closed a peer's connection outside the limits", "reason", reason, "from", c.RemoteAddr().String())
	}
}
