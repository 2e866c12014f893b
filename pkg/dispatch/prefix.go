package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
)

// charsPerToken is the assumed average length of a token, in bytes.
const charsPerToken = 4

// Prefixes returns the hashes of the prefixes of a conversation that end at each
// message, shortest first.
func Prefixes(job *flight.Job) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(job.Workspace + "\x00" + job.Model)
	out := make([]uint64, 0, len(job.Messages))
	for _, m := range job.Messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + m.Content)
		out = append(out, h.Sum64())
	}
	return out
}

// estimateTokens returns the estimated number of tokens of a conversation.
func estimateTokens(messages []engine.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)/charsPerToken + 1
	}
	return n
}

// prefixTokens returns the estimated length of each prefix, in tokens.
func prefixTokens(job *flight.Job) []int {
	out := make([]int, len(job.Messages))
	for i := range job.Messages {
		out[i] = estimateTokens(job.Messages[:i+1])
	}
	return out
}
