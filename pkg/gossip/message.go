// Package gossip exchanges state between the instances by UDP datagrams: the load
// that each puts on endpoints, the use of rate limits, the counted usage, and the
// clocks. Datagrams may be lost; each one is self-contained and replaces the ones
// before it. The list of instances is kept in the object store.
package gossip

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/allowance"
	"github.com/medlarsill/medlarsill/pkg/origin"
	"github.com/medlarsill/medlarsill/pkg/overload"
	"github.com/medlarsill/medlarsill/pkg/poison"
	"github.com/medlarsill/medlarsill/pkg/promptsplit"
	"github.com/medlarsill/medlarsill/pkg/ratelimit"
	"github.com/medlarsill/medlarsill/pkg/rollout"
	"github.com/medlarsill/medlarsill/pkg/speed"
)

// maxDatagram is the size of the largest datagram that is sent or read, in bytes.
const maxDatagram = 8 << 10

// ErrMessage is returned for a datagram that isn't a valid message.
var ErrMessage = eris.New("gossip: invalid message")

// Load is the load that one instance puts on one endpoint: the number of running
// requests, and of uncached prompt tokens that aren't prefilled yet.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Prompt  int
}

// Totals holds costs by workspace.
type Totals map[string]float64

// maxExactTotal is the largest total up to which floating-point numbers hold all whole ones.
const maxExactTotal = 1 << 53

// MarshalCBOR encodes whole numbers as integers, which take 3 or 5 bytes where a floating-point number takes
// 9. Both are read as floating-point numbers.
func (t Totals) MarshalCBOR() ([]byte, error) {
	if t == nil {
		return cbor.Marshal(nil)
	}
	out := make(map[string]any, len(t))
	for name, total := range t {
		if total == math.Trunc(total) && math.Abs(total) <= maxExactTotal {
			out[name] = int64(total)
		} else {
			out[name] = total
		}
	}
	return cbor.Marshal(out)
}

// Message is the state that one instance sends to its peers.
type Message struct {
	// ID names the instance. Boot is its boot number: the time of its start in Unix
	// nanoseconds.
	ID   string `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
	// Seq counts the sender's messages since its start.
	Seq uint64 `cbor:"3,keyasint"`
	// WallMS is the sender's time of day in Unix milliseconds.
	WallMS int64 `cbor:"4,keyasint"`
	// Config is the version of the configuration in force at the sender.
	Config uint64 `cbor:"5,keyasint"`
	// Ready is true if the sender accepts new callers and is a candidate for duties.
	Ready bool `cbor:"10,keyasint,omitempty"`
	// ForwardPort is the TCP port on which the sender takes requests of its peers' callers, at
	// the address that it sends from; 0 if none. CutOff holds the services whose endpoints the
	// sender doesn't reach.
	ForwardPort uint16   `cbor:"23,keyasint,omitempty"`
	CutOff      []string `cbor:"24,keyasint,omitempty"`
	// StoreCutOff is true while the sender's calls to the object store fail.
	StoreCutOff bool `cbor:"26,keyasint,omitempty"`
	// Leaving is true in the last messages before a stop: the sender admits nothing more.
	Leaving bool `cbor:"12,keyasint,omitempty"`
	// Load holds the load by endpoint; endpoints without load are omitted.
	Load map[string]Load `cbor:"6,keyasint"`
	// Totals holds the cost that the sender has admitted since its start, by workspace.
	Totals Totals `cbor:"7,keyasint"`
	// Demand holds the engine time in seconds that callers have requested since the
	// sender's start, by service.
	Demand map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Prompts holds how much of that long prompts need, by service, while endpoints may be
	// split between long and short prompts.
	Prompts map[string]promptsplit.Summary `cbor:"31,keyasint,omitempty"`
	// Speeds holds the endpoint speeds that the sender has measured, by service; not
	// every message has it.
	Speeds map[string]speed.Summary `cbor:"11,keyasint,omitempty"`
	// Fence is the largest fencing token of the duties that the sender knows of.
	Fence uint64 `cbor:"13,keyasint,omitempty"`
	// Changes holds changes from the sender's watch of the object store. Apart from the
	// sender, such a message has no other fields.
	Changes []byte `cbor:"14,keyasint,omitempty"`
	// Crashes holds a report of crashed endpoints. Apart from the sender, such a message has
	// no other fields.
	Crashes []byte `cbor:"16,keyasint,omitempty"`
	// Streams holds a message on where streams began. Apart from the sender, such a message
	// has no other fields.
	Streams []byte `cbor:"18,keyasint,omitempty"`
	// StreamBatch holds streams that the receiver is to store. Apart from the sender, such a
	// message has no other fields.
	StreamBatch []byte `cbor:"19,keyasint,omitempty"`
	// Builds holds the record of the services' builds; not every message has it.
	Builds *origin.Builds `cbor:"20,keyasint,omitempty"`
	// UnrecordedBuilds holds builds that the sender knows and that the record in Builds lacks.
	UnrecordedBuilds []origin.ServiceBuilds `cbor:"38,keyasint,omitempty"`
	// Quarantine holds what requests have in common that crash endpoints.
	Quarantine []poison.Entry `cbor:"17,keyasint,omitempty"`
	// RateLimits holds some of the endpoints' rate limits that the sender knows of.
	RateLimits []ratelimit.Report `cbor:"15,keyasint,omitempty"`
	// Overload holds some of the endpoints that the sender knows to be sensitive to overload.
	Overload []overload.Report `cbor:"21,keyasint,omitempty"`
	// Rollouts holds the newest directives on changes of services' versions, and RolloutReports what
	// the sender has counted for them.
	Rollouts       []rollout.Directive `cbor:"32,keyasint,omitempty"`
	RolloutReports []rollout.Report    `cbor:"33,keyasint,omitempty"`
	// RolloutReport holds a report for the instance that decides on them. Apart from the sender,
	// such a message has no other fields.
	RolloutReport *rollout.Report `cbor:"34,keyasint,omitempty"`
	// Accounts holds what the sender knows of the workspaces' allowances, for a receiver that has
	// just started. Apart from the sender, such a message has no other fields.
	Accounts map[string]allowance.Account `cbor:"25,keyasint,omitempty"`
	// EndpointSpeeds holds reports of how fast some endpoints are, encoded by endpointspeed.
	EndpointSpeeds []byte `cbor:"29,keyasint,omitempty"`
	// DataCentre is the sender's data centre; "" if it isn't known. An instance that says it reads compressed
	// messages, and passes those in envelopes on.
	DataCentre string `cbor:"36,keyasint,omitempty"`
	// Direct is true if the sender doesn't hear the peers of its own data centre, so that these can't pass
	// messages on to it.
	Direct bool `cbor:"37,keyasint,omitempty"`
	// Urgent is true if the message has news that all peers have to know as soon as possible. It isn't sent.
	Urgent bool `cbor:"-"`
	// FairShares holds what the sender was asked for by workspace, encoded by fairshare.
	FairShares []byte `cbor:"35,keyasint,omitempty"`
	// Usage holds the number of requests that began to run, by usage window and workspace.
	Usage map[int64]map[string]int `cbor:"8,keyasint,omitempty"`
}

func encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: encode message")
	}
	if len(data) > maxDatagram {
		return nil, eris.Errorf("gossip: message too large: %d bytes", len(data))
	}
	return data, nil
}

func decode(data []byte) (Message, error) {
	data, err := decompress(data)
	if err != nil {
		return Message{}, err
	}
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(ErrMessage, err.Error())
	}
	if m.ID == "" || m.Boot == 0 {
		return Message{}, eris.Wrap(ErrMessage, "missing sender")
	}
	return m, nil
}
