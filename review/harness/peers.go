package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
)

// peerLinks are links for the datagrams between instances. An instance that can be cut off from
// the others reads, in its view of the store, the address of a link in place of each of theirs,
// and they in place of its own.
type peerLinks struct {
	mu  sync.Mutex
	cut bool
}

// setCut cuts or heals the links.
func (p *peerLinks) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *peerLinks) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// linkPeers puts links between the first n instances and all others. It is called before the start.
func (d *deployment) linkPeers(n int) (*peerLinks, error) {
	p := &peerLinks{}
	replace := make([][]string, len(d.gateways))
	for i := range n {
		for j := i + 1; j < len(d.gateways); j++ {
			a, b := d.gateways[i], d.gateways[j]
			toA, toB, err := p.link(a.peerAddr(), b.peerAddr())
			if err != nil {
				return nil, err
			}
			replace[i] = append(replace[i], b.peerAddr(), toB)
			replace[j] = append(replace[j], a.peerAddr(), toA)
		}
	}
	for i, g := range d.gateways {
		if err := d.viewStore(g, strings.NewReplacer(replace[i]...)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// peerAddr returns the address at which an instance receives datagrams.
func (g *gateway) peerAddr() string { return net.JoinHostPort(g.ip, strconv.Itoa(g.internalPort)) }

// link returns the addresses of a link between two instances: the one at which b reaches a, and the
// one at which a reaches b.
func (p *peerLinks) link(a, b string) (toA, toB string, err error) {
	atA, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	atB, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	for _, way := range []struct {
		in, out net.PacketConn
		to      string
	}{{atA, atB, a}, {atB, atA, b}} {
		to, err := net.ResolveUDPAddr("udp4", way.to)
		if err != nil {
			return "", "", err
		}
		go p.forward(way.in, way.out, to)
	}
	return atA.LocalAddr().String(), atB.LocalAddr().String(), nil
}

// forward passes datagrams on, unless the links are cut.
func (p *peerLinks) forward(in, out net.PacketConn, to net.Addr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFrom(buf)
		if err != nil {
			return
		}
		if !p.isCut() {
			_, _ = out.WriteTo(buf[:n], to) // datagrams may be lost
		}
	}
}

// viewStore lets an instance see the store with other addresses of its peers.
func (d *deployment) viewStore(g *gateway, addrs *strings.Replacer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.storeLink.target = l.Addr().String()
	view := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		d.store.ServeHTTP(rec, r)
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		body := rec.Body.String()
		if r.Method == http.MethodGet {
			body = addrs.Replace(body)
		}
		w.WriteHeader(rec.Code)
		_, _ = io.WriteString(w, body)
	})
	go func() { _ = http.Serve(l, view) }() // it ends with the process
	return nil
}
