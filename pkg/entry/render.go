package entry

import (
	"encoding/json"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/flight"
	"github.com/medlarsill/medlarsill/pkg/openai"
)

// Object names of the OpenAI API.
const (
	objectChat  = "chat.completion"
	objectChunk = "chat.completion.chunk"
	objectText  = "text_completion"
)

// completeResponse returns the complete response in the format of the request.
func completeResponse(f *flight.Flight, tokens []engine.Token, r responseFormat) any {
	last := tokens[len(tokens)-1]
	finish := string(last.Finish)
	text := join(tokens)
	if r.answerField != "" {
		return map[string]string{r.answerField: text}
	}
	if f.Job.Text {
		return openai.TextCompletion{
			ID: f.Job.RequestID, Object: objectText, Created: f.Job.Created, Model: f.Job.Model,
			Choices: []openai.TextChoice{{Text: text, FinishReason: &finish}}, Usage: usage(last),
		}
	}
	return openai.ChatCompletion{
		ID: f.Job.RequestID, Object: objectChat, Created: f.Job.Created, Model: f.Job.Model,
		Choices: []openai.ChatChoice{{Message: openai.ChatMessage{Role: "assistant", Content: openai.Content(text)}, FinishReason: finish}},
		Usage:   *usage(last),
	}
}

// tokenChunk returns the data of the event for one token in the format of the request.
func tokenChunk(f *flight.Flight, t engine.Token) string {
	var finish *string
	if t.Finish != engine.FinishNone {
		text := string(t.Finish)
		finish = &text
	}
	if f.Job.Text {
		return mustEncode(openai.TextCompletion{
			ID: f.Job.RequestID, Object: objectText, Created: f.Job.Created, Model: f.Job.Model,
			Choices: []openai.TextChoice{{Text: t.Text, FinishReason: finish}},
		})
	}
	delta := openai.ChatDelta{Content: t.Text}
	if t.Index == 0 {
		delta.Role = "assistant"
	}
	return mustEncode(openai.ChatChunk{
		ID: f.Job.RequestID, Object: objectChunk, Created: f.Job.Created, Model: f.Job.Model,
		Choices: []openai.ChatChunkChoice{{Delta: delta, FinishReason: finish}},
	})
}

// usageChunk returns the data of the usage event, which follows the last token on request.
func usageChunk(f *flight.Flight) string {
	tokens := f.Log.Tokens(f.Log.Len() - 1)
	return mustEncode(openai.ChatChunk{
		ID: f.Job.RequestID, Object: objectChunk, Created: f.Job.Created, Model: f.Job.Model,
		Choices: []openai.ChatChunkChoice{}, Usage: usage(tokens[0]),
	})
}

func usage(last engine.Token) *openai.Usage {
	if last.Usage == nil {
		return &openai.Usage{}
	}
	u := last.Usage
	return &openai.Usage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: &openai.PromptTokensDetails{CachedTokens: u.CachedTokens},
	}
}

func join(tokens []engine.Token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

// mustEncode marshals a value to JSON and panics if that fails.
func mustEncode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}
