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
	reporter := &crashReporter{crashes: d.crashes, fingerprint: p.Fingerprint(), engine: choice.Engine().Name()}
	if err := d.crashes.Blocked(reporter.fingerprint); err != nil {
		return nil, fmt.Errorf("check crash marks: %w", err)
	}
	ctx, cancel := withDeadline(ctx, p)
	stream, err := exec.Run(ctx, d.newJob(p, route))
	if err != nil {
		cancel()
		reporter.failed(err)
		return nil, fmt.Errorf("run on engine %q: %w", choice.Engine().Name(), err)
	}
	return NewStreaming(&deadlineStream{Stream: stream, cancel: cancel, reporter: reporter}, route.Model()), nil
}

// crashReporter reports the result of a job on its engine to the CrashTracker.
type crashReporter struct {
	crashes     CrashTracker
	fingerprint receiver.Fingerprint
	engine      string
}

// failed reports a job whose stream broke on its engine. A lost connection to the
// engine's owner is not reported, because the engine may be healthy.
func (r *crashReporter) failed(err error) {
	if errors.Is(err, connector.ErrBroken) && !errors.Is(err, connector.ErrOwnerLost) {
		r.crashes.StreamBroken(r.fingerprint, r.engine)
	}
}

// deadlineStream is a stream whose context has the caller's deadline.
type deadlineStream struct {
	connector.Stream
	cancel   context.CancelFunc
	reporter *crashReporter
}

// Next returns the next chunk and reports the end of the job.
func (s *deadlineStream) Next(ctx context.Context) (connector.Chunk, error) {
	chunk, err := s.Stream.Next(ctx)
	switch {
	case err != nil:
		s.reporter.failed(err)
	case chunk.Last():
		s.reporter.crashes.Completed(s.reporter.fingerprint)
	}
	return chunk, err
}

// Close closes the stream and then cancels its context.
func (s *deadlineStream) Close() error {
	defer s.cancel()
	return s.Stream.Close()
}

func (d *Dispatcher) newJob(p *placer.Placed, route *resolver.GenerationRoute) connector.Job {
	t := route.Target()
	opts := []connector.JobOption{
		connector.ResumeAt(p.NextToken()),
		connector.WithSeed(Seed(p.ID())),
		connector.WithPriority(p.Priority()),
	}
	if d.crashes.Suspect(p.Fingerprint()) {
		opts = append(opts, connector.Suspect())
	}
	return connector.NewJob(p.AttemptID(), p.ID(), route.Model(), t.Prompt(), t.MaxTokens(), opts...)
}

// Seed returns the sampling seed of a request. It depends only on the id, so that
// any engine resumes an answer with the same tokens.
func Seed(requestID string) uint64 {
	return xxhash.Sum64String(requestID)
}
