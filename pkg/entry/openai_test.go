package entry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// serve starts an entry on a loopback address and returns an official OpenAI client for it.
func serve(t *testing.T, key string) (*cluster, string, openai.Client) {
	c := newCluster(2, 2)
	server := httptest.NewServer(c.nodes[0].handler)
	t.Cleanup(func() {
		server.Close()
		c.close()
	})
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	return c, server.URL, client
}

func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "assistant",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// TestOpenAIClient calls the entry with the official OpenAI client.
func TestOpenAIClient(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, client := serve(t, "k")
	ctx := context.Background()

	models, err := client.Models.List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(models.Data).To(gomega.HaveLen(1))
	g.Expect(models.Data[0].ID).To(gomega.Equal("assistant"))

	complete, err := client.Chat.Completions.New(ctx, chatParams("hello"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(indexes(complete.Choices[0].Message.Content)).NotTo(gomega.BeEmpty())
	g.Expect(complete.Choices[0].FinishReason).To(gomega.Equal("stop"))

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("hello"))
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		g.Expect(acc.AddChunk(stream.Current())).To(gomega.BeTrue())
	}
	g.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(indexes(acc.Choices[0].Message.Content)).To(gomega.Equal(indexes(complete.Choices[0].Message.Content)))
	g.Expect(acc.Choices[0].FinishReason).To(gomega.Equal("stop"))
}

// TestOpenAIClientCancellation checks that requests still succeed after a client
// has cancelled its stream.
func TestOpenAIClientCancellation(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, client := serve(t, "k")
	ctx, cancel := context.WithCancel(context.Background())
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("hello"))
	g.Expect(stream.Next()).To(gomega.BeTrue())
	cancel()
	for stream.Next() {
	}
	g.Expect(stream.Err()).To(gomega.MatchError(context.Canceled))
	_, err := client.Chat.Completions.New(context.Background(), chatParams("again"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// TestOpenAIClientErrors checks the status, type and code of each error.
func TestOpenAIClientErrors(t *testing.T) {
	for _, test := range []struct {
		name, key, model string
		status           int
		kind, code       string
	}{
		{"unknown key", "wrong", "assistant", http.StatusUnauthorized, "authentication_error", "invalid_api_key"},
		{"unknown model", "k", "other", http.StatusNotFound, "invalid_request_error", "model_not_found"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, _, client := serve(t, test.key)
			params := chatParams("hello")
			params.Model = test.model
			_, err := client.Chat.Completions.New(context.Background(), params)
			var api *openai.Error
			g.Expect(errors.As(err, &api)).To(gomega.BeTrue())
			g.Expect(api.StatusCode).To(gomega.Equal(test.status))
			g.Expect(api.Type).To(gomega.Equal(test.kind))
			g.Expect(api.Code).To(gomega.Equal(test.code))
			g.Expect(api.Response.Header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
		})
	}
}

// TestInvalidRequestsAreRefused checks the status and code for each kind of
// invalid request, and that it is reported as not run.
func TestInvalidRequestsAreRefused(t *testing.T) {
	for _, test := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     string
	}{
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "invalid_json"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"assistant"}`, nil, 400, "missing_messages"},
		{"image part", "POST", "/v1/chat/completions", `{"model":"assistant","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_json"},
		{"several answers", "POST", "/v1/chat/completions", `{"model":"assistant","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "unsupported_n"},
		{"negative limit", "POST", "/v1/chat/completions", `{"model":"assistant","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "invalid_max_tokens"},
		{"no prompt", "POST", "/v1/completions", `{"model":"assistant"}`, nil, 400, "missing_prompt"},
		{"oversized body", "POST", "/v1/chat/completions", strings.Repeat(" ", 1<<20+1), nil, 413, "body_too_large"},
		{"unknown path", "POST", "/v2/x", `{}`, nil, 404, "unknown_url"},
		{"wrong method", "GET", "/v1/chat/completions", ``, nil, 405, "bad_request"},
		{"unknown request", "GET", "/v1/requests/none", ``, nil, 404, "unknown_request"},
		{"long request id", "POST", "/v1/completions", `{}`, map[string]string{"Medlarsill-Request-Id": strings.Repeat("x", 129)}, 400, "invalid_request_id"},
		{"bad event id", "POST", "/v1/completions", `{"model":"assistant","prompt":"x","stream":true}`, map[string]string{"Last-Event-ID": "x"}, 400, "invalid_last_event_id"},
		{"unknown service", "POST", "/services/none/x", `{}`, nil, 404, "service_not_found"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCluster(1, 1)
			defer c.close()
			r := c.nodes[0].do(test.method, test.path, "k", test.body, test.header)
			g.Expect(r.status).To(gomega.Equal(test.status), r.body.String())
			g.Expect(r.body.String()).To(gomega.ContainSubstring(`"code":"` + test.code + `"`))
			g.Expect(r.header.Get("Medlarsill-Request-Id")).NotTo(gomega.BeNil())
			if test.code != "unknown_request" {
				g.Expect(r.header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
			}
		})
	}
}

// TestRequestWithoutAllowedDataCentreIsRefused checks that a request is refused
// if the preset closes all its data centres.
func TestRequestWithoutAllowedDataCentreIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(1, 1)
	defer c.close()
	env := *c.config.env
	env.Document.Presets = []config.Preset{{Name: "ordinary", ClosedDataCentres: []string{"dc-0", "dc-1", "dc-2", "dc-3"}}}
	c.config.env = &env
	r := c.nodes[0].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, nil)
	g.Expect(r.status).To(gomega.Equal(http.StatusForbidden))
	g.Expect(r.header.Get("Medlarsill-Run")).To(gomega.Equal("not-run"))
	g.Expect(c.engines.placements()).To(gomega.BeEmpty())
}

// TestRequestIDReuse checks that a request id can't be reused for a different
// request, and that two workspaces may use the same id.
func TestRequestIDReuse(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2, 2)
	defer c.close()
	header := map[string]string{"Medlarsill-Request-Id": "same"}
	first := c.nodes[0].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, header)
	again := c.nodes[1].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"x"}`, header)
	g.Expect(again.body.String()).To(gomega.Equal(first.body.String()))
	other := c.nodes[1].do("POST", "/v1/completions", "k", `{"model":"assistant","prompt":"y"}`, header)
	g.Expect(other.status).To(gomega.Equal(http.StatusUnprocessableEntity))
	foreign := c.nodes[1].do("POST", "/v1/completions", "n", `{"model":"assistant","prompt":"y"}`, header)
	g.Expect(foreign.status).To(gomega.Equal(http.StatusOK))
}

// TestModelCallStyle checks a model request in a configured call style.
func TestModelCallStyle(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(1, 1)
	defer c.close()
	env := *c.config.env
	env.Document.CallStyles = []config.CallStyle{{
		Name: "ask", Path: "/ask", KeyHeader: "X-Team-Key", Model: "assistant", PromptField: "question", AnswerField: "reply",
	}}
	c.config.env = &env
	r := c.nodes[0].do("POST", "/ask", "", `{"question":"hello"}`, map[string]string{"X-Team-Key": "k"})
	g.Expect(r.status).To(gomega.Equal(http.StatusOK), r.body.String())
	g.Expect(r.body.String()).To(gomega.HavePrefix(`{"reply":"`))
	r = c.nodes[0].do("POST", "/ask", "", `{"other":"hello"}`, map[string]string{"X-Team-Key": "k"})
	g.Expect(r.status).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(r.body.String()).To(gomega.ContainSubstring(`"param":"question"`))
}
