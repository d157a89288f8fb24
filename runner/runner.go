package runner

import (
	"context"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/retrier"
	"github.com/dragonflyford/dragonflyford/verifier"
)

// Pipeline is the request pipeline of a node.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Stages holds the filters of the request pipeline, in the order in which they run.
type Stages struct {
	receiver   *receiver.Receiver
	resolver   *resolver.Resolver
	admitter   *admitter.Admitter
	claimer    *claimer.Claimer
	placer     *placer.Placer
	dispatcher *dispatcher.Dispatcher
	verifier   *verifier.Verifier
	attempts   int
}

// NewStages returns the stages of a pipeline. attempts is the maximum number of
// attempts of idempotent work.
func NewStages(
	receive *receiver.Receiver,
	resolve *resolver.Resolver,
	admit *admitter.Admitter,
	claim *claimer.Claimer,
	place *placer.Placer,
	dispatch *dispatcher.Dispatcher,
	verify *verifier.Verifier,
	attempts int,
) *Stages {
	return &Stages{
		receiver:   receive,
		resolver:   resolve,
		admitter:   admit,
		claimer:    claim,
		placer:     place,
		dispatcher: dispatch,
		verifier:   verify,
		attempts:   attempts,
	}
}

// Join connects the stages in the order given in the design document.
func (s *Stages) Join() Pipeline {
	perAttempt := chainer.Join(chainer.Join(s.placer, s.dispatcher), s.verifier)
	admitted := chainer.Join(chainer.Join(s.receiver, s.resolver), s.admitter)
	enter := chainer.Join[*receiver.Call](retryGuard{next: admitted}, s.claimer)
	leave := chainer.Join(retrier.New(perAttempt, s.attempts), responder.New())
	return chainer.Join(enter, leave)
}

// retryGuard wraps the stages before the claim. If they refuse a call that reuses
// an idempotency key, it reports the outcome as unknown, because no stage has
// checked the results of earlier attempts yet.
type retryGuard struct {
	next chainer.Filter[*receiver.Call, *admitter.Admitted]
}

// Apply implements chainer.Filter.
func (g retryGuard) Apply(ctx context.Context, c *receiver.Call) (*admitter.Admitted, error) {
	a, err := g.next.Apply(ctx, c)
	if err != nil && c.IsRetry() {
		return nil, classifier.AsUnknown(classifier.Of(err))
	}
	return a, err
}
