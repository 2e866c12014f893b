package modelserver

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// stream is an attempt that an engine is running.
type stream struct {
	server *Server
	req    *engine.Request
	spans  []span
	// promptHash determines the answer; length is its number of tokens.
	promptHash uint64
	length     int
	finish     engine.Finish
	// promptTokens is the length of the prompt.
	promptTokens int
	// cachedTokens is the number of tokens of prompt and generated text that need no prefill.
	cachedTokens int
	// previouslyComputed is the number of leading tokens computed by earlier attempts.
	previouslyComputed int
	// hung is closed when a fault makes the stream hang.
	hung   chan struct{}
	writer tokenWriter
}

func newStream(s *Server, r *engine.Request, w http.ResponseWriter) *stream {
	st := &stream{server: s, req: r, spans: spans(r.CacheSalt, r.Model, r.Messages), hung: make(chan struct{})}
	st.promptHash = PromptHash(r.Model, r.Messages)
	st.length, st.finish = AnswerLength(st.promptHash, r.MaxTokens)
	st.promptTokens = totalTokens(st.spans)
	st.writer = tokenWriter{enc: json.NewEncoder(w), rc: http.NewResponseController(w), faults: &s.faults}
	return st
}

// run generates and sends the answer, starting after the tokens that the
// request already contains.
func (st *stream) run(ctx context.Context) {
	st.previouslyComputed = st.server.cfg.Stats.beginAttempt(st.req.ID, st.server.cfg.DataCentre)
	if !st.server.ensureModel(ctx, st.req.Model) || !st.prefill(ctx) {
		return
	}
	for i := len(st.req.Generated); i < st.length; i++ {
		if i > len(st.req.Generated) && !sleep.For(ctx, st.server.tokenInterval()) {
			return
		}
		st.server.attempts.setGenerated(st.req.ID, i+1)
		st.server.cfg.Stats.recordProgress(st.req.ID, st.promptTokens+i+1)
		st.server.cfg.Stats.recordDecoded(st.server.cfg.Service, 1, st.server.fullBatchTokenTime())
		if !st.canSend(ctx) || st.writer.send(st.token(i)) != nil {
			return
		}
	}
	st.cacheAnswer()
}

// prefill prefills the uncached part of the prompt and of the tokens generated
// by earlier attempts. It reports false if ctx ended first.
func (st *stream) prefill(ctx context.Context) bool {
	s := st.server
	select {
	case s.prefillSlot <- struct{}{}:
		defer func() { <-s.prefillSlot }()
	case <-ctx.Done():
		return false
	}
	st.cachedTokens = s.cachedTokens(st.req, st.spans)
	computed := st.promptTokens + len(st.req.Generated) - st.cachedTokens
	prefillTime := s.cfg.PrefillPerToken * durationFactor(computed)
	s.cfg.Stats.recordPrefill(s.cfg.Service, st.spans, min(st.cachedTokens, st.promptTokens), computed, prefillTime)
	if !sleep.For(ctx, prefillTime) {
		return false
	}
	s.attempts.add(s.cache, st.req.ID, attempt{spans: st.spans, generated: len(st.req.Generated)}, st.length)
	s.cfg.Stats.recordProgress(st.req.ID, st.promptTokens+len(st.req.Generated))
	s.cfg.Stats.recordRecomputed(max(0, min(st.previouslyComputed, st.promptTokens+len(st.req.Generated))-st.cachedTokens))
	return true
}

// token returns the i-th token of the answer, with the usage if it is the last.
func (st *stream) token(i int) engine.Token {
	t := engine.Token{Index: i, Text: TokenText(st.promptHash, i)}
	if i == st.length-1 {
		t.Finish = st.finish
		t.Usage = &engine.Usage{
			PromptTokens: st.promptTokens, CachedTokens: st.cachedTokens, CompletionTokens: st.length,
			RecomputedTokens: st.recomputed(),
		}
	}
	return t
}

// recomputed returns the number of tokens that this attempt computed although
// an earlier one had computed them.
func (st *stream) recomputed() int {
	return max(0, min(st.previouslyComputed, st.promptTokens+st.length)-st.cachedTokens)
}

// canSend reports whether the next token can be sent. If the stream hangs, it
// blocks until ctx ends.
func (st *stream) canSend(ctx context.Context) bool {
	select {
	case <-st.hung:
		<-ctx.Done()
		return false
	default:
		return ctx.Err() == nil
	}
}

// cacheAnswer ends the attempt and caches the conversation including the
// answer, which is the prefix of the next turn.
func (st *stream) cacheAnswer() {
	s := st.server
	recomputed := max(0, min(st.previouslyComputed, st.promptTokens+st.length)-st.promptTokens-len(st.req.Generated))
	s.cfg.Stats.recordRecomputed(recomputed)
	s.attempts.remove(s.cache, st.req.ID)
	conversation := append(st.req.Messages[:len(st.req.Messages):len(st.req.Messages)],
		engine.Message{Role: "assistant", Content: Answer(st.req.Model, st.req.Messages, st.req.MaxTokens)})
	s.cache.put(spans(st.req.CacheSalt, st.req.Model, conversation))
}
