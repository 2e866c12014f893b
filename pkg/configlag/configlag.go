// Package configlag notices that this instance's configuration is older than a peer's, and reads
// the newer one. Changes usually come by a watch; whatever holds that up, the peers that have a
// change tell which version it is.
package configlag

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Options configures a Detector. All fields are required.
type Options struct {
	// Own returns the version of the configuration in force, 0 if there is none.
	Own func() uint64
	// Patience is the time in which a change usually reaches all instances.
	Patience time.Duration
	// Receiving reports whether changes are being received, so that another read would only slow
	// that down.
	Receiving func() bool
	// Refresh reads the newest configuration and puts it in force.
	Refresh func(ctx context.Context) error
	// State returns what is known of the watch that brings changes, for log lines.
	State   func() slog.Attr
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Detector compares the configuration in force with those of the peers. It is safe for concurrent
// use.
type Detector struct {
	Options
	late prometheus.Counter
	// newer is signalled when a peer has a newer version.
	newer chan struct{}

	mu sync.Mutex
	// version is the newest version that a peer has in force, and peer that peer.
	version uint64
	peer    string
}

// New returns a detector that has heard of no peer.
func New(o Options) *Detector {
	late := promauto.With(o.Metrics).NewCounter(prometheus.CounterOpts{
		Name: "medlarsill_config_late_total", Help: "Configurations that peers had in force long before this instance.",
	})
	return &Detector{Options: o, late: late, newer: make(chan struct{}, 1)}
}

// Observe records the version that a peer has in force.
func (d *Detector) Observe(peer string, version uint64) {
	if version <= d.Own() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.version {
		d.version, d.peer = version, peer
	}
	select {
	case d.newer <- struct{}{}:
	default:
	}
}

// takeNewest returns the newest version that a peer has told since the last call, and that peer.
func (d *Detector) takeNewest() (version uint64, peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, peer = d.version, d.peer
	d.version, d.peer = 0, ""
	return version, peer
}

// Run reads late configurations until the context ends.
func (d *Detector) Run(ctx context.Context) error {
	for {
		select {
		case <-d.newer:
			d.await(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// await gives this instance Patience to have the newest version of its peers in force, and reads it
// otherwise. Until it has it, each further message of such a peer leads here again.
func (d *Detector) await(ctx context.Context) {
	version, peer := d.takeNewest()
	if d.Own() >= version || !sleep.For(ctx, d.Patience) {
		return
	}
	own := d.Own()
	if own >= version {
		return
	}
	d.late.Inc()
	receiving := d.Receiving()
	d.Log.Warn("configuration older than a peer's", "version", own, "peer", peer, "peer_version", version, "waited_ms", d.Patience.Milliseconds(), "receiving", receiving, d.State())
	if receiving {
		return
	}
	if err := d.Refresh(ctx); err != nil {
		d.Log.Warn("failed to read configuration", "error", err.Error())
	}
}
