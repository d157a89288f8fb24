package dispatcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// Executor runs jobs on one engine: the engine's scheduler, or a peer that owns
// the engine.
type Executor interface {
	Run(ctx context.Context, job connector.Job) (connector.Stream, error)
}

// Directory finds the way to endpoints. It is read without a lock.
type Directory interface {
	// Executor returns the way to an engine through its owner.
	Executor(engine, owner string) (Executor, error)
	// Service returns the way to an instance of a plain service.
	Service(endpoint string) (connector.Service, error)
}

// Result is what an endpoint answers: Streaming or Replied.
type Result interface{ result() }

// Streaming is an answer that arrives token by token.
type Streaming struct {
	stream connector.Stream
	model  connector.Model
}

// NewStreaming returns a streamed result.
func NewStreaming(s connector.Stream, m connector.Model) *Streaming {
	return &Streaming{stream: s, model: m}
}

// Stream returns the answer.
func (s *Streaming) Stream() connector.Stream { return s.stream }

// Model returns the adapter version that the answer must come from.
func (s *Streaming) Model() connector.Model { return s.model }

// Replied is a complete answer.
type Replied struct {
	reply    connector.Reply
	replayed bool
}

// Reply returns the answer.
func (r *Replied) Reply() connector.Reply { return r.reply }

// Replayed reports whether the answer is that of an earlier attempt.
func (r *Replied) Replayed() bool { return r.replayed }

func (*Streaming) result() {}
func (*Replied) result()   {}

// Dispatched is an attempt with its result.
type Dispatched struct {
	*placer.Placed
	result Result
}

// Result returns the attempt's result.
func (d *Dispatched) Result() Result { return d.result }

// Dispatcher runs attempts.
type Dispatcher struct {
	directory Directory
}

// New returns a dispatcher.
func New(d Directory) *Dispatcher { return &Dispatcher{directory: d} }

// Apply runs an attempt on the endpoint that was chosen for it.
func (d *Dispatcher) Apply(ctx context.Context, p *placer.Placed) (*Dispatched, error) {
	result, err := d.run(ctx, p)
	if err != nil {
		return nil, err
	}
	return &Dispatched{Placed: p, result: result}, nil
}

func (d *Dispatcher) run(ctx context.Context, p *placer.Placed) (Result, error) {
	switch choice := p.Choice().(type) {
	case *placer.OnEngine:
		return d.generate(ctx, p, choice)
	case *placer.OnService:
		return d.call(ctx, p, choice)
	case placer.Nowhere:
		return replay(p)
	default:
		return nil, classifier.NewUnavailable("the attempt has no endpoint")
	}
}

func replay(p *placer.Placed) (Result, error) {
	r, ok := p.Claim().(*claimer.Replay)
	if !ok {
		return nil, classifier.NewUnavailable("the attempt has no stored answer")
	}
	return &Replied{reply: r.Reply(), replayed: true}, nil
}

func (d *Dispatcher) generate(ctx context.Context, p *placer.Placed, choice *placer.OnEngine) (Result, error) {
	route, ok := p.Route().(*resolver.GenerationRoute)
	if !ok {
		return nil, classifier.NewInvalid("the request is not a generation")
	}
	exec, err := d.directory.Executor(choice.Engine().Name(), choice.Owner())
	if err != nil {
		return nil, fmt.Errorf("find owner of engine %q: %w", choice.Engine().Name(), err)
	}
	t := route.Target()
	job := connector.NewJob(p.AttemptID(), p.ID(), route.Model(), t.Prompt(), t.MaxTokens(),
		connector.ResumeAt(p.Next()), connector.WithSeed(Seed(p.ID())), connector.WithPriority(p.Priority()))
	stream, err := exec.Run(ctx, job)
	if err != nil {
		return nil, fmt.Errorf("run on engine %q: %w", choice.Engine().Name(), err)
	}
	return NewStreaming(stream, route.Model()), nil
}

// Seed returns the sampling seed of a request. It depends on the id alone, so
// that any engine continues an answer with the same tokens.
func Seed(requestID string) uint64 {
	return xxhash.Sum64String(requestID)
}

func (d *Dispatcher) call(ctx context.Context, p *placer.Placed, choice *placer.OnService) (Result, error) {
	route, ok := p.Route().(*resolver.ServiceRoute)
	if !ok {
		return nil, classifier.NewInvalid("the request is not a service call")
	}
	svc, err := d.directory.Service(choice.Endpoint().Name())
	if err != nil {
		return nil, fmt.Errorf("find service endpoint %q: %w", choice.Endpoint().Name(), err)
	}
	t := route.Target()
	held, isHeld := p.Claim().(*claimer.Held)
	id := p.ID()
	if isHeld {
		id = held.Attempt()
		if err := held.MarkSent(ctx); err != nil {
			return nil, err
		}
	}
	reply, err := svc.Call(ctx, connector.NewOperation(p.AttemptID(), id, t.Method(), t.Path(), t.Body()))
	if err != nil {
		return nil, d.callFailed(ctx, held, err)
	}
	if isHeld {
		// The caller gets the answer even if it cannot be stored; a repeat of the
		// key is then told that the outcome is not known.
		_ = held.Finish(ctx, reply)
	}
	return &Replied{reply: reply}, nil
}

func (d *Dispatcher) callFailed(ctx context.Context, held *claimer.Held, err error) error {
	if !errors.Is(err, connector.ErrRefused) {
		return classifier.NewUncertain("the endpoint did not answer", classifier.Cause(err))
	}
	if held != nil {
		if releaseErr := held.Release(ctx); releaseErr != nil {
			return classifier.NewUncertain("the endpoint refused, and the claim could not be released", classifier.Cause(releaseErr))
		}
	}
	return classifier.NewUnavailable("the endpoint refused the call", classifier.Cause(err))
}
