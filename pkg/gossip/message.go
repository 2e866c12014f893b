// Package gossip lets the instances of the system tell each other, by
// datagrams, what they have under way: the load that they put on endpoints, the
// use of allowances, the counted usage, and their clocks. Datagrams may be
// lost; every one is complete in itself, and the newest one counts. Which
// instances exist is kept in the object store.
package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/speed"
)

// maxDatagram is the largest datagram that is sent or read, in bytes.
const maxDatagram = 8 << 10

// ErrMessage means that a datagram can't be read as a message.
var ErrMessage = eris.New("gossip: unreadable message")

// Load is what an instance has under way on one endpoint.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Prompt  int
}

// Message is what one instance tells the others.
type Message struct {
	// ID names the instance and Boot its start, in Unix nanoseconds.
	ID   string `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
	// Seq grows with each message of a start.
	Seq uint64 `cbor:"3,keyasint"`
	// WallMS is the sender's time of day in Unix milliseconds.
	WallMS int64 `cbor:"4,keyasint"`
	// Config is the version of the configuration in force at the sender.
	Config uint64 `cbor:"5,keyasint"`
	// Ready is true if the sender takes new callers, and would take duties.
	Ready bool `cbor:"10,keyasint,omitempty"`
	// Leaving is true in the last messages of a start: it admits nothing more.
	Leaving bool `cbor:"12,keyasint,omitempty"`
	// Load holds the work under way by endpoint; an endpoint without any is left out.
	Load map[string]Load `cbor:"6,keyasint"`
	// Totals holds what the sender has admitted since its start, by workspace.
	Totals map[string]float64 `cbor:"7,keyasint"`
	// Asked holds the engine time in seconds that was asked for since the sender's start, by service.
	Demand map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Speeds holds what the sender has learnt of the endpoints, by service; not in
	// every message.
	Speeds map[string]speed.Shared `cbor:"11,keyasint,omitempty"`
	// Fence is the largest fencing number of the duties that the sender knows of.
	Fence uint64 `cbor:"13,keyasint,omitempty"`
	// Changes is what the sender's watch of the object store has shown. A message with
	// changes holds nothing else but its sender.
	Changes []byte `cbor:"14,keyasint,omitempty"`
	// Usage holds the requests that began to run, by usage window and workspace.
	Usage map[int64]map[string]int `cbor:"8,keyasint,omitempty"`
}

func encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: encode")
	}
	if len(data) > maxDatagram {
		return nil, eris.Errorf("gossip: message of %d bytes", len(data))
	}
	return data, nil
}

func decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, eris.Wrap(ErrMessage, err.Error())
	}
	if m.ID == "" || m.Boot == 0 {
		return Message{}, eris.Wrap(ErrMessage, "no sender")
	}
	return m, nil
}
