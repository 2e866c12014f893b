package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/kvmove"
	"github.com/medlarsill/medlarsill/pkg/upstream"
)

// freeTimeout limits the time of the request that frees a copy. Engines free copies by themselves later.
const freeTimeout = time.Second

// MoveOrder is the order to an endpoint to hand a running request over to another one.
type MoveOrder struct {
	// EndpointID and Addr are of the endpoint that runs the request.
	EndpointID, Addr string
	// RequestID is the id of the request, and To the address of the other endpoint.
	RequestID, To string
	// Last is true if the run is to stop.
	Last bool
}

// Handover names a run that an endpoint has handed over; the zero value is none.
type Handover struct {
	// Addr is the address of the endpoint that has handed it over.
	Addr, Handle string
}

// order has the source copy the KV cache to the destination, and stop the run if it is the last order. An
// order that was certainly not sent counts as refused: the run goes on.
func (m *mover) order(last bool, limit time.Duration) kvmove.Reply {
	m.mu.Lock()
	to := m.placement.Endpoint.Addr
	m.mu.Unlock()
	source := m.origin.Endpoint
	var reply kvmove.Reply
	err := m.gateway.exchangeWith(source, limit,
		m.gateway.Protocol.MoveRequest(MoveOrder{EndpointID: source.ID, Addr: source.Addr, RequestID: m.id, To: to, Last: last}),
		func(resp *http.Response) { reply = m.gateway.Protocol.MoveReply(resp) })
	if err != nil {
		m.gateway.Log.Debug("no answer to an order to move a stream", "request", m.id, "source", source.ID, "last", last, "error", err.Error())
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return kvmove.Reply{Result: kvmove.Refused}
	}
	return reply
}

// free frees the copies of a move that no request uses.
func (m *mover) free(handles []string) {
	source := m.origin.Endpoint
	for _, handle := range handles {
		err := m.gateway.exchangeWith(source, freeTimeout, m.gateway.Protocol.FreeRequest(source.ID, source.Addr, handle), func(*http.Response) {})
		if err != nil {
			m.gateway.Log.Debug("failed to free a copy of a stream", "request", m.id, "source", source.ID, "error", err.Error())
			return
		}
	}
}

// exchangeWith sends a request of the gateway's own to an endpoint over a new connection, and reads its
// answer within a time. A connection that was used before might bring the answer to an earlier request.
func (g *Gateway) exchangeWith(e *endpoints.Endpoint, limit time.Duration, req *http.Request, read func(*http.Response)) error {
	ctx, cancel := context.WithTimeout(g.life, limit)
	defer cancel()
	conn, err := g.Pool.Open(ctx, e.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	sentAt := g.Now()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	resp, err := conn.Do(req, func(*http.Response) bool { return true })
	if err != nil {
		return err
	}
	g.observe(e, sentAt, g.Protocol.Response(resp))
	read(resp)
	return nil
}
