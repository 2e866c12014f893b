// Command medlarsill-admin serves the operators' API on an entry instance. It is stateless.
package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/admin"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/cloud/httpcloud"
	"github.com/medlarsill/medlarsill/pkg/httpconn"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/resetconn"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/tlsconfig"
)

// Timeouts of a planned stop, of calls to the platform and of operators' connections.
const (
	stopGrace   = 15 * time.Second
	dialTimeout = 500 * time.Millisecond
	// responseTimeout bounds the time until the response is written: a change may
	// wait for the audit trail, for the write and until it is in force.
	responseTimeout = 90 * time.Second
	// idleTimeout closes connections without requests.
	idleTimeout = 2 * time.Minute
)

func main() {
	var cfg settings.Admin
	if code, done := settings.FromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	log := logging.New(cfg.Log, os.Stderr)
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(settings.ExitFailure)
	}
}

// serve creates the components and runs them until a signal or the first failure.
func serve(cfg settings.Admin, log *slog.Logger) error {
	reg := prometheus.NewRegistry()
	keys, err := tlsconfig.FromSettings(cfg.TLS, cfg.PeerTLS)
	if err != nil {
		return err
	}
	platform := &http.Client{Transport: httpconn.NewTransport(resetconn.NewTransport(dialTimeout))}
	store := httpstore.NewClient(cfg.ObjectAPI, platform)
	peers := peer.NewClient(&peer.Directory{}, keys.PeerClient())
	defer peers.Close()
	server := admin.New(admin.Options{
		ID: cfg.ID, Config: admin.NewConfigStore(store, nil), Fleet: admin.NewFleet(store, peers, log),
		Trail: audit.New(store, nil), Store: store, Cloud: httpcloud.NewClient(cfg.CloudAPI, platform),
		Operators: auth.New(cfg.Operators), InForceWait: time.Duration(cfg.InForceWaitMS) * time.Millisecond,
		Log: log, Metrics: admin.NewMetrics(reg), Now: time.Now,
	})
	operators := httpserver.New(cfg.Listen, server.Handler())
	operators.TLSConfig = keys.Server()
	operators.WriteTimeout, operators.IdleTimeout = responseTimeout, idleTimeout
	operations := httpserver.New(cfg.MetricsListen, httpserver.Operations(reg, server.Ready))
	return actors.Run(
		actors.Signals,
		func(ctx context.Context) error { return keys.Run(ctx, log) },
		func(ctx context.Context) error { return httpserver.Run(ctx, operators, stopGrace) },
		func(ctx context.Context) error { return httpserver.Run(ctx, operations, time.Second) },
	)
}
