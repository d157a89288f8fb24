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

// Claim is the right to run a request: Free for idempotent work, Held for a
// claim in the table, Replay for work that an earlier attempt has done.
type Claim interface{ claim() }

// NotRequired needs no claim, because the work may run more than once.
type NotRequired struct{}

// Held is a claim that this attempt wrote to the table.
type Held struct {
	claimer *Claimer
	key     string
	attempt string
	// sure is the end of the hold, counted from before the row was written, or of
	// the lease that the node had then. A later lease does not move it: the node
	// may have been seen as gone between the two.
	sure    time.Time
	unwatch func() bool

	mu    sync.Mutex
	phase phase
	// abandoned says that the attempt stopped because its request ended.
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

// Key returns the claim's row. It names the work: all attempts at one
// idempotency key have it in common.
func (h *Held) Key() string { return h.key }

// Attempt returns the id of the attempt that holds the claim.
func (h *Held) Attempt() string { return h.attempt }

func (NotRequired) claim() {}
func (*Held) claim()       {}
func (*Replay) claim()     {}

// phase is what the attempt itself may still do.
type phase int

const (
	phaseClaimed phase = iota // may mark the call as sent
	phaseCleared              // may send
	phaseDone                 // has an answer
	phaseStopped              // never sends, or was refused
)

var errStopped = eris.New("the attempt has stopped")

// watch gives the claim back when the request ends before the call was sent.
func (h *Held) watch(ctx context.Context) {
	h.unwatch = context.AfterFunc(ctx, h.abandon)
}

// abandon stops an attempt whose request has ended, so that a repeat of the key
// need not wait for the hold. A step that is under way ends by itself and settles
// what is left.
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
	h.claimer.settler.add(h.key, h.record.in(stateNotRun))
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

// MarkSent records that the call may have been sent. Nothing may be sent before
// it returns nil; after an error nothing may be sent at all.
func (h *Held) MarkSent(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseStopped {
		return h.stopped(ctx, errStopped)
	}
	if !h.claimer.asserts.Check(asserter.AtMostOnce, h.phase == phaseClaimed, "attempt %s is sent twice", h.attempt) {
		return classifier.NewUncertain("the call was sent before")
	}
	earlier := h.claimer.memory.send(h.key, h.attempt)
	if err := h.store(ctx, h.record.in(stateSent)); err != nil {
		h.phase = phaseStopped
		h.claimer.memory.forget(h.key, h.attempt)
		return h.stopped(ctx, err)
	}
	h.claimer.asserts.Check(asserter.AtMostOnce, earlier == "", "key %s is sent by %s and was sent by %s", h.key, h.attempt, earlier)
	h.phase = phaseCleared
	return nil
}

// stopped says what became of an attempt that stopped before it sent.
func (h *Held) stopped(ctx context.Context, err error) error {
	h.claimer.asserts.Check(asserter.NotRunTrue, h.phase == phaseStopped, "attempt %s may still send", h.attempt)
	const detail = "the claim could not be marked as sent"
	notRun := classifier.NewUnavailable(detail, classifier.Cause(err), classifier.RetryAfter(retryWithoutTable))
	exclusive := h.exclusive()
	taken := errors.Is(err, storer.ErrConflict)
	h.claimer.asserts.Check(asserter.NotRunTrue, !(exclusive && taken), "the row of attempt %s changed during its hold", h.attempt)
	if exclusive && !taken {
		h.claimer.settler.add(h.key, h.record.in(stateNotRun))
		return notRun
	}
	if settleErr := h.settle(ctx); settleErr != nil {
		return classifier.NewUnavailable(detail, classifier.Cause(fmt.Errorf("%w; %w", err, settleErr)), classifier.MayHaveRun())
	}
	return notRun
}

// exclusive reports whether no other attempt can have taken the row over. An
// abandoned attempt has given its row back.
func (h *Held) exclusive() bool {
	return !h.abandoned && time.Now().Before(h.sure)
}

// settle writes not-run to a row that still names this attempt.
func (h *Held) settle(ctx context.Context) error {
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
	return h.store(ctx, h.record.in(stateNotRun))
}

// Finish stores the answer, so that a repeat of the key gets it. When the table
// is down, the answer is kept and stored later.
func (h *Held) Finish(ctx context.Context, reply connector.Reply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.claimer.asserts.Check(asserter.NotRunTrue, h.phase == phaseCleared, "attempt %s has an answer and was not cleared to send", h.attempt) {
		return errStopped
	}
	h.phase = phaseDone
	h.claimer.memory.finish(h.key, h.attempt)
	return h.end(ctx, h.record.answered(reply, h.claimer.settings.maxAnswer))
}

// Release records that the call was not run, after the endpoint refused it or
// before it was sent. The outcome is not-run only if it returns nil.
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
	h.claimer.memory.forget(h.key, h.attempt)
	return h.end(ctx, h.record.in(stateNotRun))
}

// end stores the last state of the claim, or leaves that to the settler.
func (h *Held) end(ctx context.Context, rec record) error {
	if h.unwatch != nil {
		h.unwatch()
	}
	sent := h.record.State == stateSent
	err := h.store(ctx, rec)
	taken := errors.Is(err, storer.ErrConflict)
	h.claimer.asserts.Check(asserter.AtMostOnce, !(sent && taken), "the row of attempt %s changed after it was sent", h.attempt)
	if err != nil && !taken {
		h.claimer.settler.add(h.key, rec)
	}
	return err
}

// Settle ends the claim of a request that failed with err, and returns the error
// that the caller gets: a fault that says not-run is passed on only if it is
// true for the claim.
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
		// A step goes on without its caller, and its end is not known yet.
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
		h.claimer.settler.add(h.key, h.record.in(stateNotRun))
		return err
	}
	if settleErr := h.settle(ctx); settleErr != nil {
		return classifier.NewUncertain("another attempt may have run the call", classifier.Cause(fmt.Errorf("%w; %w", err, settleErr)))
	}
	return err
}
