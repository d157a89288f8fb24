package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
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

// AttemptError reports an attempt that failed on an endpoint.
type AttemptError struct {
	endpoint string
	cause    error
}

// NewAttemptError returns an error of an attempt on endpoint.
func NewAttemptError(endpoint string, cause error) *AttemptError {
	return &AttemptError{endpoint: endpoint, cause: cause}
}

// Endpoint returns the endpoint that the attempt ran on.
func (e *AttemptError) Endpoint() string { return e.endpoint }

func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt on endpoint %q: %v", e.endpoint, e.cause)
}

// Unwrap returns why the attempt failed.
func (e *AttemptError) Unwrap() error { return e.cause }

// defaultPostingTimeout bounds a posting whose caller has gone away. Ledger
// workers answer within seconds; past this their answer is not expected.
const defaultPostingTimeout = 30 * time.Second

// Option sets an optional property of a Dispatcher.
type Option func(*Dispatcher)

// WithPostingTimeout bounds how long a posting may go on after its caller has
// gone away.
func WithPostingTimeout(d time.Duration) Option {
	return func(r *Dispatcher) { r.postingTimeout = d }
}

// CrashTracker keeps evidence against requests that crash endpoints. It is asked
// before every attempt and takes no lock.
type CrashTracker interface {
	// Blocked returns why a request must not run, or nil.
	Blocked(f receiver.Fingerprint) error
	// Suspect reports whether the request ran on an engine when it crashed.
	Suspect(f receiver.Fingerprint) bool
	// StreamBroken hears of a request whose stream broke on an engine.
	StreamBroken(f receiver.Fingerprint, engine string)
	// Completed hears of a request that ran to its end.
	Completed(f receiver.Fingerprint)
}

// WithCrashTracker keeps requests that crash endpoints from crashing more.
func WithCrashTracker(s CrashTracker) Option {
	return func(r *Dispatcher) { r.suspects = s }
}

// noSuspects suspects no request.
type noSuspects struct{}

func (noSuspects) Blocked(receiver.Fingerprint) error        { return nil }
func (noSuspects) Suspect(receiver.Fingerprint) bool         { return false }
func (noSuspects) StreamBroken(receiver.Fingerprint, string) {}
func (noSuspects) Completed(receiver.Fingerprint)            {}

// Dispatcher runs attempts.
type Dispatcher struct {
	directory      Directory
	suspects       CrashTracker
	postingTimeout time.Duration

	mu       sync.Mutex // orders new postings and Close
	closed   bool
	postings sync.WaitGroup
}

// New returns a dispatcher. The caller must call Close.
func New(d Directory, opts ...Option) *Dispatcher {
	r := &Dispatcher{directory: d, suspects: noSuspects{}, postingTimeout: defaultPostingTimeout}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Close refuses new postings and waits for those under way, so that their
// answers are stored. It takes no longer than the posting timeout.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.postings.Wait()
}

// Apply runs an attempt on the endpoint that was chosen for it.
func (d *Dispatcher) Apply(ctx context.Context, p *placer.Placed) (*Dispatched, error) {
	trail := recorder.From(ctx)
	if trail != nil {
		trail.Note(recorder.StageDispatcher, destination(p), "attempt "+p.AttemptID())
	}
	result, err := d.run(ctx, p)
	if err != nil {
		if trail != nil {
			trail.Note(recorder.StageDispatcher, "failed", err.Error())
		}
		return nil, err
	}
	return &Dispatched{Placed: p, result: result}, nil
}

// destination names where an attempt goes, for operators.
func destination(p *placer.Placed) string {
	switch choice := p.Choice().(type) {
	case *placer.OnEngine:
		return fmt.Sprintf("engine %s through node %q", choice.Engine().Name(), choice.Owner())
	case *placer.OnService:
		return "service endpoint " + choice.Endpoint().Name()
	default:
		return "stored answer"
	}
}

func (d *Dispatcher) run(ctx context.Context, p *placer.Placed) (Result, error) {
	switch choice := p.Choice().(type) {
	case *placer.OnEngine:
		result, err := d.generate(ctx, p, choice)
		return result, failedOn(choice.Engine().Name(), err)
	case *placer.OnService:
		result, err := d.call(ctx, p, choice)
		return result, failedOn(choice.Endpoint().Name(), err)
	case placer.NoEndpoint:
		return replay(p)
	default:
		return nil, classifier.NewUnavailable("the attempt has no endpoint")
	}
}

func failedOn(endpoint string, err error) error {
	if err == nil {
		return nil
	}
	return NewAttemptError(endpoint, err)
}

func replay(p *placer.Placed) (Result, error) {
	r, ok := p.Claim().(*claimer.Replay)
	if !ok {
		return nil, classifier.NewUnavailable("the attempt has no stored answer")
	}
	return &Replied{reply: r.Reply(), replayed: true}, nil
}

// until returns a context that ends with the caller's deadline.
func until(ctx context.Context, p *placer.Placed) (context.Context, context.CancelFunc) {
	if p.Deadline().IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, p.Deadline())
}
