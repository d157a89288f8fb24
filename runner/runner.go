package runner

import (
	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/retrier"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/verifier"
)

// Pipeline is the request pipeline of a node.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Stages are the parts that a pipeline is made of.
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

// NewStages returns the stages of a node.
func NewStages(limits receiver.Limits, bundles resolver.Source, concurrency int, table storer.Table, node, region string, views placer.Source, directory dispatcher.Directory, asserts *asserter.Asserter, attempts int) *Stages {
	return &Stages{
		receiver:   receiver.New(limits),
		resolver:   resolver.New(bundles),
		admitter:   admitter.New(concurrency),
		claimer:    claimer.New(table, node, asserts),
		placer:     placer.New(views, region),
		dispatcher: dispatcher.New(directory),
		verifier:   verifier.New(asserts),
		attempts:   attempts,
	}
}

// Join connects the stages in the order that the design page gives.
func (s *Stages) Join() Pipeline {
	perAttempt := chainer.Join(chainer.Join(s.placer, s.dispatcher), s.verifier)
	enter := chainer.Join(chainer.Join(chainer.Join(s.receiver, s.resolver), s.admitter), s.claimer)
	leave := chainer.Join(retrier.New(perAttempt, s.attempts), responder.New())
	return chainer.Join(enter, leave)
}

// Close waits for the stages' postings, so that their answers are stored, and
// ends the claimer.
func (s *Stages) Close() {
	s.dispatcher.Close()
	s.claimer.Close()
}
