package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/pkg/entry"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// defaultStopGrace is the default limit on the duration of a planned stop.
const defaultStopGrace = 30 * time.Second

// stopper performs a planned stop, triggered by a signal or by a reclaim notice
// for this entry's own instance.
type stopper struct {
	server   *entry.Server
	http     *http.Server
	log      *slog.Logger
	grace    time.Duration
	lameDuck time.Duration
	// reclaimNotices receives the time left from a reclaim notice.
	reclaimNotices chan time.Duration
}

func newStopper(cfg settings.Entry, server *entry.Server, h *http.Server, log *slog.Logger) *stopper {
	return &stopper{
		server: server, http: h, log: log,
		grace:          orDefault(cfg.StopGraceMS, defaultStopGrace),
		lameDuck:       orDefault(cfg.LameDuckMS, entry.LameDuck),
		reclaimNotices: make(chan time.Duration, 1),
	}
}

// Run waits for a signal or a reclaim notice and then stops the entry, letting
// running requests finish or handing them over.
func (s *stopper) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	left := s.grace
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	case left = <-s.reclaimNotices:
		left = min(left, s.grace)
	}
	s.stop(left)
	return nil
}

// OnReclaimNotice triggers a stop; left is the time until the instance is reclaimed.
func (s *stopper) OnReclaimNotice(left time.Duration) {
	select {
	case s.reclaimNotices <- left:
	default:
	}
}

func (s *stopper) stop(left time.Duration) {
	end := time.Now().Add(left)
	s.server.Drain()
	time.Sleep(min(s.lameDuck, left/4))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- s.http.Shutdown(ctx) }()
	lost := s.server.Finish(ctx, time.Until(end))
	err := <-closed
	s.log.Info("stopped", "answers_lost", lost, "all_callers_answered", err == nil)
}

func orDefault(ms int, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}
