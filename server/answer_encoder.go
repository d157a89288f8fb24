package server

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/responder"
)

const roleAssistant = "assistant"

// Values of finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// answerEncoder builds the JSON documents of one answer from its tokens.
type answerEncoder struct {
	call    *generationCall
	answer  *responder.Answer
	created int64
	tokens  int // counted from token 0, including those sent on earlier connections
}

func newAnswerEncoder(g *generationCall, a *responder.Answer) *answerEncoder {
	return &answerEncoder{call: g, answer: a, created: time.Now().Unix(), tokens: g.nextToken}
}

func (e *answerEncoder) add(c connector.Chunk) { e.tokens = c.Index() + 1 }

// finishReason returns the finish_reason of an answer that ends after the
// tokens so far.
func (e *answerEncoder) finishReason() *string {
	reason := finishStop
	if e.tokens >= e.call.maxTokens {
		reason = finishLength
	}
	return &reason
}

func (e *answerEncoder) usage() *usageDocument {
	return &usageDocument{CompletionTokens: e.tokens, TotalTokens: e.tokens}
}

// newAnswerDocument returns a document with the common fields of an answer. Its
// model field contains the selected version, also if the caller named none.
func newAnswerDocument[Choice any](e *answerEncoder, object string, choices ...Choice) answerDocument[Choice] {
	if choices == nil {
		choices = []Choice{}
	}
	return answerDocument[Choice]{
		ID:      e.answer.RequestID(),
		Object:  object,
		Created: e.created,
		Model:   e.answer.Model().String(),
		Choices: choices,
	}
}

// Values of the object field, as in the OpenAI API.
const (
	objectText  = "text_completion"
	objectChat  = "chat.completion"
	objectDelta = "chat.completion.chunk"
)

// complete returns the document of the complete answer.
func (e *answerEncoder) complete(text string) any {
	switch e.call.format.(type) {
	case chatFormat:
		message := messageDocument{Role: roleAssistant, Content: contentDocument(text)}
		doc := newAnswerDocument(e, objectChat, chatChoice{Message: message, FinishReason: e.finishReason()})
		doc.Usage = e.usage()
		return doc
	default:
		doc := newAnswerDocument(e, objectText, textChoice{Text: text, FinishReason: e.finishReason()})
		doc.Usage = e.usage()
		return doc
	}
}

// chunk returns the document of one token.
func (e *answerEncoder) chunk(c connector.Chunk) any {
	var finish *string
	if c.Last() {
		finish = e.finishReason()
	}
	switch e.call.format.(type) {
	case chatFormat:
		delta := deltaDocument{Content: c.Text()}
		if c.Index() == 0 {
			delta.Role = roleAssistant
		}
		return newAnswerDocument(e, objectDelta, deltaChoice{Delta: delta, FinishReason: finish})
	default:
		return newAnswerDocument(e, objectText, textChoice{Text: c.Text(), FinishReason: finish})
	}
}

// usageEvent returns the document of the event with the token counts.
func (e *answerEncoder) usageEvent() any {
	switch e.call.format.(type) {
	case chatFormat:
		doc := newAnswerDocument[deltaChoice](e, objectDelta)
		doc.Usage = e.usage()
		return doc
	default:
		doc := newAnswerDocument[textChoice](e, objectText)
		doc.Usage = e.usage()
		return doc
	}
}
