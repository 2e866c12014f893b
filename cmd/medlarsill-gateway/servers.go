package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/connbudget"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/ingress"
)

const (
	// forwardedHeadBytes is what instances add at most to the head of a request that they forward.
	forwardedHeadBytes = 8 << 10
	// operationsHeadBytes limits the heads of requests for metrics and readiness.
	operationsHeadBytes = 16 << 10
	// internalHeaderTimeout and internalIdleTimeout limit the connections of peers, and those for
	// metrics and readiness.
	internalHeaderTimeout = 5 * time.Second
	internalIdleTimeout   = 2 * time.Minute
)

// setUpServers creates the servers of callers, of peers that forward requests, of metrics and of
// readiness. They share the memory for heads and the instance's descriptors.
func (p *process) setUpServers() {
	heads := connbudget.NewHeads(int64(headShare * float64(p.cfg.MemoryMB) * (1 << 20)))
	conns := connbudget.Split(p.cfg.MaxFDs)
	closed := ingress.NewMetrics(p.metrics)
	newServer := func(name, addr string, h http.Handler, limits func() ingress.Limits, most int) *ingress.Server {
		s := ingress.New(addr, h, limits, time.Now)
		s.Name, s.MaxConns, s.Heads, s.Metrics, s.Log = name, most, heads, closed, p.log
		return s
	}
	p.ingress = newServer("callers", p.cfg.Listen, p.startup.Handler(p.newStartupGate().Handler(p.gateway)), p.limits, conns.Callers)
	p.forwarded = newServer("forwarded requests", "", p.gateway.ForwardedHandler(), p.forwardedLimits, conns.Peers)
	p.readinessServer = newServer("readiness", p.cfg.ReadyListen, p.readiness(), operationsLimits, conns.Readiness)
	p.metricsServer = newServer("metrics", p.cfg.MetricsListen, httpserver.Operations(p.metrics, p.ready), operationsLimits, conns.Metrics)
}

// limits returns the current limits on callers' connections.
func (p *process) limits() ingress.Limits {
	t := p.config.Current()
	if t == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{Header: t.Limits.HeaderTimeout, Idle: t.Limits.IdleTimeout, HeadBytes: t.Limits.HeaderBytes}
}

// forwardedLimits returns the limits on the connections of peers. Their requests have the heads of
// callers' requests and what instances add.
func (p *process) forwardedLimits() ingress.Limits {
	l := ingress.Limits{Header: internalHeaderTimeout, Idle: internalIdleTimeout}
	if t := p.config.Current(); t != nil && t.Limits.HeaderBytes > 0 {
		l.HeadBytes = t.Limits.HeaderBytes + forwardedHeadBytes
	}
	return l
}

// operationsLimits returns the limits on the connections for metrics and readiness.
func operationsLimits() ingress.Limits {
	return ingress.Limits{Header: internalHeaderTimeout, Idle: internalIdleTimeout, HeadBytes: operationsHeadBytes}
}

// serverComponents returns the components that serve incoming connections.
func (p *process) serverComponents() []component {
	var out []component
	for _, s := range []struct {
		*ingress.Server
		listener net.Listener
	}{
		{p.ingress, p.listeners.callers}, {p.forwarded, p.listeners.forwarded}, {p.readinessServer, p.listeners.ready}, {p.metricsServer, p.listeners.metrics},
	} {
		out = append(out, component{s.Name, func(ctx context.Context) error { return serve(ctx, s.Server, s.listener) }}, component{s.Name + " limits", s.Sweep})
	}
	return out
}

// serve serves until the context ends, and then closes all connections.
func serve(ctx context.Context, s *ingress.Server, l net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
		return nil
	case <-ctx.Done():
		return s.Close()
	}
}
