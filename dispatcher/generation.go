package dispatcher

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/resolver"
)

func (d *Dispatcher) generate(ctx context.Context, p *placer.Placed, choice *placer.OnEngine) (Result, error) {
	route, ok := p.Route().(*resolver.GenerationRoute)
	if !ok {
		return nil, classifier.NewInvalid("the request is not a generation")
	}
	exec, err := d.directory.Executor(choice.Engine().Name(), choice.Owner())
	if err != nil {
		return nil, fmt.Errorf("find owner of engine %q: %w", choice.Engine().Name(), err)
	}
	ctx, cancel := until(ctx, p)
	stream, err := exec.Run(ctx, newJob(p, route))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("run on engine %q: %w", choice.Engine().Name(), err)
	}
	return NewStreaming(&bounded{Stream: stream, cancel: cancel}, route.Model()), nil
}

// bounded is a stream that ends with the caller's deadline.
type bounded struct {
	connector.Stream
	cancel context.CancelFunc
}

// Close ends the stream before its context.
func (b *bounded) Close() error {
	defer b.cancel()
	return b.Stream.Close()
}

// suspicious is a request that may have run on an engine when it crashed.
type suspicious interface{ Suspect() bool }

func newJob(p *placer.Placed, route *resolver.GenerationRoute) connector.Job {
	t := route.Target()
	opts := []connector.JobOption{
		connector.ResumeAt(p.Next()),
		connector.WithSeed(Seed(p.ID())),
		connector.WithPriority(p.Priority()),
	}
	if s, ok := any(p.Admitted).(suspicious); ok && s.Suspect() {
		opts = append(opts, connector.Suspect())
	}
	return connector.NewJob(p.AttemptID(), p.ID(), route.Model(), t.Prompt(), t.MaxTokens(), opts...)
}

// Seed returns the sampling seed of a request. It depends on the id alone, so
// that any engine continues an answer with the same tokens.
func Seed(requestID string) uint64 {
	return xxhash.Sum64String(requestID)
}
