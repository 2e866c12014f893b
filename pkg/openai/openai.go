// Package openai defines the JSON messages of the OpenAI API that callers use, as
// in the public OpenAI API reference.
package openai

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
	Seed                *int64         `json:"seed,omitempty"`
	// N is the number of choices; only 1 is supported.
	N int `json:"n,omitempty"`
}

// StreamOptions selects additional chunks of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In requests it may also be a list of text parts.
type Content string

// ErrContent means that a message's content isn't text.
var ErrContent = eris.New("openai: content must be a text or a list of text parts")

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []contentPart
	if json.Unmarshal(data, &parts) != nil {
		return ErrContent
	}
	for _, p := range parts {
		if p.Type != "text" {
			return ErrContent
		}
		text += p.Text
	}
	*c = Content(text)
	return nil
}

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      *int64 `json:"seed,omitempty"`
}

// ChatCompletion is a complete response of POST /v1/chat/completions.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChoice is a choice of a ChatCompletion.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// ChatChunk is one event of a streamed chat response.
type ChatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []ChatChunkChoice `json:"choices"`
	Usage   *Usage            `json:"usage,omitempty"`
}

// ChatChunkChoice is a choice of a ChatChunk.
type ChatChunkChoice struct {
	Index        int       `json:"index"`
	Delta        ChatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// ChatDelta is the text that a chunk adds.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// TextCompletion is a complete response of POST /v1/completions, or one event of a
// streamed one.
type TextCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []TextChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// TextChoice is a choice of a TextCompletion.
type TextChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails breaks down the prompt's tokens.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one item of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes a failed request.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}
