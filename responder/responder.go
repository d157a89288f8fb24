package responder

import (
	"context"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/retrier"
)

// Body is the content of an answer: a TokenBody or a ReplyBody.
type Body interface{ body() }

// TokenBody is an answer that arrives token by token.
type TokenBody struct {
	stream connector.Stream
}

// NewTokenBody returns a body of tokens.
func NewTokenBody(s connector.Stream) *TokenBody { return &TokenBody{stream: s} }

// Stream returns the tokens.
func (b *TokenBody) Stream() connector.Stream { return b.stream }

// ReplyBody is the complete answer of a plain service.
type ReplyBody struct {
	reply    connector.Reply
	replayed bool
}

// NewReplyBody returns a body with a complete answer.
func NewReplyBody(r connector.Reply, replayed bool) *ReplyBody {
	return &ReplyBody{reply: r, replayed: replayed}
}

// Reply returns the answer.
func (b *ReplyBody) Reply() connector.Reply { return b.reply }

// Replayed reports whether the answer is that of an earlier attempt.
func (b *ReplyBody) Replayed() bool { return b.replayed }

func (*TokenBody) body() {}
func (*ReplyBody) body() {}

// Answer is the result of a request, to be encoded by a front end.
type Answer struct {
	request string
	model   connector.Model
	epoch   uint64
	body    Body
}

// NewAnswer returns an answer. The model is empty for services.
func NewAnswer(request string, m connector.Model, epoch uint64, b Body) *Answer {
	return &Answer{request: request, model: m, epoch: epoch, body: b}
}

// RequestID returns the id of the request.
func (a *Answer) RequestID() string { return a.request }

// Model returns the adapter version that answers; it is empty for services.
func (a *Answer) Model() connector.Model { return a.model }

// Epoch returns the bundle epoch that the request was resolved against.
func (a *Answer) Epoch() uint64 { return a.epoch }

// Outcome returns the outcome, which is Done once the body is complete.
func (a *Answer) Outcome() classifier.Outcome { return classifier.Done{} }

// Body returns the content.
func (a *Answer) Body() Body { return a.body }

// Responder is the last stage of the request pipeline.
type Responder struct{}

// New returns a responder.
func New() Responder { return Responder{} }

// Apply converts a settled request into an answer.
func (Responder) Apply(_ context.Context, s *retrier.Settled) (*Answer, error) {
	body, err := bodyOf(s.Result())
	if err != nil {
		return nil, err
	}
	var m connector.Model
	if route, ok := s.Route().(*resolver.GenerationRoute); ok {
		m = route.Model()
	}
	return NewAnswer(s.ID(), m, s.Snapshot().Epoch(), body), nil
}

func bodyOf(r dispatcher.Result) (Body, error) {
	switch r := r.(type) {
	case *dispatcher.Streaming:
		return NewTokenBody(r.Stream()), nil
	case *dispatcher.Replied:
		return NewReplyBody(r.Reply(), r.Replayed()), nil
	default:
		return nil, classifier.NewUncertain("the request has no result")
	}
}
