package claimer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/storer"
)

// acquirer acquires the claim of one call.
type acquirer struct {
	claimer      *Claimer
	request      *receiver.Request
	target       *receiver.ServiceTarget
	key          string
	pollInterval time.Duration
	contended    bool // another attempt may have written the row
}

// rowDecision is what to do after reading a row: overwrite, wait or decided.
type rowDecision interface{ rowDecision() }

type (
	overwrite struct{} // claim the row
	wait      struct{} // another attempt has the row; read it again later
	decided   struct { // the row determines the result
		claim Claim
		err   error
	}
)

func (overwrite) rowDecision() {}
func (wait) rowDecision()      {}
func (decided) rowDecision()   {}

func (a *acquirer) acquire(parent context.Context) (Claim, error) {
	ctx, cancel := context.WithDeadline(parent, a.request.Deadline())
	defer cancel()
	// The first attempt of a key writes without reading, because the table's limit
	// on reads is lower than on grouped writes. A repeat reads first, because a
	// conflict would cost its group a second commit.
	read := a.target.KeyAttempt() > 1
	for ; ; read = true {
		started := time.Now()
		row, err := a.readRow(ctx, read)
		if err != nil {
			return nil, a.tableFault(err)
		}
		switch v := a.evaluate(row, started).(type) {
		case decided:
			return v.claim, v.err
		case overwrite:
			held, err := a.writeClaim(ctx, row.Version())
			if err == nil {
				held.watch(parent)
				return held, nil
			}
			taken := errors.Is(err, storer.ErrConflict)
			// After a conflict or an uncertain write, another attempt may have the
			// row and may run the call.
			a.contended = a.contended || taken || errors.Is(err, errContended) || errors.Is(err, storer.ErrUncertain)
			if !taken {
				return nil, a.tableFault(err)
			}
		case wait:
			a.contended = true
			if a.pollInterval == firstPoll {
				recorder.From(ctx).Note(recorder.StageClaimer, "waiting", "an earlier attempt with this key has not ended")
			}
			if err := a.waitForPoll(ctx); err != nil {
				return nil, err
			}
		}
	}
}

// readRow returns the key's row. Its version is 0 if the row does not exist or was
// not read.
func (a *acquirer) readRow(ctx context.Context, read bool) (storer.Row, error) {
	if !read {
		return storer.Row{}, nil
	}
	row, err := a.claimer.get(ctx, a.key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Row{}, nil
	}
	return row, err
}

// writeClaim writes the row for a new attempt.
func (a *acquirer) writeClaim(ctx context.Context, version storer.Version) (*Held, error) {
	h := a.claimer.newHeld(a.key, a.request.Fingerprint())
	v, err := a.claimer.put(ctx, a.key, h.record, version)
	if err != nil {
		h.phase = phaseStopped
		if !noEffect(err) {
			a.claimer.finals.add(h.key, h.record.withState(stateNotRun))
		}
		return nil, err
	}
	h.version = v
	return h, nil
}

func (a *acquirer) evaluate(row storer.Row, started time.Time) rowDecision {
	if row.Version() == 0 {
		return overwrite{}
	}
	rec, err := decodeRecord(row.Value())
	if err != nil {
		return decided{err: classifier.NewUncertain("the claim cannot be read", classifier.Cause(err))}
	}
	if !rec.matches(a.request.Fingerprint()) {
		return decided{err: classifier.NewKeyReused("the idempotency key was used with a different request before")}
	}
	switch rec.State {
	case stateDone:
		return replay(rec)
	case stateNotRun:
		return overwrite{}
	case stateClaimed:
		return a.evaluateClaimed(row, rec, started)
	default:
		return a.evaluateSent(rec)
	}
}

func replay(rec record) rowDecision {
	if rec.Dropped {
		return decided{err: classifier.NewUnavailable(
			"an earlier attempt ran; its answer was too large to be stored", classifier.MayHaveRun())}
	}
	return decided{claim: &Replay{reply: connector.NewReply(rec.Attempt, rec.Status, rec.ContentType, rec.Body)}}
}

// evaluateClaimed allows a takeover once the row's attempt has lost its exclusive
// right. If that attempt still writes sent, one of the two writes conflicts.
func (a *acquirer) evaluateClaimed(row storer.Row, rec record, started time.Time) rowDecision {
	if a.claimer.liveness.Expired(rec.Node) {
		return overwrite{}
	}
	unchanged := a.claimer.cache.unchangedFor(row, rec.Attempt, started, time.Now())
	if unchanged >= rec.hold()+a.claimer.settings.guard {
		return overwrite{}
	}
	return wait{}
}

func (a *acquirer) evaluateSent(rec record) rowDecision {
	if a.claimer.liveness.Expired(rec.Node) {
		return decided{err: classifier.NewUncertain("the lease of the node that sent the call has expired, and its answer is not known")}
	}
	return wait{}
}

// waitForPoll waits before the row is read again. The interval backs off, so that
// repeats of a slow call do not exhaust the table's read capacity.
func (a *acquirer) waitForPoll(ctx context.Context) error {
	timer := time.NewTimer(a.pollInterval)
	defer timer.Stop()
	a.pollInterval = min(2*a.pollInterval, maxPoll)
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return classifier.NewInProgress("an earlier attempt with this key has not ended", classifier.Cause(ctx.Err()))
	}
}

// tableFault returns the fault for a table error before this attempt had the row.
// This attempt has sent nothing, but an earlier one may have run the call: the row
// was found contended, the caller numbered this as a repeat, or this node has sent
// the key before.
func (a *acquirer) tableFault(err error) error {
	mayHaveRun := a.contended || a.target.KeyAttempt() > 1 || a.claimer.cache.mayHaveRun(a.key)
	opts := []classifier.Option{classifier.Cause(err)}
	if mayHaveRun {
		opts = append(opts, classifier.MayHaveRun())
	} else {
		a.claimer.asserts.Check(asserter.NotRunTrue, !a.claimer.cache.mayHaveRun(a.key),
			"key %s is answered not-run and was sent by this node", a.key)
	}
	if errors.Is(err, errFull) {
		return classifier.NewOverloaded("too many claims wait for the table", append(opts, classifier.RetryAfter(retryWhenFull))...)
	}
	opts = append(opts, classifier.RetryAfter(retryWithoutTable))
	if errors.Is(err, errWithdrawn) {
		return classifier.NewExpired("the deadline passed before the claim was stored", opts...)
	}
	return classifier.NewUnavailable(fmt.Sprintf("the claim of service %q could not be stored", a.target.Service()), opts...)
}
