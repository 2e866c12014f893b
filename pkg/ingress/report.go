package ingress

import (
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Reasons for which a connection is closed, as told in metrics and log lines.
const (
	// reasonHeadSize is a head over the limit, reasonHeadMemory a head without room in the budget.
	reasonHeadSize   = "head_size"
	reasonHeadMemory = "head_memory"
	// reasonConns is one of too many connections.
	reasonConns = "connections"
	// reasonTime is a head, a body or an idle connection that took too long.
	reasonTime = "time"
)

// logInterval is the shortest time between two log lines on closed connections of one server.
const logInterval = 10 * time.Second

// Metrics counts the connections that servers close.
type Metrics struct {
	closed *prometheus.CounterVec
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_ingress_closed_total", Help: "Connections closed before a request was read, by server and reason.",
	}, []string{"server", "reason"})}
	r.MustRegister(m.closed)
	return m
}

// closedReport counts the connections closed since the last log line.
type closedReport struct {
	mu     sync.Mutex
	counts map[string]int
	// source is the address of the last one.
	source netip.Addr
	logged time.Time
}

// closed counts a connection that is closed for a reason.
func (s *Server) closed(c *conn, reason string) {
	if s.Metrics != nil {
		s.Metrics.closed.WithLabelValues(s.Name, reason).Inc()
	}
	if reason == reasonTime && c.idle.Load() {
		return // ordinary callers leave connections idle
	}
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	if s.report.counts == nil {
		s.report.counts = make(map[string]int)
	}
	s.report.counts[reason]++
	s.report.source = netip.Addr(c.source)
}

// logClosed writes a line on the connections closed since the last one, if there were any.
func (s *Server) logClosed() {
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	if s.Log == nil || len(s.report.counts) == 0 || s.now().Sub(s.report.logged) < logInterval {
		return
	}
	s.Log.Warn("closed connections of callers outside the limits", "server", s.Name, "reasons", s.report.counts, "last_from", s.report.source.String())
	s.report.counts, s.report.logged = nil, s.now()
}
