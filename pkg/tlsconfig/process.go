package tlsconfig

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/medlarsill/medlarsill/pkg/settings"
)

// ProcessKeys holds the TLS keys of a process: for its clients and for peers. TLS
// may be off for either.
type ProcessKeys struct {
	server, peer *Keys
	peerName     string
}

// FromSettings loads the key files that the settings name.
func FromSettings(server settings.ServerTLS, peer settings.MutualTLS) (*ProcessKeys, error) {
	p := &ProcessKeys{peerName: peer.ServerName}
	var err error
	if server.Enabled() {
		if p.server, err = Load(Files{Cert: server.Cert, Key: server.Key}); err != nil {
			return nil, err
		}
	}
	if peer.Enabled() {
		if p.peer, err = Load(Files{Cert: peer.Cert, Key: peer.Key, CA: peer.CA}); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Server returns the server configuration for clients; nil if TLS is off.
func (p *ProcessKeys) Server() *tls.Config {
	if p.server == nil {
		return nil
	}
	return p.server.Server()
}

// PeerServer returns the server configuration for peers; nil if TLS is off.
func (p *ProcessKeys) PeerServer() *tls.Config {
	if p.peer == nil {
		return nil
	}
	return p.peer.Server()
}

// PeerClient returns the client configuration for calls to peers; nil if TLS is off.
func (p *ProcessKeys) PeerClient() *tls.Config {
	if p.peer == nil {
		return nil
	}
	return p.peer.Client(p.peerName)
}

// Run reloads the files when they change or on SIGHUP, until the context ends.
// It catches SIGHUP even with TLS off, so that the signal never ends the process.
func (p *ProcessKeys) Run(ctx context.Context, log *slog.Logger) error {
	var wg sync.WaitGroup
	for name, keys := range map[string]*Keys{"tls": p.server, "peer_tls": p.peer} {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGHUP)
		defer signal.Stop(signals)
		if keys == nil {
			continue
		}
		wg.Go(func() { _ = keys.Watch(ctx, signals, reloadLogger(log, name)) })
	}
	<-ctx.Done()
	wg.Wait()
	return nil
}

// reloadLogger returns a report function for Keys.Watch that logs reloads and failures.
func reloadLogger(log *slog.Logger, name string) func(error) {
	return func(err error) {
		if err != nil {
			log.Error("failed to reload TLS keys", "keys", name, "error", err.Error())
			return
		}
		log.Info("TLS keys reloaded", "keys", name)
	}
}
