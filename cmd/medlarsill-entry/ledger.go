package main

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/forward"
	"github.com/medlarsill/medlarsill/pkg/ledger"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// ledgerGrace is how long a planned stop waits for the ledger to commit outcomes.
const ledgerGrace = 5 * time.Second

// newForwarder returns the forwarder for plain services with its ledger. The
// returned function commits pending outcomes and closes the ledger.
func newForwarder(
	cfg settings.Entry, reg prometheus.Registerer, store objectstore.Store,
	directory *peer.Directory, peers peer.Caller, server *peer.Server,
) (*forward.Forwarder, func(), error) {
	l := ledger.New(ledger.Options{
		Store: store, Peers: directory, Caller: peers, Self: cfg.ID, Metrics: ledger.NewMetrics(reg),
	})
	if err := l.Register(server); err != nil {
		return nil, nil, err
	}
	pooled, single := forward.NewTransports()
	f := &forward.Forwarder{
		Ledger: l, Pooled: pooled, Single: single, Metrics: forward.NewMetrics(reg), Now: time.Now,
	}
	closeLedger := func() {
		ctx, cancel := context.WithTimeout(context.Background(), ledgerGrace)
		defer cancel()
		l.Close(ctx)
		pooled.CloseIdleConnections()
	}
	return f, closeLedger, nil
}
