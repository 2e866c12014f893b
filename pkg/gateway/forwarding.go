package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of requests that an instance forwards to a peer, and of the peer's responses. They are
// sent between instances only.
const (
	headerConfigVersion = "Medlarsill-Config-Version"
	headerTimeLeft      = "Medlarsill-Time-Left-Us"
	headerElapsed       = "Medlarsill-Elapsed-Us"
	headerMaxRuns       = "Medlarsill-Max-Runs"
	headerRepeated      = "Medlarsill-Repeated"
	headerCharged       = "Medlarsill-Charged"
	headerCounted       = "Medlarsill-Counted"
	// headerNotTaken says, in a response, why the peer has not taken the request over. Another
	// peer may.
	headerNotTaken = "Medlarsill-Not-Taken"
)

var forwardingHeaders = []string{headerConfigVersion, headerTimeLeft, headerElapsed, headerMaxRuns, headerRepeated, headerCharged, headerCounted, headerNotTaken}

// errForwarding is the error of a request from a peer whose headers aren't valid.
var errForwarding = eris.New("gateway: invalid forwarded request")

// forwarding is what an instance tells the peer to which it forwards a request.
type forwarding struct {
	// configVersion is the version of the configuration by which the request was checked. A
	// peer with an older one doesn't take it.
	configVersion uint64
	// timeLeft is the time left for the response, and elapsed the time since the caller first
	// sent the request.
	timeLeft, elapsed time.Duration
	// maxRuns is the number of endpoints on which the peer may run the request.
	maxRuns int
	// repeated is true if the request may have run already, charged if the instance has charged it
	// to its allowance, and counted if it is known to have run, and so was counted.
	repeated, charged, counted bool
}

// set writes the headers.
func (f forwarding) set(h http.Header) {
	h.Set(headerConfigVersion, strconv.FormatUint(f.configVersion, 10))
	h.Set(headerTimeLeft, strconv.FormatInt(f.timeLeft.Microseconds(), 10))
	h.Set(headerElapsed, strconv.FormatInt(f.elapsed.Microseconds(), 10))
	h.Set(headerMaxRuns, strconv.Itoa(f.maxRuns))
	h.Set(headerRepeated, strconv.FormatBool(f.repeated))
	h.Set(headerCharged, strconv.FormatBool(f.charged))
	h.Set(headerCounted, strconv.FormatBool(f.counted))
}

// takeForwarding reads the headers and removes them.
func takeForwarding(h http.Header) (forwarding, error) {
	config, errConfig := strconv.ParseUint(h.Get(headerConfigVersion), 10, 64)
	left, errLeft := parseMicroseconds(h.Get(headerTimeLeft))
	elapsed, errElapsed := parseMicroseconds(h.Get(headerElapsed))
	runs, errRuns := strconv.Atoi(h.Get(headerMaxRuns))
	repeated, errRepeated := strconv.ParseBool(h.Get(headerRepeated))
	charged, errCharged := strconv.ParseBool(h.Get(headerCharged))
	counted, errCounted := strconv.ParseBool(h.Get(headerCounted))
	removeForwarding(h)
	for _, err := range []error{errConfig, errLeft, errElapsed, errRuns, errRepeated, errCharged, errCounted} {
		if err != nil {
			return forwarding{}, eris.Wrap(errForwarding, err.Error())
		}
	}
	if runs < 1 {
		return forwarding{}, eris.Wrap(errForwarding, "no run left")
	}
	return forwarding{configVersion: config, timeLeft: left, elapsed: elapsed, maxRuns: runs, repeated: repeated, charged: charged, counted: counted}, nil
}

// removeForwarding removes the headers.
func removeForwarding(h http.Header) {
	for _, name := range forwardingHeaders {
		h.Del(name)
	}
}

// maxForwardedTime bounds the durations that a peer may tell.
const maxForwardedTime = 24 * time.Hour

// parseMicroseconds parses a duration from 0 to maxForwardedTime.
func parseMicroseconds(text string) (time.Duration, error) {
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if us < 0 || us > maxForwardedTime.Microseconds() {
		return 0, eris.Errorf("duration out of range: %d us", us)
	}
	return time.Duration(us) * time.Microsecond, nil
}

// Reasons for which a request from a peer isn't taken over.
const (
	notTakenInvalid = "invalid"
	notTakenStops   = "stopping"
	notTakenOlder   = "older configuration"
	notTakenCutOff  = "endpoints unreachable"
)

// ForwardedHandler returns the handler of the requests that peers forward to this instance.
func (g *Gateway) ForwardedHandler() http.Handler { return http.HandlerFunc(g.serveForwarded) }

// serveForwarded handles a request of a peer's caller as one of its own, but never forwards it.
func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request) {
	f, err := takeForwarding(r.Header)
	if err != nil {
		g.Log.Warn("invalid request from a peer", "from", r.RemoteAddr, "error", err.Error())
		notTaken(w, notTakenInvalid)
		return
	}
	if g.stopping() {
		notTaken(w, notTakenStops)
		return
	}
	if t := g.Config.Current(); t == nil || t.Version < f.configVersion {
		notTaken(w, notTakenOlder)
		return
	}
	g.serve(w, r, &f)
}

// notTaken tells a peer that its request was not taken over, and so has not run.
func notTaken(w http.ResponseWriter, reason string) {
	w.Header().Set(headerNotTaken, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// applyForwarding sets what a peer has told of the request.
func (c *call) applyForwarding(f *forwarding) {
	if f == nil {
		return
	}
	c.forwarded = true
	c.firstSent = c.arrived.Add(-f.elapsed)
	c.maxRuns = min(c.maxRuns, f.maxRuns)
	c.repeated = f.repeated
	c.chargedByPeer = f.charged
	c.running = f.counted
	if limit := c.arrived.Add(f.timeLeft); limit.Before(c.deadline) {
		c.deadline = limit
	}
}
