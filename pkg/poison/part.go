// Package poison finds parts of prompts that crash the endpoints that begin to answer them,
// as a poison message crashes its consumers, and keeps requests with them away from the
// endpoints. Instances share the crashes that they see, so that a few crashes in the whole
// fleet are enough.
//
// A crash is evidence against all shared parts of the requests that broke off with it before
// their answers were under way for a while. A part is poison if it accounts for several
// crashes of different endpoints, and no request with it has been answered since. Crashes
// that a poison part accounts for are no evidence against other parts.
package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
)

// Part is the hash of the id of a prompt's part.
type Part uint64

// PartOf returns the part with an id.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// process is the hash of the key of an endpoint's process.
type process uint64

func processOf(k endpoints.Key) process {
	return process(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(k.ID), uint64(k.Born))))
}
