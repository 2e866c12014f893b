package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// envelopeMark is the first byte of a message in an envelope. See compressedMark.
const envelopeMark = 1

// envelope is a message that reaches some peers by way of another one of their data centre.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// Origin is the address of the message's sender, in an envelope that was passed on.
	Origin netip.AddrPort
	// PassOn holds the peers to which the receiver is to pass the message on.
	PassOn []netip.AddrPort
	// Message is the message, compressed or not.
	Message []byte
}

// encode returns the datagram of an envelope.
func (e envelope) encode() ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, eris.Wrap(err, "gossip: encode envelope")
	}
	if len(data) >= maxDatagram {
		return nil, eris.Errorf("gossip: envelope too large: %d bytes", len(data))
	}
	return append([]byte{envelopeMark}, data...), nil
}

// isEnvelope reports whether a datagram is an envelope.
func isEnvelope(data []byte) bool { return len(data) > 0 && data[0] == envelopeMark }

// decodeEnvelope decodes a datagram.
func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(data[1:], &e); err != nil {
		return envelope{}, eris.Wrap(ErrMessage, err.Error())
	}
	if isEnvelope(e.Message) || len(e.PassOn) > maxFanout {
		return envelope{}, eris.Wrap(ErrMessage, "invalid envelope")
	}
	return e, nil
}

// receiveEnvelope passes a message on, if its sender asks for that, and handles it. Envelopes of unknown
// senders are ignored, and nothing is passed on to others than peers.
func (n *Node) receiveEnvelope(data []byte, from netip.AddrPort) {
	e, err := decodeEnvelope(data)
	if err != nil {
		n.Log.Warn("failed to decode message", "from", from.String(), "error", err.Error())
		return
	}
	if _, known := n.peerAt(from); !known {
		n.Log.Warn("ignoring envelope from unknown sender", "from", from.String())
		return
	}
	if e.Origin.IsValid() {
		n.Receive(e.Message, e.Origin)
		return
	}
	n.passOn(e, from)
	n.Receive(e.Message, from)
}

// passOn passes a message on to peers.
func (n *Node) passOn(e envelope, from netip.AddrPort) {
	data, err := envelope{Origin: from, Message: e.Message}.encode()
	if err != nil {
		n.Log.Warn("failed to pass message on", "from", from.String(), "error", err.Error())
		return
	}
	for _, addr := range e.PassOn {
		if p, known := n.peerAt(addr); known && n.out != nil {
			n.write(n.out, data, p)
			n.metrics.passedOn.Inc()
		}
	}
}
