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

// seeker looks for the right to run one call.
type seeker struct {
	claimer *Claimer
	request *receiver.Request
	target  *receiver.ServiceTarget
	key     string
	poll    time.Duration
	met     bool // another attempt may hold the row
}

// verdict is what a row allows: take, wait or settled.
type verdict interface{ verdict() }

type (
	take    struct{} // the row may be overwritten
	wait    struct{} // another attempt has the row
	settled struct { // the row answers the request
		claim Claim
		err   error
	}
)

func (take) verdict()    {}
func (wait) verdict()    {}
func (settled) verdict() {}

func (s *seeker) seek(parent context.Context) (Claim, error) {
	ctx, cancel := context.WithDeadline(parent, s.request.Deadline())
	defer cancel()
	// The first attempt of a key writes without reading, because the table has
	// fewer reads than grouped writes to give. A repeat reads first, so that its
	// conflict does not cost its group a second commit.
	read := s.target.KeyAttempt() > 1
	for ; ; read = true {
		started := time.Now()
		row, err := s.row(ctx, read)
		if err != nil {
			return nil, s.unreached(err)
		}
		switch v := s.judge(row, started).(type) {
		case settled:
			return v.claim, v.err
		case take:
			held, err := s.claim(ctx, row.Version())
			if err == nil {
				held.watch(parent)
				return held, nil
			}
			taken := errors.Is(err, storer.ErrConflict)
			// A claim that may not be this attempt's may be another's, which runs.
			s.met = s.met || taken || errors.Is(err, errContended) || errors.Is(err, storer.ErrUncertain)
			if !taken {
				return nil, s.unreached(err)
			}
		case wait:
			s.met = true
			if s.poll == firstPoll {
				recorder.From(ctx).Note(recorder.StageClaimer, "waiting", "an earlier attempt with this key has not ended")
			}
			if err := s.pause(ctx); err != nil {
				return nil, err
			}
		}
	}
}

// row returns the key's row, which has version 0 if it does not exist or was not
// read.
func (s *seeker) row(ctx context.Context, read bool) (storer.Row, error) {
	if !read {
		return storer.Row{}, nil
	}
	row, err := s.claimer.get(ctx, s.key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Row{}, nil
	}
	return row, err
}

// claim writes the row in the name of a new attempt.
func (s *seeker) claim(ctx context.Context, version storer.Version) (*Held, error) {
	h := s.claimer.newHeld(s.key, s.request.Fingerprint())
	v, err := s.claimer.put(ctx, s.key, h.record, version)
	if err != nil {
		h.phase = phaseStopped
		if !noEffect(err) {
			s.claimer.settler.add(h.key, h.record.in(stateNotRun))
		}
		return nil, err
	}
	h.version = v
	return h, nil
}

func (s *seeker) judge(row storer.Row, started time.Time) verdict {
	if row.Version() == 0 {
		return take{}
	}
	rec, err := decodeRecord(row.Value())
	if err != nil {
		return settled{err: classifier.NewUncertain("the claim cannot be read", classifier.Cause(err))}
	}
	if !rec.matches(s.request.Fingerprint()) {
		return settled{err: classifier.NewKeyReused("the idempotency key came with another request before")}
	}
	switch rec.State {
	case stateDone:
		return replay(rec)
	case stateNotRun:
		return take{}
	case stateClaimed:
		return s.judgeClaimed(row, rec, started)
	default:
		return s.judgeSent(rec)
	}
}

func replay(rec record) verdict {
	if rec.Dropped {
		return settled{err: classifier.NewUnavailable(
			"an earlier attempt ran; its answer was too large to be kept", classifier.MayHaveRun())}
	}
	return settled{claim: &Replay{reply: connector.NewReply(rec.Attempt, rec.Status, rec.ContentType, rec.Body)}}
}

// judgeClaimed takes the row over when its attempt cannot count on it any more.
// If that attempt still writes sent, one of the two writes conflicts.
func (s *seeker) judgeClaimed(row storer.Row, rec record, started time.Time) verdict {
	if s.claimer.live.Gone(rec.Node) {
		return take{}
	}
	seen := s.claimer.memory.unchanged(row, rec.Attempt, started, time.Now())
	if seen >= rec.hold()+s.claimer.settings.guard {
		return take{}
	}
	return wait{}
}

func (s *seeker) judgeSent(rec record) verdict {
	if s.claimer.live.Gone(rec.Node) {
		return settled{err: classifier.NewUncertain("the node that sent the call is gone, and its answer is not known")}
	}
	return wait{}
}

// pause waits before the row is read again. Reads back off, so that repeats of a
// slow call do not use up the table's reads.
func (s *seeker) pause(ctx context.Context) error {
	timer := time.NewTimer(s.poll)
	defer timer.Stop()
	s.poll = min(2*s.poll, maxPoll)
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return classifier.NewInProgress("an earlier attempt with this key has not ended", classifier.Cause(ctx.Err()))
	}
}

// unreached classifies a table that was not reached before this attempt held the
// row. Nothing was sent; whether an earlier attempt ran depends on what is known
// of the key.
func (s *seeker) unreached(err error) error {
	earlier := s.met || s.target.KeyAttempt() > 1 || s.claimer.memory.mayHaveRun(s.key)
	opts := []classifier.Option{classifier.Cause(err)}
	if earlier {
		opts = append(opts, classifier.MayHaveRun())
	} else {
		s.claimer.asserts.Check(asserter.NotRunTrue, !s.claimer.memory.mayHaveRun(s.key),
			"key %s is answered not-run and was sent by this node", s.key)
	}
	if errors.Is(err, errFull) {
		return classifier.NewOverloaded("too many claims wait for the table", append(opts, classifier.RetryAfter(retryWhenFull))...)
	}
	opts = append(opts, classifier.RetryAfter(retryWithoutTable))
	if errors.Is(err, errWithdrawn) {
		return classifier.NewExpired("the deadline passed before the claim was stored", opts...)
	}
	return classifier.NewUnavailable(fmt.Sprintf("the claim of service %q could not be stored", s.target.Service()), opts...)
}
