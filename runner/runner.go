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

// Stages are the filters that the request pipeline is made of, in its order.
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

// NewStages returns the stages of a pipeline. Attempts is how often idempotent
// work is tried.
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

// Join connects the stages in the order that the design page gives.
func (s *Stages) Join() Pipeline {
	perAttempt := chainer.Join(chainer.Join(s.placer, s.dispatcher), s.verifier)
	admitted := chainer.Join(chainer.Join(s.receiver, s.resolver), s.admitter)
	enter := chainer.Join[*receiver.Call](repeatGuard{next: admitted}, s.claimer)
	leave := chainer.Join(retrier.New(perAttempt, s.attempts), responder.New())
	return chainer.Join(enter, leave)
}

// repeatGuard is the pipeline up to the claim. A refusal there is reported as
// unknown to a caller that repeats a key, because no stage has looked at what
// became of the earlier attempts.
type repeatGuard struct {
	next chainer.Filter[*receiver.Call, *admitter.Admitted]
}

// Apply runs the stages before the claim.
func (g repeatGuard) Apply(ctx context.Context, c *receiver.Call) (*admitter.Admitted, error) {
	a, err := g.next.Apply(ctx, c)
	if err != nil && c.IsRetry() {
		return nil, classifier.AsUnknown(classifier.Of(err))
	}
	return a, err
}
