package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Headers with which an instance names, to the peer that has forwarded a request, the endpoint whose
// answer it passes on: its id, and the start of its process in Unix milliseconds, 0 if unknown.
const (
	headerEndpointID    = "Medlarsill-Endpoint-Id"
	headerEndpointStart = "Medlarsill-Endpoint-Start"
)

// observe records what an endpoint's answer says of the endpoint's state. It is called for all answers
// of endpoints, also those to orders and those that come through a peer. sentAt is when the request was
// sent, at the latest.
func (g *Gateway) observe(e *endpoints.Endpoint, sentAt time.Time, meta ResponseMeta) {
	if meta.WrongTarget {
		return
	}
	if meta.Leaving && g.Endpoints.MarkLeaving(e) {
		g.Log.Info("endpoint leaving", "endpoint", e.ID, "service", e.Service, "source", "answer")
	}
	k := e.Key()
	// An answer without the endpoint's proof may lack what the endpoint announces.
	proved := meta.Stamped || meta.NotRun
	if proved || meta.RateLimit.Limited || meta.RateLimit.Err != nil {
		g.RateLimits.Observe(k, sentAt, meta.RateLimit)
	}
	if proved || meta.Overload.Sensitive || meta.Overload.Err != nil {
		g.Overload.Observe(e, sentAt, meta.Overload)
	}
	g.Backoffs.Observe(k, meta.Backoff)
}

// observeForwarded records what an endpoint's answer that came through a peer says of the endpoint's state.
// The peer names the endpoint. One that isn't registered here may be later.
func (f *forwardAttempt) observeForwarded(resp *http.Response) {
	k, ok := takeEndpointKey(resp.Header)
	if !ok {
		return
	}
	g := f.gateway
	meta := g.Protocol.Response(resp)
	if e, registered := g.Endpoints.ByKey(k); registered {
		g.observe(e, f.lastSent, meta)
		return
	}
	if meta.Leaving {
		g.Endpoints.MarkKeyLeaving(k)
	}
}

// nameEndpoint names an endpoint in the header of a response that passes its answer on, if a peer has
// forwarded the request. It is called after the endpoint's own header was copied.
func (c *call) nameEndpoint(k endpoints.Key) {
	if !c.forwarded {
		return
	}
	c.w.Header().Set(headerEndpointID, k.ID)
	c.w.Header().Set(headerEndpointStart, strconv.FormatInt(k.Born, 10))
}

// takeEndpointKey reads which endpoint a peer names, and removes the headers. It returns false if the
// peer names none: the answer is the peer's own, or it runs an earlier build.
func takeEndpointKey(h http.Header) (endpoints.Key, bool) {
	id := h.Get(headerEndpointID)
	born, err := strconv.ParseInt(h.Get(headerEndpointStart), 10, 64)
	h.Del(headerEndpointID)
	h.Del(headerEndpointStart)
	return endpoints.Key{ID: id, Born: born}, id != "" && err == nil
}
