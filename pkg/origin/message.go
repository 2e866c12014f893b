package origin

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// maxPerMessage is the largest number of streams in one message, so that its answer fits into
// a datagram.
const maxPerMessage = 64

// ErrMessage is returned for data that isn't a valid message.
var ErrMessage = eris.New("origin: invalid message")

// message is what one instance sends to another.
type message struct {
	_ struct{} `cbor:",toarray"`
	// Begun holds streams of which the receiver is a keeper.
	Begun []record
	// Asked holds streams that the receiver is asked for, and Answers what the sender knows of
	// those that it was asked for; the build is 0 if it doesn't know one.
	Asked   []key
	Answers []record
}

// record says at which build a stream began.
type record struct {
	_     struct{} `cbor:",toarray"`
	Key   key
	Build endpoints.Build
}

func (m message) encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, eris.Wrap(err, "origin: encode message")
}

func decode(data []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return message{}, eris.Wrap(ErrMessage, err.Error())
	}
	if len(m.Begun) > maxPerMessage || len(m.Asked) > maxPerMessage || len(m.Answers) > maxPerMessage {
		return message{}, eris.Wrap(ErrMessage, "too many streams")
	}
	return m, nil
}
