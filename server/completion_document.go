package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// generationDocument holds the fields that completions and chats share. Fields
// that callers cannot change are listed, so that a request that relies on one
// is rejected instead of getting a different answer than it asked for. Unknown
// fields are ignored, as clients of other servers expect.
type generationDocument struct {
	Model         string                 `json:"model"`
	MaxTokens     *int                   `json:"max_tokens"`
	Stream        bool                   `json:"stream"`
	StreamOptions *streamOptionsDocument `json:"stream_options"`
	Priority      *int                   `json:"priority"`

	N                *float64        `json:"n"`
	BestOf           *float64        `json:"best_of"`
	Temperature      *float64        `json:"temperature"`
	TopP             *float64        `json:"top_p"`
	PresencePenalty  *float64        `json:"presence_penalty"`
	FrequencyPenalty *float64        `json:"frequency_penalty"`
	TopLogprobs      *float64        `json:"top_logprobs"`
	Logprobs         json.RawMessage `json:"logprobs"`
	LogitBias        json.RawMessage `json:"logit_bias"`
	Echo             json.RawMessage `json:"echo"`
	Suffix           json.RawMessage `json:"suffix"`
	Stop             json.RawMessage `json:"stop"`
	Seed             json.RawMessage `json:"seed"`
	Tools            json.RawMessage `json:"tools"`
	ToolChoice       json.RawMessage `json:"tool_choice"`
	Functions        json.RawMessage `json:"functions"`
	FunctionCall     json.RawMessage `json:"function_call"`
	ResponseFormat   json.RawMessage `json:"response_format"`
}

type streamOptionsDocument struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionDocument is the request body of /v1/completions.
type completionDocument struct {
	generationDocument
	Prompt promptDocument `json:"prompt"`
}

// promptDocument is a prompt: a string, or a list that holds one string.
type promptDocument string

// UnmarshalJSON reads either form.
func (p *promptDocument) UnmarshalJSON(raw []byte) error {
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		*p = promptDocument(one)
		return nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return classifier.NewInvalid("prompt must be a string or a list of one string")
	}
	*p = promptDocument(list[0])
	return nil
}

// chatDocument is the request body of /v1/chat/completions.
type chatDocument struct {
	generationDocument
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Messages            []messageDocument `json:"messages"`
}

type messageDocument struct {
	Role    string          `json:"role"`
	Content contentDocument `json:"content"`
}

// contentDocument is the content of a message: a string, or a list of text
// parts.
type contentDocument string

// UnmarshalJSON reads either form.
func (c *contentDocument) UnmarshalJSON(raw []byte) error {
	var one string
	if err := json.Unmarshal(raw, &one); err == nil {
		*c = contentDocument(one)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return classifier.NewInvalid("content must be a string or a list of text parts")
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return classifier.NewInvalid(fmt.Sprintf("content has a part of type %.40q; only text is supported", p.Type))
		}
		text.WriteString(p.Text)
	}
	*c = contentDocument(text.String())
	return nil
}

// check rejects fields that would change the answer but are not passed to
// engines. Stop sequences are among them, because a stream that is resumed at
// another node could not be stopped at the same token.
func (d *generationDocument) check() error {
	numbers := []struct {
		field   string
		value   *float64
		neutral float64
	}{
		{"n", d.N, 1},
		{"best_of", d.BestOf, 1},
		{"temperature", d.Temperature, 1},
		{"top_p", d.TopP, 1},
		{"presence_penalty", d.PresencePenalty, 0},
		{"frequency_penalty", d.FrequencyPenalty, 0},
		{"top_logprobs", d.TopLogprobs, 0},
	}
	for _, n := range numbers {
		if n.value != nil && *n.value != n.neutral {
			return unsupported(n.field, fmt.Sprint(n.neutral))
		}
	}
	others := []struct {
		field   string
		value   json.RawMessage
		neutral []string
	}{
		{"logprobs", d.Logprobs, []string{"false", "0"}},
		{"logit_bias", d.LogitBias, []string{"{}"}},
		{"echo", d.Echo, []string{"false"}},
		{"suffix", d.Suffix, []string{`""`}},
		{"stop", d.Stop, []string{"[]", `""`}},
		{"seed", d.Seed, nil},
		{"tools", d.Tools, []string{"[]"}},
		{"tool_choice", d.ToolChoice, []string{`"none"`, `"auto"`}},
		{"functions", d.Functions, []string{"[]"}},
		{"function_call", d.FunctionCall, []string{`"none"`, `"auto"`}},
		{"response_format", d.ResponseFormat, []string{`{"type":"text"}`}},
	}
	for _, o := range others {
		if !isNeutral(o.value, o.neutral) {
			return unsupported(o.field, fmt.Sprint(append([]string{"null"}, o.neutral...)))
		}
	}
	return nil
}

func isNeutral(value json.RawMessage, neutral []string) bool {
	if value == nil || string(value) == "null" {
		return true
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return false
	}
	for _, n := range neutral {
		if compact.String() == n {
			return true
		}
	}
	return false
}

func unsupported(field, allowed string) error {
	return classifier.NewInvalid(fmt.Sprintf("%s is not supported; it may be left out or %s", field, allowed))
}

// usageDocument counts the tokens of an answer. Only engines tokenize prompts,
// so prompt_tokens is always 0.
type usageDocument struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerDocument is a complete answer, or one event of a stream.
type answerDocument[Choice any] struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []Choice       `json:"choices"`
	Usage   *usageDocument `json:"usage,omitempty"`
}

// textChoice is the text of a completion, or of one token of it.
type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// chatChoice is a complete turn of a chat.
type chatChoice struct {
	Index        int             `json:"index"`
	Message      messageDocument `json:"message"`
	FinishReason *string         `json:"finish_reason"`
}

// deltaChoice is one token of a turn.
type deltaChoice struct {
	Index        int           `json:"index"`
	Delta        deltaDocument `json:"delta"`
	FinishReason *string       `json:"finish_reason"`
}

type deltaDocument struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}
