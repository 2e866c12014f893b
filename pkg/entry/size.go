package entry

import "github.com/medlarsill/medlarsill/pkg/flight"

// Parameters of the estimate of an answer's memory.
const (
	// tokenBytes is the memory of one token in a flight's log.
	tokenBytes = 64
	// maxReservedTokens is the largest number of tokens for which memory is reserved.
	maxReservedTokens = 4096
)

// jobBytes estimates the memory that a job holds until it ends: its messages
// and its complete answer.
func jobBytes(job *flight.Job) int {
	n := min(job.MaxTokens, maxReservedTokens) * tokenBytes
	for i := range job.Messages {
		n += len(job.Messages[i].Content)
	}
	return n
}
