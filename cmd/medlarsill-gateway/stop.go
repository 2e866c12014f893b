package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/sleep"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// lameDuck is how long a stopping process still accepts connections: callers
	// are sent elsewhere only after its readiness was asked for twice.
	lameDuckPeriod = 2500 * time.Millisecond
	// farewellTime bounds the messages to the peers at the end of a planned stop.
	leaveTimeout = 100 * time.Millisecond
	// stopMargin is the part of the grace that is left for ending the process.
	stopMargin = 300 * time.Millisecond
)

// readiness answers whether new callers should come here.
func (p *process) readiness() http.Handler {
	e := echo.New()
	e.GET(platform.ReadyPath, func(c *echo.Context) error {
		if !p.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// stopOnSignal waits for the signal of a planned stop, and returns once the
// requests under way have ended or the grace is nearly over.
func (p *process) stopOnSignal(ctx context.Context) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-p.stopRequested:
	}
	p.stopping.Store(true)
	p.gateway.Stop()
	p.log.Info("stopping", "active", p.gateway.Active())
	p.drain()
	p.announceLeave()
	p.log.Info("stopped", "active", p.gateway.Active())
	return nil
}

// sayFarewell tells the peers that nothing more is admitted here, so that nothing is
// set aside for this instance.
func (p *process) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.node.Leave(ctx)
}

// requestStop asks for a planned stop, as a signal does.
func (p *process) requestStop() { close(p.stopRequested) }

// drain waits for the end of the requests under way. Until the balancer sends
// callers elsewhere the listener stays open; then kept connections are closed,
// as a request that came late in the grace could not be finished in it.
func (p *process) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), seconds(p.cfg.StopGraceS)-stopMargin)
	defer cancel()
	sleep.For(ctx, lameDuckPeriod)
	if err := p.ingress.Drain(ctx); err != nil {
		p.log.Warn("stopped with requests under way", "active", p.gateway.Active(), "error", err.Error())
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reloadOnSignal reads the settings again when asked to. What this process
// depends on is fixed at its start; a change is told in the log.
func (p *process) reloadOnSignal(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			p.reload()
		}
	}
}

// reload checks the settings file and tells whether it differs from what is in use.
func (p *process) reload() {
	var next settings.Gateway
	if err := settings.Load(p.file, &next); err != nil {
		p.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	p.log.Info("settings reloaded", "changed", !reflect.DeepEqual(next, p.cfg))
}
