package main

import (
	"context"
	"net"
	"strconv"

	"github.com/medlarsill/medlarsill/pkg/actors"
)

// listeners are the open listeners of a process's HTTP servers.
type listeners struct {
	callers, ready, metrics net.Listener
	// forwarded accepts the connections of peers that forward requests.
	forwarded net.Listener
}

// listen opens all sockets of this process. It must be called once, before run. On an
// error nothing is left open. If a port in the settings is 0, a free one is chosen.
func (p *process) listen(ctx context.Context) error {
	var opened []net.Listener
	for _, s := range []struct {
		name string
		to   *net.Listener
		open func() (net.Listener, error)
	}{
		{"callers", &p.listeners.callers, func() (net.Listener, error) { return p.ingress.Listen(ctx) }},
		{"readiness", &p.listeners.ready, func() (net.Listener, error) { return net.Listen("tcp", p.cfg.ReadyListen) }},
		{"forwarded requests", &p.listeners.forwarded, func() (net.Listener, error) { return net.Listen("tcp", p.forwardListen()) }},
		{"metrics", &p.listeners.metrics, func() (net.Listener, error) { return net.Listen("tcp", p.cfg.MetricsListen) }},
	} {
		l, err := s.open()
		if err != nil {
			p.log.Error("failed to listen", "server", s.name, "error", err.Error())
			closeAll(opened)
			return err
		}
		*s.to, opened = l, append(opened, l)
	}
	if err := p.node.Open(); err != nil {
		p.log.Error("failed to listen", "server", "peers", "error", err.Error())
		closeAll(opened)
		return err
	}
	return nil
}

// forwardListen returns the address on which peers forward requests: the port of the datagrams.
func (p *process) forwardListen() string {
	return net.JoinHostPort(p.cfg.IP, strconv.Itoa(p.cfg.PeerPort))
}

func closeAll(list []net.Listener) {
	for _, l := range list {
		l.Close()
	}
}

// component is a named part of a process. When one ends, the process stops.
type component struct {
	name string
	run  actors.Actor
}

// logErrors returns the actors of components, which log their errors.
func (p *process) logErrors(list []component) []actors.Actor {
	out := make([]actors.Actor, 0, len(list))
	for _, c := range list {
		out = append(out, func(ctx context.Context) error {
			err := c.run(ctx)
			if err != nil {
				p.log.Error("component failed", "component", c.name, "error", err.Error())
			}
			return err
		})
	}
	return out
}
