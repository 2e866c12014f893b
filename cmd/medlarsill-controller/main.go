// Command medlarsill-controller controls the capacity of the services. It runs on
// every entry instance; only the holder of a lease acts.
package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
	"github.com/medlarsill/medlarsill/pkg/revision"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/storebudget"
)

// dutyName is the name of the duty and of its lease.
const dutyName = "capacity"

// Timeouts of connecting and of a planned stop.
const (
	dialTimeout = 500 * time.Millisecond
	stopGrace   = time.Second
)

func main() {
	var cfg settings.Controller
	if code, done := settings.FromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	// Operators send SIGHUP to all processes when keys change; this one uses no keys.
	signal.Ignore(syscall.SIGHUP)
	log := logging.New(cfg.Log, os.Stderr)
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(settings.ExitFailure)
	}
}

// serve creates the components and runs them until a signal or the first failure.
func serve(cfg settings.Controller, log *slog.Logger) error {
	reg := prometheus.NewRegistry()
	client := &http.Client{Transport: httpconn.NewTransport(resetconn.NewTransport(dialTimeout))}
	store := storebudget.New(storebudget.Options{
		Inner: httpstore.NewClient(cfg.ObjectAPI, client), Role: "controller",
		Budget: storebudget.DefaultBudget, Metrics: storebudget.NewMetrics(reg), Now: time.Now, Rand: newRand(),
	})
	clouds := httpcloud.NewClient(cfg.CloudAPI, client)
	follower := revision.NewFollower(store, log, time.Now)
	notices := fleet.NewTable(time.Now, func(id string, _ time.Time) { log.Info("reclaim notice received", "instance", id) })
	duty := newDuty(cfg.ID, store, log)
	defer releaseLease(duty, log)
	loop := controller.New(controller.Options{
		Store: store, Cloud: clouds, Engine: httpengine.NewClient(client), Config: follower, Lease: duty,
		Leaving: notices.Leaving, Tuning: capacity.DefaultTuning().Faster(cfg.Pace), Interval: scaleInterval(controller.DefaultInterval, cfg.Pace),
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

// newRand returns a random source. Each component needs its own and must guard it
// with a lock.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newDuty returns the lease for the capacity duty.
func newDuty(id string, store objectstore.Store, log *slog.Logger) *lease.Lease {
	return lease.New(lease.Options{
		Config: lease.Config{
			Self: id + "/" + uuid.NewString(), Duration: lease.DefaultDuration,
			Rand: newRand(), WriteID: uuid.NewString,
		},
		Duty: dutyName, Store: store, Log: log, Now: time.Now, Candidate: func(bool) bool { return true },
	})
}

// releaseLease releases the lease at the end of a planned stop, so that another
// controller need not wait until it expires.
func releaseLease(duty *lease.Lease, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if err := duty.Release(ctx); err != nil {
		log.Warn("failed to release lease", "error", err.Error())
	}
}

// scaleInterval divides an interval by factor; the result is at least minInterval.
func scaleInterval(d time.Duration, factor float64) time.Duration {
	return max(time.Duration(float64(d)/factor), minInterval)
}

// minInterval is the minimum interval between steps of the controller.
const minInterval = 200 * time.Millisecond
