package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// compressedMark is the first byte of a compressed message. An uncompressed one begins with that of a map.
const compressedMark = 0

// compressor compresses messages. It isn't safe for concurrent use.
type compressor struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// compress returns a message in fewer bytes; nil for nil. It returns the message itself if that is shorter.
func (c *compressor) compress(message []byte) []byte {
	if message == nil {
		return nil
	}
	c.buffer.Reset()
	c.buffer.WriteByte(compressedMark)
	if c.writer == nil {
		c.writer, _ = flate.NewWriter(&c.buffer, flate.DefaultCompression) // fails with an invalid level only
	} else {
		c.writer.Reset(&c.buffer)
	}
	_, _ = c.writer.Write(message) // a buffer takes everything
	_ = c.writer.Close()
	if c.buffer.Len() >= len(message) {
		return message
	}
	return bytes.Clone(c.buffer.Bytes())
}

// decompressors holds readers for decompress: a new one takes some 40 KB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// decompress returns the message in a datagram, compressed or not.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	reader := decompressors.Get().(io.Reader)
	defer decompressors.Put(reader)
	err := reader.(flate.Resetter).Reset(bytes.NewReader(data[1:]), nil)
	if err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	message, err := io.ReadAll(io.LimitReader(reader, maxDatagram+1))
	if err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	if len(message) > maxDatagram {
		return nil, eris.Wrap(ErrMessage, "too large uncompressed")
	}
	return message, nil
}
