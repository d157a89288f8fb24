package server

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/responder"
)

const roleAssistant = "assistant"

// Why an answer ended.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// transcript turns the tokens of one answer into documents.
type transcript struct {
	generation *generation
	answer     *responder.Answer
	created    int64
	tokens     int // counted from token 0, also those of earlier connections
}

func newTranscript(g *generation, a *responder.Answer) *transcript {
	return &transcript{generation: g, answer: a, created: time.Now().Unix(), tokens: g.next}
}

func (t *transcript) add(c connector.Chunk) { t.tokens = c.Index() + 1 }

// finish returns why the answer ends with the tokens so far.
func (t *transcript) finish() *string {
	reason := finishStop
	if t.tokens >= t.generation.maxTokens {
		reason = finishLength
	}
	return &reason
}

func (t *transcript) usage() *usageDocument {
	return &usageDocument{CompletionTokens: t.tokens, TotalTokens: t.tokens}
}

// newAnswer returns a document of the answer. Callers that did not name a version
// learn it from the model field.
func newAnswer[Choice any](t *transcript, object string, choices ...Choice) answerDocument[Choice] {
	if choices == nil {
		choices = []Choice{}
	}
	return answerDocument[Choice]{
		ID:      t.answer.RequestID(),
		Object:  object,
		Created: t.created,
		Model:   t.answer.Model().String(),
		Choices: choices,
	}
}

// Types of answers, as callers of the OpenAI API know them.
const (
	objectText  = "text_completion"
	objectChat  = "chat.completion"
	objectDelta = "chat.completion.chunk"
)

// whole returns the complete answer.
func (t *transcript) whole(text string) any {
	switch t.generation.form.(type) {
	case chatForm:
		message := messageDocument{Role: roleAssistant, Content: contentDocument(text)}
		doc := newAnswer(t, objectChat, chatChoice{Message: message, FinishReason: t.finish()})
		doc.Usage = t.usage()
		return doc
	default:
		doc := newAnswer(t, objectText, textChoice{Text: text, FinishReason: t.finish()})
		doc.Usage = t.usage()
		return doc
	}
}

// part returns one token of the answer.
func (t *transcript) part(c connector.Chunk) any {
	var finish *string
	if c.Last() {
		finish = t.finish()
	}
	switch t.generation.form.(type) {
	case chatForm:
		delta := deltaDocument{Content: c.Text()}
		if c.Index() == 0 {
			delta.Role = roleAssistant
		}
		return newAnswer(t, objectDelta, deltaChoice{Delta: delta, FinishReason: finish})
	default:
		return newAnswer(t, objectText, textChoice{Text: c.Text(), FinishReason: finish})
	}
}

// total returns the event that counts the tokens.
func (t *transcript) total() any {
	switch t.generation.form.(type) {
	case chatForm:
		doc := newAnswer[deltaChoice](t, objectDelta)
		doc.Usage = t.usage()
		return doc
	default:
		doc := newAnswer[textChoice](t, objectText)
		doc.Usage = t.usage()
		return doc
	}
}
