package modelserver

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// Bounds of the answer length in tokens: at least minAnswerTokens and less than
// maxAnswerTokens, unless the request sets a lower limit.
const (
	minAnswerTokens = 8
	maxAnswerTokens = 64
)

// vocabulary contains the words that answers consist of.
var vocabulary = strings.Fields(`bed room guest night boiler valve pump fault visit key
	north south early late warm cold check hold book clear start stop open close
	small large first last green blue quiet steady`)

// PromptHash returns a hash of the model and the conversation, from which the
// whole answer is derived.
func PromptHash(model string, messages []engine.Message) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for _, m := range messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return h.Sum64()
}

// AnswerLength returns the number of tokens of an answer and its finish reason.
// A maxTokens of 0 sets no limit.
func AnswerLength(prompt uint64, maxTokens int) (int, engine.Finish) {
	n := minAnswerTokens + int(prompt%(maxAnswerTokens-minAnswerTokens))
	if maxTokens > 0 && maxTokens < n {
		return maxTokens, engine.FinishLength
	}
	return n, engine.FinishStop
}

// TokenText returns the text of the token at an index of the answer.
func TokenText(prompt uint64, index int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], prompt)
	binary.LittleEndian.PutUint64(buf[8:], uint64(index))
	return vocabulary[xxhash.Sum64(buf[:])%uint64(len(vocabulary))] + " "
}

// Answer returns the complete answer; tests and the load generator compare
// received answers with it.
func Answer(model string, messages []engine.Message, maxTokens int) string {
	prompt := PromptHash(model, messages)
	n, _ := AnswerLength(prompt, maxTokens)
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// CountTokens returns the number of tokens of a conversation, counting one per word.
func CountTokens(messages []engine.Message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}
