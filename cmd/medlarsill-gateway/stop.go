package main

import (
	"context"
	"errors"
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
	// lameDuckPeriod is how long a stopping process still accepts connections: the
	// balancer sends callers elsewhere only after two readiness checks.
	lameDuckPeriod = 2500 * time.Millisecond
	// leaveTimeout limits the messages to the peers at the end of a planned stop.
	leaveTimeout = 100 * time.Millisecond
	// answerTimeout limits the answers to the requests that are in progress at the end of the grace
	// period.
	answerTimeout = 100 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for ending the process.
	stopMargin = 300 * time.Millisecond
)

// readiness returns the handler of the balancer's readiness checks.
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
// requests in progress have ended or the grace period is nearly over.
func (p *process) stopOnSignal(ctx context.Context) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-p.stopRequested:
	}
	p.stopping.Store(true)
	end := time.Now().Add(seconds(p.cfg.StopGraceS) - stopMargin)
	p.gateway.Stop(end)
	p.log.Info("stopping", "active", p.gateway.Active())
	p.drain(end)
	p.announceLeave()
	p.log.Info("stopped", "active", p.gateway.Active())
	return nil
}

// announceLeave tells the peers that this instance admits no more requests, so that
// they don't reserve a share of the allowances for it.
func (p *process) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.node.Leave(ctx)
}

// requestStop requests a planned stop, as a signal does.
func (p *process) requestStop() { close(p.stopRequested) }

// drain waits until end for the end of the requests in progress. The listener stays open until
// the balancer sends callers elsewhere. Then idle connections are closed, as a request
// that arrived late in the grace period could not finish within it.
func (p *process) drain(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	sleep.For(ctx, lameDuckPeriod)
	if err := p.ingress.Drain(ctx); err != nil {
		p.log.Warn("grace period ended with requests in progress", "active", p.gateway.Active(), "error", err.Error())
	}
	if err := p.forwarded.Drain(ctx); err != nil {
		p.log.Warn("grace period ended with forwarded requests in progress", "active", p.gateway.Active(), "error", err.Error())
	}
	p.endRequests()
}

// endRequests answers the requests that are still in progress.
func (p *process) endRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	p.gateway.EndRequests()
	if err := errors.Join(p.ingress.Drain(ctx), p.forwarded.Drain(ctx)); err != nil {
		p.log.Warn("requests not ended in time", "active", p.gateway.Active(), "error", err.Error())
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reloadOnSignal reads the settings file again on SIGHUP. The settings in use are
// fixed at the start; changes are only logged.
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

// reload validates the settings file and logs whether it differs from the settings
// in use.
func (p *process) reload() {
	var next settings.Gateway
	if err := p.source.Load(&next); err != nil {
		p.log.Error("failed to reload settings", "error", err.Error())
		return
	}
	p.log.Info("settings reloaded", "changed", !reflect.DeepEqual(next, p.cfg))
}
