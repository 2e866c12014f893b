package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

const (
	// recordBytes is the size of one stored stream: its key and the number of its build.
	recordBytes = 10
	// maxObjectStreams is the largest number of streams in one stored object, which must stay
	// below objectstore.MaxValueBytes.
	maxObjectStreams = 1 << 16
	// maxObjectBuilds is the largest number of builds in one stored object.
	maxObjectBuilds = 1 << 14
)

// storedStreams is an object with the streams that some instances have begun.
type storedStreams struct {
	// SavedMS is the true time of the write in Unix milliseconds.
	SavedMS int64 `json:"saved_ms"`
	// Builds holds hexadecimal builds. Streams holds, in base64, eight bytes of the key of each
	// stream and two of the position of its build, all big-endian.
	Builds  []string `json:"builds"`
	Streams string   `json:"streams"`
}

// encodeStreams encodes the newest of the streams, as many as fit.
func encodeStreams(list []record, savedMS int64) ([]byte, error) {
	list = list[max(0, len(list)-maxObjectStreams):]
	out := storedStreams{SavedMS: savedMS}
	positions := make(map[endpoints.Build]int)
	packed := make([]byte, 0, recordBytes*len(list))
	for _, r := range slices.Backward(list) {
		position, ok := positions[r.Build]
		if !ok && len(positions) == maxObjectBuilds {
			continue
		}
		if !ok {
			position = len(positions)
			positions[r.Build] = position
			out.Builds = append(out.Builds, strconv.FormatUint(uint64(r.Build), 16))
		}
		packed = binary.BigEndian.AppendUint64(packed, uint64(r.Key))
		packed = binary.BigEndian.AppendUint16(packed, uint16(position))
	}
	out.Streams = base64.StdEncoding.EncodeToString(packed)
	data, err := json.Marshal(out)
	return data, eris.Wrap(err, "origin: encode streams")
}

// decodeStreams returns the streams of a stored object and when it was written, in true time
// as Unix milliseconds.
func decodeStreams(value []byte) (list []record, savedMS int64, err error) {
	var in storedStreams
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, 0, eris.Wrap(ErrRecord, err.Error())
	}
	packed, err := base64.StdEncoding.DecodeString(in.Streams)
	if err != nil || len(packed)%recordBytes != 0 {
		return nil, 0, eris.Wrap(ErrRecord, "streams are not whole")
	}
	builds := make([]endpoints.Build, 0, len(in.Builds))
	for _, text := range in.Builds {
		n, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil, 0, eris.Wrap(ErrRecord, err.Error())
		}
		builds = append(builds, endpoints.Build(n))
	}
	for ; len(packed) > 0; packed = packed[recordBytes:] {
		position := int(binary.BigEndian.Uint16(packed[8:]))
		if position >= len(builds) {
			return nil, 0, eris.Wrap(ErrRecord, "unknown build")
		}
		list = append(list, record{Key: key(binary.BigEndian.Uint64(packed)), Build: builds[position]})
	}
	return list, in.SavedMS, nil
}
