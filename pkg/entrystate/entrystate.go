// Package entrystate reports over net/rpc whether an entry is ready and which
// configuration it has in force.
package entrystate

import (
	"context"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// ServiceName is the name under which RPC is registered with a peer.Server.
const ServiceName = "State"

// method is the full name of the service's only RPC method.
const method = ServiceName + ".Get"

// Report is the state of an entry.
type Report struct {
	ID string
	// Revision is the configuration revision in force; 0 if there is none.
	Revision uint64
	// Preset is the preset in force.
	Preset string
	// Ready reports whether the entry accepts new requests.
	Ready bool
}

// None is the empty RPC argument.
type None struct{}

// RPC serves an entry's report over net/rpc.
type RPC struct {
	id      string
	current func() *config.Envelope
	ready   func() bool
}

// New returns the RPC receiver to register under ServiceName.
func New(id string, current func() *config.Envelope, ready func() bool) *RPC {
	return &RPC{id: id, current: current, ready: ready}
}

// Get is the RPC method; it fills in the entry's report.
func (r *RPC) Get(_ None, out *Report) error {
	out.ID = r.id
	out.Ready = r.ready()
	if env := r.current(); env != nil {
		out.Revision, out.Preset = env.Revision, env.Preset
	}
	return nil
}

// AddrCaller calls RPC methods by address; peer.Client implements it.
type AddrCaller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

var _ AddrCaller = (*peer.Client)(nil)

// Get returns the report of the entry at an address.
func Get(ctx context.Context, c AddrCaller, addr string) (Report, error) {
	var out Report
	err := c.CallAddr(ctx, addr, method, None{}, &out)
	return out, err
}
