package modelserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// cancellingRecorder cancels the request after a number of writes.
type cancellingRecorder struct {
	*httptest.ResponseRecorder
	writesLeft int
	cancel     context.CancelFunc
}

// Write implements http.ResponseWriter.
func (c *cancellingRecorder) Write(p []byte) (int, error) {
	n, err := c.ResponseRecorder.Write(p)
	if c.writesLeft--; c.writesLeft == 0 {
		c.cancel()
	}
	return n, err
}

// generate runs an attempt and returns its tokens. The request is cancelled
// after stopAfter tokens; 0 means never.
func generate(s *modelserver.Server, r engine.Request, stopAfter int) []engine.Token {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body, _ := json.Marshal(r)
	w := &cancellingRecorder{ResponseRecorder: httptest.NewRecorder(), writesLeft: stopAfter, cancel: cancel}
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/generate", bytes.NewReader(body)))
	var out []engine.Token
	for dec := json.NewDecoder(w.Body); ; {
		var t engine.Token
		if err := dec.Decode(&t); err == io.EOF {
			return out
		}
		out = append(out, t)
	}
}

func post(s *modelserver.Server, path string, body any) int {
	data, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
	return w.Code
}

// hostTransport passes requests to the engine named by the URL's host, without
// a network.
type hostTransport map[string]*modelserver.Server

// RoundTrip implements http.RoundTripper.
func (d hostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d[r.URL.Host].Handler().ServeHTTP(w, r)
	return w.Result(), nil
}

// newServerPair returns two engines that can send KV cache to each other under
// the host names "a" and "b".
func newServerPair() (a, b *modelserver.Server) {
	d := hostTransport{}
	cfg := modelserver.Config{BatchLimit: 4, Stats: modelserver.NewWorkStats(), Transfer: &http.Client{Transport: d}}
	d["a"], d["b"] = modelserver.New(cfg), modelserver.New(cfg)
	return d["a"], d["b"]
}

func randomConversation(t *rapid.T) []engine.Message {
	n := rapid.IntRange(1, 6).Draw(t, "messages")
	out := make([]engine.Message, 0, n)
	for i := range n {
		words := rapid.IntRange(1, 40).Draw(t, "words")
		out = append(out, engine.Message{Role: "user", Content: fmt.Sprint(i, bytes.Repeat([]byte(" w"), words))})
	}
	return out
}

// tokenTexts returns the texts of the tokens and their concatenation.
func tokenTexts(tokens []engine.Token) (list []string, whole string) {
	for _, t := range tokens {
		list = append(list, t.Text)
		whole += t.Text
	}
	return list, whole
}

// TestGenerate_ContinuesInterruptedAnswer interrupts an attempt at any token and
// continues it by each supported method. The result must equal the uninterrupted
// answer, and the usage must count exactly the recomputed tokens.
func TestGenerate_ContinuesInterruptedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		a, b := newServerPair()
		first := engine.Request{ID: "r/1", Model: "m", Messages: randomConversation(t)}
		whole := modelserver.Answer("m", first.Messages, 0)
		prompt := modelserver.CountTokens(first.Messages)
		n, _ := modelserver.AnswerLength(modelserver.PromptHash("m", first.Messages), 0)
		cut := rapid.IntRange(1, n-1).Draw(t, "cut")
		head := generate(a, first, cut)
		g.Expect(head).To(gomega.HaveLen(cut))

		next, target, recomputed := first, b, prompt+cut
		next.ID = "r/2"
		next.Generated, _ = tokenTexts(head)
		switch method := rapid.SampledFrom([]string{"recompute", "transfer", "resume", "repeat"}).Draw(t, "method"); method {
		case "transfer":
			g.Expect(post(a, "/kv/export", httpengine.ExportRequest{Attempt: "r/1", To: "b"})).To(gomega.Equal(http.StatusOK))
			next.Resume, recomputed = "r/1", 0
		case "resume":
			target, next.Resume, recomputed = a, "r/1", 0
		case "repeat":
			target, recomputed = a, cut
		}
		tail := generate(target, next, 0)
		_, got := tokenTexts(append(head, tail...))
		g.Expect(got).To(gomega.Equal(whole))
		usage := tail[len(tail)-1].Usage
		g.Expect(usage.RecomputedTokens).To(gomega.Equal(recomputed))
		g.Expect(usage.CachedTokens).To(gomega.Equal(prompt + cut - recomputed))
	})
}

// TestGenerate_CachesPrefixOfNextTurn checks that after a turn its prompt and
// answer are cached for the next turn.
func TestGenerate_CachesPrefixOfNextTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := modelserver.New(modelserver.Config{BatchLimit: 1})
	messages := []engine.Message{{Role: "user", Content: "one two three"}}
	_, answer := tokenTexts(generate(s, engine.Request{ID: "a/1", Model: "m", Messages: messages}, 0))
	next := append(messages, engine.Message{Role: "assistant", Content: answer}, engine.Message{Role: "user", Content: "four five"})
	tokens := generate(s, engine.Request{ID: "b/1", Model: "m", Messages: next}, 0)
	usage := tokens[len(tokens)-1].Usage
	g.Expect(usage.CachedTokens).To(gomega.Equal(usage.PromptTokens - 2))
	g.Expect(usage.RecomputedTokens).To(gomega.BeZero())
}

// TestOrders_ChecksFencingToken checks that an order with an old fencing token
// is refused only if the engine checks fencing.
func TestOrders_ChecksFencingToken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		g := gomega.NewWithT(t)
		s := modelserver.New(modelserver.Config{BatchLimit: 1, ChecksFencing: checks})
		g.Expect(post(s, "/orders", engine.Order{Kind: engine.OrderSetRole, Name: "new", Fence: 5})).To(gomega.Equal(http.StatusOK))
		code, role := http.StatusOK, "old"
		if checks {
			code, role = http.StatusConflict, "new"
		}
		g.Expect(post(s, "/orders", engine.Order{Kind: engine.OrderSetRole, Name: "old", Fence: 4})).To(gomega.Equal(code))
		g.Expect(s.State().Role).To(gomega.Equal(role))
	}
}

// TestHangStreams_HangsOnlyOpenStreams checks that open streams hang
// indefinitely while new streams work.
func TestHangStreams_HangsOnlyOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := modelserver.New(modelserver.Config{BatchLimit: 4, TokenInterval: time.Second})
		r := engine.Request{ID: "a/1", Model: "m", Messages: []engine.Message{{Role: "user", Content: "hello"}}}
		ctx, cancel := context.WithCancel(t.Context())
		open := httptest.NewRecorder()
		body, _ := json.Marshal(r)
		done := make(chan struct{})
		go func() {
			s.Handler().ServeHTTP(open, httptest.NewRequestWithContext(ctx, http.MethodPost, "/generate", bytes.NewReader(body)))
			close(done)
		}()
		time.Sleep(3500 * time.Millisecond)
		g.Expect(s.HangStreams()).To(gomega.Equal(1))
		r.ID = "b/1"
		_, whole := tokenTexts(generate(s, r, 0))
		g.Expect(whole).To(gomega.Equal(modelserver.Answer("m", r.Messages, 0)))
		time.Sleep(time.Hour)
		g.Expect(bytes.Count(open.Body.Bytes(), []byte("\n"))).To(gomega.Equal(4))
		cancel()
		<-done
	})
}

// TestGenerate_AdmitsWaitingRequestsByPriority checks that waiting requests are
// admitted to the batch by priority.
func TestGenerate_AdmitsWaitingRequestsByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := modelserver.New(modelserver.Config{BatchLimit: 1, TokenInterval: time.Second})
		finished := make(chan int, 4)
		for i, priority := range []int{5, 1, 9, 5} {
			go func() {
				generate(s, engine.Request{
					ID: fmt.Sprint(i, "/1"), Model: "m", Priority: priority,
					Messages: []engine.Message{{Role: "user", Content: fmt.Sprint(i)}},
				}, 0)
				finished <- priority
			}()
			synctest.Wait()
		}
		var order []int
		for range 4 {
			order = append(order, <-finished)
		}
		g.Expect(order).To(gomega.Equal([]int{5, 9, 5, 1}))
	})
}

// TestSetDisorder_ReordersAndRepeatsTokens checks that the fault reorders and
// repeats tokens but loses none.
func TestSetDisorder_ReordersAndRepeatsTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	s := modelserver.New(modelserver.Config{BatchLimit: 1})
	s.SetDisorder(true)
	r := engine.Request{ID: "a/1", Model: "m", Messages: []engine.Message{{Role: "user", Content: "hello"}}}
	tokens := generate(s, r, 0)
	byIndex := make(map[int]string)
	misplaced := 0
	for i, token := range tokens {
		byIndex[token.Index] = token.Text
		if i > 0 && token.Index <= tokens[i-1].Index {
			misplaced++
		}
	}
	whole := ""
	for i := range len(byIndex) {
		whole += byIndex[i]
	}
	g.Expect(whole).To(gomega.Equal(modelserver.Answer("m", r.Messages, 0)))
	g.Expect(misplaced).To(gomega.BeNumerically(">", 0))
	g.Expect(len(tokens)).To(gomega.BeNumerically(">", len(byIndex)))
}
