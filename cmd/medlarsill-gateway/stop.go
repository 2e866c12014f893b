package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// lameDuck is how long a stopping process still accepts connections: callers
	// are sent elsewhere only after its readiness was asked for twice.
	lameDuck = 2500 * time.Millisecond
	// stopMargin is the part of the grace that is left for ending the process.
	stopMargin = 400 * time.Millisecond
	// stopPoll is the time between two looks at the requests under way.
	stopPoll = 50 * time.Millisecond
	// idleRounds is the number of looks without a request after which a process stops.
	idleRounds = 4
)

// readiness answers whether new callers should come here.
func (p *process) readiness() http.Handler {
	e := echo.New()
	e.GET("/v1/readyz", func(c *echo.Context) error {
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
	<-ctx.Done()
	p.stopping.Store(true)
	p.gateway.Stop()
	p.log.Info("stopping", "active", p.gateway.Active())
	p.drain()
	p.log.Info("stopped", "active", p.gateway.Active())
	return nil
}

// drain waits for the end of the requests under way.
func (p *process) drain() {
	ctx := context.Background()
	end := time.Now().Add(time.Duration(p.cfg.StopGraceS*float64(time.Second)) - stopMargin)
	sleep.For(ctx, lameDuck)
	for idle := 0; idle < idleRounds && time.Now().Before(end); {
		sleep.For(ctx, stopPoll)
		idle++
		if p.gateway.Active() > 0 {
			idle = 0
		}
	}
}
