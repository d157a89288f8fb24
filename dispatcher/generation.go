package dispatcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
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
	reporter := &crashReporter{suspects: d.suspects, fingerprint: p.Fingerprint(), engine: choice.Engine().Name()}
	if err := d.suspects.Blocked(reporter.fingerprint); err != nil {
		return nil, fmt.Errorf("check crash evidence: %w", err)
	}
	ctx, cancel := until(ctx, p)
	stream, err := exec.Run(ctx, d.newJob(p, route))
	if err != nil {
		cancel()
		reporter.failed(err)
		return nil, fmt.Errorf("run on engine %q: %w", choice.Engine().Name(), err)
	}
	return NewStreaming(&bounded{Stream: stream, cancel: cancel, reporter: reporter}, route.Model()), nil
}

// crashReporter tells how a job ended on its engine.
type crashReporter struct {
	suspects    CrashTracker
	fingerprint receiver.Fingerprint
	engine      string
}

// failed reports a job that broke on its engine. The loss of the engine's owner
// says nothing about the engine.
func (r *crashReporter) failed(err error) {
	if errors.Is(err, connector.ErrBroken) && !errors.Is(err, connector.ErrOwnerLost) {
		r.suspects.StreamBroken(r.fingerprint, r.engine)
	}
}

// bounded is a stream that ends with the caller's deadline.
type bounded struct {
	connector.Stream
	cancel   context.CancelFunc
	reporter *crashReporter
}

// Next returns the next chunk and tells the reporter how the job ended.
func (b *bounded) Next(ctx context.Context) (connector.Chunk, error) {
	chunk, err := b.Stream.Next(ctx)
	switch {
	case err != nil:
		b.reporter.failed(err)
	case chunk.Last():
		b.reporter.suspects.Completed(b.reporter.fingerprint)
	}
	return chunk, err
}

// Close ends the stream before its context.
func (b *bounded) Close() error {
	defer b.cancel()
	return b.Stream.Close()
}

func (d *Dispatcher) newJob(p *placer.Placed, route *resolver.GenerationRoute) connector.Job {
	t := route.Target()
	opts := []connector.JobOption{
		connector.ResumeAt(p.NextToken()),
		connector.WithSeed(Seed(p.ID())),
		connector.WithPriority(p.Priority()),
	}
	if d.suspects.Suspect(p.Fingerprint()) {
		opts = append(opts, connector.Suspect())
	}
	return connector.NewJob(p.AttemptID(), p.ID(), route.Model(), t.Prompt(), t.MaxTokens(), opts...)
}

// Seed returns the sampling seed of a request. It depends on the id alone, so
// that any engine continues an answer with the same tokens.
func Seed(requestID string) uint64 {
	return xxhash.Sum64String(requestID)
}
