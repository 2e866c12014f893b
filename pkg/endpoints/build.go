package endpoints

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Build identifies the software that an endpoint runs: endpoints with the same build are of the
// same service and of the same version. An endpoint without a known version has a build of its
// own. 0 means none.
type Build uint64

// Build returns the build of a registered endpoint.
func (i Info) Build() Build {
	fields := []string{i.Service, i.Version}
	if i.Version == "" {
		fields = []string{i.Service, "", i.ID, i.Addr, string(binary.BigEndian.AppendUint64(nil, uint64(i.Born)))}
	}
	var text []byte
	for _, f := range fields {
		text = binary.BigEndian.AppendUint32(text, uint32(len(f)))
		text = append(text, f...)
	}
	return Build(max(1, xxhash.Sum64(text)))
}

// Build returns the build of the endpoint's process.
func (e *Endpoint) Build() Build { return e.build }
