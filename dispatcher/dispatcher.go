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

// Executor runs jobs on one engine. It is the engine's local scheduler or the peer
// that owns the engine.
type Executor interface {
	Run(ctx context.Context, job connector.Job) (connector.Stream, error)
}

// Directory looks up endpoints. Lookups take no lock.
type Directory interface {
	// Executor returns the executor of an engine that is owned by the node owner.
	Executor(engine, owner string) (Executor, error)
	// Service returns the client of an instance of a plain service.
	Service(endpoint string) (connector.Service, error)
}

// Result is the result of an attempt: Streaming or Replied.
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

// Replayed reports whether the answer is the stored one of an earlier attempt.
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

// defaultPostingTimeout limits a posting whose caller has disconnected. Ledger
// workers answer within seconds, so no answer is expected after this time.
const defaultPostingTimeout = 30 * time.Second

// Option sets an optional property of a Dispatcher.
type Option func(*Dispatcher)

// WithPostingTimeout limits how long a posting may continue after its caller has
// disconnected.
func WithPostingTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.postingTimeout = timeout }
}

// CrashTracker records which requests ran on endpoints that crashed. Blocked and
// Suspect are called for every attempt and must not take a lock.
type CrashTracker interface {
	// Blocked returns why a request must not run, or nil.
	Blocked(f receiver.Fingerprint) error
	// Suspect reports whether a crash or a broken stream is recorded for the
	// request.
	Suspect(f receiver.Fingerprint) bool
	// StreamBroken records that the stream of a request broke on an engine.
	StreamBroken(f receiver.Fingerprint, engine string)
	// Completed records that a request ran to completion.
	Completed(f receiver.Fingerprint)
}

// WithCrashTracker sets the tracker that blocks requests which crash endpoints.
func WithCrashTracker(t CrashTracker) Option {
	return func(d *Dispatcher) { d.crashes = t }
}

// noCrashTracker blocks and suspects no request.
type noCrashTracker struct{}

func (noCrashTracker) Blocked(receiver.Fingerprint) error        { return nil }
func (noCrashTracker) Suspect(receiver.Fingerprint) bool         { return false }
func (noCrashTracker) StreamBroken(receiver.Fingerprint, string) {}
func (noCrashTracker) Completed(receiver.Fingerprint)            {}

// Dispatcher runs attempts.
type Dispatcher struct {
	directory      Directory
	crashes        CrashTracker
	postingTimeout time.Duration

	mu       sync.Mutex // orders new postings and Close
	closed   bool
	postings sync.WaitGroup
}

// New returns a dispatcher. The caller must call Close.
func New(directory Directory, opts ...Option) *Dispatcher {
	d := &Dispatcher{directory: directory, crashes: noCrashTracker{}, postingTimeout: defaultPostingTimeout}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Close rejects new postings and waits for those in flight, so that their answers
// are stored. It returns within the posting timeout.
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

// destination describes the endpoint of an attempt for operators.
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
		return result, wrapAttemptError(choice.Engine().Name(), err)
	case *placer.OnService:
		result, err := d.call(ctx, p, choice)
		return result, wrapAttemptError(choice.Endpoint().Name(), err)
	case placer.NoEndpoint:
		return replay(p)
	default:
		return nil, classifier.NewUnavailable("the attempt has no endpoint")
	}
}

func wrapAttemptError(endpoint string, err error) error {
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

// withDeadline returns a context with the caller's deadline, if there is one.
func withDeadline(ctx context.Context, p *placer.Placed) (context.Context, context.CancelFunc) {
	if p.Deadline().IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, p.Deadline())
}
