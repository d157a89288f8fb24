package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Claim is the result of claiming a request: NotRequired for idempotent work, Held
// for a claim in the table, Replay for work that an earlier attempt has completed.
type Claim interface{ claim() }

// NotRequired is the claim of idempotent work, which may run more than once.
type NotRequired struct{}

// Held is a claim that this attempt wrote to the table.
type Held struct {
	claimer *Claimer
	key     string
	attempt string
	// exclusiveUntil is the end of the hold, measured from before the row was
	// written, or of the lease that the node had then, whichever is earlier. A
	// renewed lease does not extend it: other nodes may have treated the earlier
	// lease as expired between the two.
	exclusiveUntil time.Time
	unwatch        func() bool

	mu    sync.Mutex
	phase phase
	// abandoned is set if the attempt stopped because its request ended.
	abandoned bool
	version   storer.Version
	record    record
}

// Replay is the stored answer of an earlier attempt.
type Replay struct {
	reply connector.Reply
}

// Reply returns the stored answer.
func (r *Replay) Reply() connector.Reply { return r.reply }

// Key returns the key of the claim's row. All attempts with the same caller,
// service and idempotency key share it.
func (h *Held) Key() string { return h.key }

// Attempt returns the id of the attempt that holds the claim.
func (h *Held) Attempt() string { return h.attempt }

func (NotRequired) claim() {}
func (*Held) claim()       {}
func (*Replay) claim()     {}

// phase is the local progress of an attempt.
type phase int

const (
	phaseClaimed phase = iota // may store the state sent
	phaseCleared              // the state sent is stored; may send the call
	phaseDone                 // has an answer
	phaseStopped              // does not send the call, or the endpoint refused it
)

var errStopped = eris.New("the attempt has stopped")

// watch releases the claim if the request ends before the call is sent.
func (h *Held) watch(ctx context.Context) {
	h.unwatch = context.AfterFunc(ctx, h.abandon)
}

// abandon stops an attempt whose request has ended, so that a repeat of the key
// does not have to wait for the hold. If a write of the attempt is in flight,
// abandon does nothing: the step that issued the write handles its outcome.
func (h *Held) abandon() {
	if !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	if h.phase != phaseClaimed {
		return
	}
	h.phase = phaseStopped
	h.abandoned = true
	h.claimer.finals.add(h.key, h.record.withState(stateNotRun))
}

// store writes the row of this attempt.
func (h *Held) store(ctx context.Context, rec record) error {
	v, err := h.claimer.put(ctx, h.key, rec, h.version)
	if err != nil {
		return err
	}
	h.version = v
	h.record = rec
	return nil
}

// MarkSent stores the state sent. The caller must not send the call before MarkSent
// returns nil, and never after it returns an error.
func (h *Held) MarkSent(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseStopped {
		return h.stoppedFault(ctx, errStopped)
	}
	if !h.claimer.asserts.Check(asserter.AtMostOnce, h.phase == phaseClaimed, "attempt %s is sent twice", h.attempt) {
		return classifier.NewUncertain("the call was sent before")
	}
	earlier := h.claimer.cache.recordSend(h.key, h.attempt)
	if err := h.store(ctx, h.record.withState(stateSent)); err != nil {
		h.phase = phaseStopped
		h.claimer.cache.recordNotRun(h.key, h.attempt)
		return h.stoppedFault(ctx, err)
	}
	h.claimer.asserts.Check(asserter.AtMostOnce, earlier == "", "key %s is sent by %s and was sent by %s", h.key, h.attempt, earlier)
	h.phase = phaseCleared
	return nil
}

// stoppedFault returns the fault of an attempt that stopped before it sent the
// call: not-run if no other attempt can have run it.
func (h *Held) stoppedFault(ctx context.Context, err error) error {
	h.claimer.asserts.Check(asserter.NotRunTrue, h.phase == phaseStopped, "attempt %s may still send", h.attempt)
	const detail = "the claim could not be marked as sent"
	notRun := classifier.NewUnavailable(detail, classifier.Cause(err), classifier.RetryAfter(retryWithoutTable))
	exclusive := h.exclusive()
	taken := errors.Is(err, storer.ErrConflict)
	h.claimer.asserts.Check(asserter.NotRunTrue, !(exclusive && taken), "the row of attempt %s changed during its hold", h.attempt)
	if exclusive && !taken {
		h.claimer.finals.add(h.key, h.record.withState(stateNotRun))
		return notRun
	}
	if storeErr := h.storeNotRun(ctx); storeErr != nil {
		return classifier.NewUnavailable(detail, classifier.Cause(fmt.Errorf("%w; %w", err, storeErr)), classifier.MayHaveRun())
	}
	return notRun
}

// exclusive reports whether no other attempt can have taken the row over. It is
// false for an abandoned attempt, whose row may already be released.
func (h *Held) exclusive() bool {
	return !h.abandoned && time.Now().Before(h.exclusiveUntil)
}

// storeNotRun stores the state not-run if the row still names this attempt.
func (h *Held) storeNotRun(ctx context.Context) error {
	row, err := h.claimer.get(ctx, h.key)
	if err != nil {
		return err
	}
	rec, err := decodeRecord(row.Value())
	if err != nil {
		return err
	}
	if rec.Attempt != h.attempt {
		return fmt.Errorf("attempt %s has taken the claim over: %w", rec.Attempt, storer.NewConflictError(h.key))
	}
	if rec.State == stateNotRun {
		return nil
	}
	h.version = row.Version()
	return h.store(ctx, h.record.withState(stateNotRun))
}

// Finish stores the answer for repeats of the key. If the table is down, the answer
// is queued and stored later.
func (h *Held) Finish(ctx context.Context, reply connector.Reply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.claimer.asserts.Check(asserter.NotRunTrue, h.phase == phaseCleared, "attempt %s has an answer and was not cleared to send", h.attempt) {
		return errStopped
	}
	h.phase = phaseDone
	h.claimer.cache.recordFinish(h.key, h.attempt)
	return h.storeFinal(ctx, h.record.withAnswer(reply, h.claimer.settings.maxAnswer))
}

// Release stores the state not-run, after the endpoint refused the call or before
// it was sent. The outcome is not-run only if Release returns nil.
func (h *Held) Release(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.phase {
	case phaseStopped:
		return nil
	case phaseDone:
		h.claimer.asserts.Check(asserter.NotRunTrue, false, "attempt %s has an answer and is reported as not run", h.attempt)
		return errStopped
	case phaseClaimed, phaseCleared:
	}
	h.phase = phaseStopped
	h.claimer.cache.recordNotRun(h.key, h.attempt)
	return h.storeFinal(ctx, h.record.withState(stateNotRun))
}

// storeFinal stores the final state of the claim, or queues it for the background
// writer.
func (h *Held) storeFinal(ctx context.Context, rec record) error {
	if h.unwatch != nil {
		h.unwatch()
	}
	sent := h.record.State == stateSent
	err := h.store(ctx, rec)
	taken := errors.Is(err, storer.ErrConflict)
	h.claimer.asserts.Check(asserter.AtMostOnce, !(sent && taken), "the row of attempt %s changed after it was sent", h.attempt)
	if err != nil && !taken {
		h.claimer.finals.add(h.key, rec)
	}
	return err
}

// Settle ends the claim of a request that failed with err, and returns the error
// for the caller. A not-run fault is passed on only if the claim proves that the
// call has not run.
func Settle(ctx context.Context, c Claim, err error) error {
	h, ok := c.(*Held)
	if !ok || err == nil {
		return err
	}
	return h.fail(ctx, err)
}

func (h *Held) fail(ctx context.Context, err error) error {
	_, notRun := classifier.Of(err).Outcome().(classifier.NotRun)
	if !h.mu.TryLock() {
		// Another goroutine still runs a step of this attempt, and its outcome is
		// not known yet.
		if notRun {
			return classifier.NewUncertain("the call was being sent", classifier.Cause(err))
		}
		return err
	}
	defer h.mu.Unlock()
	if h.phase == phaseClaimed || h.abandoned {
		h.phase = phaseStopped
		return h.failUnsent(ctx, err)
	}
	if !h.claimer.asserts.Check(asserter.NotRunTrue, !notRun || h.phase == phaseStopped, "attempt %s may have run and failed as not-run", h.attempt) {
		return classifier.NewUncertain("the call was sent and has no answer", classifier.Cause(err))
	}
	return err
}

func (h *Held) failUnsent(ctx context.Context, err error) error {
	if h.exclusive() {
		h.claimer.finals.add(h.key, h.record.withState(stateNotRun))
		return err
	}
	if storeErr := h.storeNotRun(ctx); storeErr != nil {
		return classifier.NewUncertain("another attempt may have run the call", classifier.Cause(fmt.Errorf("%w; %w", err, storeErr)))
	}
	return err
}
