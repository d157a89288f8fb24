package admitter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// Admitted is a request that may use the node's resources. Its place is given
// back when the request's context ends.
type Admitted struct {
	*resolver.Resolved
}

// Screen knows requests that must not run at all.
type Screen interface {
	// Blocked returns why requests with this fingerprint must not run, or nil.
	Blocked(f receiver.Fingerprint) error
}

// Option sets an optional property of an Admitter.
type Option func(*Admitter)

// WithQueue sets how many requests may wait for a place; the default is the
// limit on running requests.
func WithQueue(places int) Option { return func(a *Admitter) { a.queue.capacity = places } }

// WithScreen asks s about every request first.
func WithScreen(s Screen) Option { return func(a *Admitter) { a.screen = s } }

// Admitter is the third stage of the request pipeline.
type Admitter struct {
	limit  uint32
	screen Screen
	// The numbers of running and waiting requests share one word, so that a
	// request takes a free place without a lock exactly when nobody waits.
	state atomic.Uint64
	pace  pace

	mu    sync.Mutex // guards queue; taken only while requests wait
	queue queue
}

// New returns an admitter for up to limit requests at a time.
func New(limit int, opts ...Option) *Admitter {
	a := &Admitter{limit: uint32(max(limit, 1)), queue: newQueue(limit)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

const (
	oneRunning uint64 = 1
	oneWaiting uint64 = 1 << 32
)

// minus returns what to add to a state to subtract n.
func minus(n uint64) uint64 { return ^(n - 1) }

func running(state uint64) uint32 { return uint32(state) }
func waiting(state uint64) uint32 { return uint32(state >> 32) }

// Running returns how many requests hold a place.
func (a *Admitter) Running() int { return int(running(a.state.Load())) }

// Waiting returns how many requests wait for a place.
func (a *Admitter) Waiting() int { return int(waiting(a.state.Load())) }

// Limit returns how many requests may run at a time.
func (a *Admitter) Limit() int { return int(a.limit) }

// Apply admits a request, makes it wait for its turn or refuses it.
func (a *Admitter) Apply(ctx context.Context, r *resolver.Resolved) (*Admitted, error) {
	if err := a.admit(ctx, r.Request); err != nil {
		recorder.From(ctx).Note(recorder.StageAdmitter, "refused", err.Error())
		return nil, err
	}
	started := time.Now()
	context.AfterFunc(ctx, func() { a.release(started) })
	return &Admitted{Resolved: r}, nil
}

func (a *Admitter) admit(ctx context.Context, r *receiver.Request) error {
	if err := a.ask(r); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return givenUp(err)
	}
	if a.enter() {
		return nil
	}
	w, err := a.enqueue(r)
	if err != nil {
		return err
	}
	return a.wait(ctx, r, w)
}

func (a *Admitter) ask(r *receiver.Request) error {
	if a.screen == nil {
		return nil
	}
	err := a.screen.Blocked(r.Fingerprint())
	if err == nil {
		return nil
	}
	var fault classifier.Fault
	if errors.As(err, &fault) {
		return fmt.Errorf("screen request: %w", err)
	}
	return classifier.NewStopped("the request crashed endpoints before", classifier.Cause(err))
}

// enter takes a free place if nobody waits. The loop repeats only when another
// request changed the state in between.
func (a *Admitter) enter() bool {
	for {
		s := a.state.Load()
		if waiting(s) > 0 || running(s) >= a.limit {
			return false
		}
		if a.state.CompareAndSwap(s, s+oneRunning) {
			return true
		}
	}
}

// enqueue appends a request to its caller's queue, or refuses it when the queue
// is full or its turn would come too late.
func (a *Admitter) enqueue(r *receiver.Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	w := newWaiter(r.Caller(), r.Priority(), now)
	if !a.queue.hasRoom(w.caller) {
		return nil, classifier.NewOverloaded(
			fmt.Sprintf("%d requests run and %d wait, which leaves no place for this caller", a.Running(), a.queue.waiting),
			classifier.RetryAfter(a.retryAfter()))
	}
	if wait := a.estimate(w); now.Add(wait).After(r.Deadline()) {
		return nil, classifier.NewOverloaded(
			fmt.Sprintf("the wait would take about %v, which is past the deadline", wait.Round(time.Millisecond)),
			classifier.RetryAfter(a.retryAfter()))
	}
	a.queue.push(w)
	a.state.Add(oneWaiting)
	// A place that became free before the line above was counted is given away
	// here; one that becomes free after it is given away by release.
	a.grant()
	return w, nil
}

// grant gives free places to the requests whose turn it is. The caller holds mu.
func (a *Admitter) grant() {
	for a.queue.waiting > 0 && running(a.state.Load()) < a.limit {
		w := a.queue.pop()
		a.state.Add(minus(oneWaiting - oneRunning))
		close(w.granted)
	}
}

// wait blocks until the request's turn comes or it is given up.
func (a *Admitter) wait(ctx context.Context, r *receiver.Request, w *waiter) error {
	deadline := time.NewTimer(time.Until(r.Deadline()))
	defer deadline.Stop()
	select {
	case <-w.granted:
		recorder.From(ctx).Note(recorder.StageAdmitter, "admitted", "a place became free")
		return nil
	case <-ctx.Done():
		a.abandon(w)
		return givenUp(ctx.Err())
	case <-deadline.C:
		a.abandon(w)
		return givenUp(context.DeadlineExceeded)
	}
}

// givenUp returns the fault of a request that ended before its turn.
func givenUp(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return classifier.NewExpired("the deadline passed before a place became free", classifier.Cause(cause))
	}
	return classifier.NewCanceled("the caller went away before its turn", classifier.Cause(cause))
}

// abandon removes a waiter, or gives its place back if it was granted at the
// same moment.
func (a *Admitter) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		a.state.Add(minus(oneWaiting))
		return
	}
	a.state.Add(minus(oneRunning))
	a.grant()
}

func (a *Admitter) release(started time.Time) {
	a.pace.observe(time.Since(started))
	if waiting(a.state.Add(minus(oneRunning))) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grant()
}

// estimate returns about how long w would wait. The caller holds mu.
func (a *Admitter) estimate(w *waiter) time.Duration {
	return a.pace.until(a.queue.ahead(w)+1, a.limit)
}

// The bounds of the delay that refused callers are told. Below a second, header
// rounding hides the difference; half a minute is long enough for the figure to
// be out of date.
const (
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// retryAfter returns how long the queue takes to empty at the measured rate.
func (a *Admitter) retryAfter() time.Duration {
	return min(max(a.pace.until(a.queue.waiting+1, a.limit), minRetry), maxRetry)
}
