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

// Admitted is a request that holds a slot. The slot is released when the request's
// context ends.
type Admitted struct {
	*resolver.Resolved
}

// Screen identifies requests that must not run at all.
type Screen interface {
	// Blocked returns why requests with this fingerprint must not run, or nil.
	Blocked(f receiver.Fingerprint) error
}

// Option sets an optional property of an Admitter.
type Option func(*Admitter)

// WithQueue sets how many requests may wait for a slot; the default is the limit on
// running requests.
func WithQueue(slots int) Option { return func(a *Admitter) { a.queue.capacity = slots } }

// WithScreen rejects requests that s blocks.
func WithScreen(s Screen) Option { return func(a *Admitter) { a.screen = s } }

// Admitter is the third stage of the request pipeline.
type Admitter struct {
	limit  uint32
	screen Screen
	// The numbers of running (low half) and waiting requests (high half) share one
	// word, so that a request takes a free slot without a lock, but only if no
	// other request waits.
	state     atomic.Uint64
	holdTimes holdTimes

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

// negate returns the two's complement of n; adding it to a state subtracts n.
func negate(n uint64) uint64 { return ^(n - 1) }

func running(state uint64) uint32 { return uint32(state) }
func waiting(state uint64) uint32 { return uint32(state >> 32) }

// Running returns how many requests hold a slot.
func (a *Admitter) Running() int { return int(running(a.state.Load())) }

// Waiting returns how many requests wait for a slot.
func (a *Admitter) Waiting() int { return int(waiting(a.state.Load())) }

// Limit returns how many requests may run at a time.
func (a *Admitter) Limit() int { return int(a.limit) }

// Apply admits a request, if necessary after a wait, or rejects it.
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
	if err := a.screenRequest(r); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return waitAborted(err)
	}
	if a.tryAcquire() {
		return nil
	}
	w, err := a.enqueue(r)
	if err != nil {
		return err
	}
	return a.wait(ctx, r, w)
}

func (a *Admitter) screenRequest(r *receiver.Request) error {
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

// tryAcquire takes a free slot if no request waits. The loop repeats only if the
// state changed concurrently.
func (a *Admitter) tryAcquire() bool {
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

// enqueue adds a request to its caller's queue. It rejects the request if the queue
// is full or the estimated wait exceeds the deadline.
func (a *Admitter) enqueue(r *receiver.Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	w := newWaiter(r.Caller(), r.Priority(), now)
	if !a.queue.hasRoom(w.caller) {
		return nil, classifier.NewOverloaded(
			fmt.Sprintf("%d requests run and %d wait, which leaves no queue slot for this caller", a.Running(), a.queue.waiting),
			classifier.RetryAfter(a.retryAfter()))
	}
	if wait := a.estimate(w); now.Add(wait).After(r.Deadline()) {
		return nil, classifier.NewOverloaded(
			fmt.Sprintf("the estimated wait of %v exceeds the deadline", wait.Round(time.Millisecond)),
			classifier.RetryAfter(a.retryAfter()))
	}
	a.queue.push(w)
	a.state.Add(oneWaiting)
	// A slot that became free before the waiter was counted is granted here; one
	// that becomes free later is granted by release.
	a.grantSlots()
	return w, nil
}

// grantSlots grants free slots to the next requests in the queue. The caller holds
// mu.
func (a *Admitter) grantSlots() {
	for a.queue.waiting > 0 && running(a.state.Load()) < a.limit {
		w := a.queue.pop()
		a.state.Add(negate(oneWaiting - oneRunning))
		close(w.granted)
	}
}

// wait blocks until the request is granted a slot, or its context or deadline ends.
func (a *Admitter) wait(ctx context.Context, r *receiver.Request, w *waiter) error {
	deadline := time.NewTimer(time.Until(r.Deadline()))
	defer deadline.Stop()
	select {
	case <-w.granted:
		recorder.From(ctx).Note(recorder.StageAdmitter, "admitted", "a slot became free")
		return nil
	case <-ctx.Done():
		a.abandon(w)
		return waitAborted(ctx.Err())
	case <-deadline.C:
		a.abandon(w)
		return waitAborted(context.DeadlineExceeded)
	}
}

// waitAborted returns the fault of a request that ended before it got a slot.
func waitAborted(cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return classifier.NewExpired("the deadline passed before a slot became free", classifier.Cause(cause))
	}
	return classifier.NewCanceled("the caller disconnected before a slot became free", classifier.Cause(cause))
}

// abandon removes a waiter, or releases its slot if it was granted concurrently.
func (a *Admitter) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		a.state.Add(negate(oneWaiting))
		return
	}
	a.state.Add(negate(oneRunning))
	a.grantSlots()
}

func (a *Admitter) release(started time.Time) {
	a.holdTimes.observe(time.Since(started))
	if waiting(a.state.Add(negate(oneRunning))) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantSlots()
}

// estimate returns the expected wait of w. The caller holds mu.
func (a *Admitter) estimate(w *waiter) time.Duration {
	return a.holdTimes.waitTime(a.queue.ahead(w)+1, a.limit)
}

// Limits of the retry delay for rejected callers. Below a second, the rounding of
// the header hides the difference; after half a minute the estimate is out of date.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns how long the queue takes to drain at the measured rate, within
// the limits.
func (a *Admitter) retryAfter() time.Duration {
	return min(max(a.holdTimes.waitTime(a.queue.waiting+1, a.limit), minRetryAfter), maxRetryAfter)
}
