// Command medlarsill-controller keeps the capacity of the services. One runs on
// every entry instance; a lease decides which of them acts.
package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/cloud/httpcloud"
	"github.com/medlarsill/medlarsill/pkg/controller"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/storebudget"
)

// dutyName names the lease of the capacity duty.
const dutyName = "capacity"

// Times of calls and of the stop.
const (
	dialTimeout = 500 * time.Millisecond
	stopGrace   = time.Second
)

func main() {
	var cfg settings.Controller
	if code, done := settings.FromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	// Operators send SIGHUP to all processes when keys change; here none are used.
	signal.Ignore(syscall.SIGHUP)
	log := logging.New(cfg.Log, os.Stderr)
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(settings.ExitFailure)
	}
}

// serve wires the components and runs them until a signal.
func serve(cfg settings.Controller, log *slog.Logger) error {
	reg := prometheus.NewRegistry()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	store := storebudget.New(storebudget.Options{
		Inner: httpstore.NewClient(cfg.ObjectAPI, client), Role: "controller",
		Budget: storebudget.DefaultBudget, Metrics: storebudget.NewMetrics(reg), Now: time.Now, Rand: newRand(),
	})
	clouds := httpcloud.NewClient(cfg.CloudAPI, client)
	follower := revision.NewFollower(store, log, time.Now)
	notices := fleet.NewTable(time.Now, func(id string, _ time.Time) { log.Info("instance is leaving", "instance", id) })
	duty := newDuty(cfg.ID, store, log)
	defer release(duty, log)
	loop := controller.New(controller.Options{
		Store: store, Cloud: clouds, Engine: httpengine.NewClient(client), Config: follower, Lease: duty,
		Leaving: notices.Leaving, Tuning: capacity.DefaultTuning().Faster(cfg.Pace), Interval: pace(controller.DefaultInterval, cfg.Pace),
		Log: log, Metrics: controller.NewMetrics(reg), Now: time.Now, Random: rand.Float64,
	})

	ready := func() bool { return follower.Current() != nil }
	operations := httpserver.New(cfg.MetricsListen, httpserver.Operations(reg, ready))
	return actors.Run(
		actors.Signals,
		follower.Run,
		duty.Run,
		func(ctx context.Context) error { return fleet.FollowNotices(ctx, clouds, notices) },
		loop.Run,
		func(ctx context.Context) error { return httpserver.Run(ctx, operations, stopGrace) },
	)
}

// newRand returns a random source of its own for a component that locks around it.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newDuty returns the lease under which one of the controllers acts.
func newDuty(id string, store objectstore.Store, log *slog.Logger) *lease.Lease {
	return lease.New(lease.Options{
		Config: lease.Config{
			Self: id + "/" + uuid.NewString(), Duration: lease.DefaultDuration,
			Rand: newRand(), WriteID: uuid.NewString,
		},
		Duty: dutyName, Store: store, Log: log, Now: time.Now, Candidate: func(bool) bool { return true },
	})
}

// release gives the lease up at the end of a planned stop, so that another
// controller need not wait for its lapse.
func release(duty *lease.Lease, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if err := duty.Release(ctx); err != nil {
		log.Warn("lease not released", "error", err.Error())
	}
}

// pace divides a time, down to the shortest interval that makes sense.
func pace(d time.Duration, factor float64) time.Duration {
	return max(time.Duration(float64(d)/factor), minInterval)
}

// minInterval is the shortest time between two steps.
const minInterval = 200 * time.Millisecond
