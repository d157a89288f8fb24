package retrier

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/verifier"
)

// Inner is the part of the pipeline that runs once per attempt: place, dispatch
// and verify.
type Inner = chainer.Filter[*placer.Attempt, *verifier.Verified]

// Settled is a request with its final result.
type Settled struct {
	*claimer.Claimed
	result dispatcher.Result
}

// Result returns the result.
func (s *Settled) Result() dispatcher.Result { return s.result }

// Retrier retries failed attempts of idempotent work on other endpoints, starting
// at the first missing token.
type Retrier struct {
	inner       Inner
	maxAttempts int
	budget      *budget
}

// New returns a retrier that makes up to maxAttempts attempts per request.
func New(inner Inner, maxAttempts int) *Retrier {
	return &Retrier{inner: inner, maxAttempts: maxAttempts, budget: newBudget()}
}

// Apply runs attempts until one has a result.
func (r *Retrier) Apply(ctx context.Context, c *claimer.Claimed) (*Settled, error) {
	r.budget.deposit(c.Snapshot().Limits().RetryShare())
	series := &attemptSeries{retrier: r, claimed: c}
	first := firstToken(c)
	result, err := series.start(ctx, first)
	if err != nil {
		return nil, claimer.Settle(ctx, c.Claim(), err)
	}
	if s, ok := result.(*dispatcher.Streaming); ok {
		result = dispatcher.NewStreaming(newResumingStream(series, s, first), s.Model())
	}
	return &Settled{Claimed: c, result: result}, nil
}

// firstToken returns the index of the first token of the answer. It is not 0 if the
// caller lost a connection and requests only the rest of an answer.
func firstToken(c *claimer.Claimed) int {
	if t, ok := c.Target().(*receiver.GenerationTarget); ok {
		return t.NextToken()
	}
	return 0
}

// attemptSeries is the series of attempts of one request.
type attemptSeries struct {
	retrier  *Retrier
	claimed  *claimer.Claimed
	attempts int
	excluded []string
}

// start makes attempts until one has a result or no retry is allowed. The answer
// starts at the token with index next.
func (s *attemptSeries) start(ctx context.Context, next int) (dispatcher.Result, error) {
	for {
		s.attempts++
		// A caller may send two requests with the same id at the same time; the
		// instance distinguishes them.
		id := fmt.Sprintf("%s.%d", s.claimed.Instance(), s.attempts)
		a := placer.NewAttempt(s.claimed, id, next, slices.Clone(s.excluded))
		v, err := s.retrier.inner.Apply(ctx, a)
		if err == nil {
			s.exclude(v.Placed)
			return v.Result(), nil
		}
		if s.clearExclusions(err) {
			continue
		}
		if !s.retry(ctx, err, next > firstToken(s.claimed)) {
			return nil, err
		}
	}
}

// exclude excludes the engine of the current attempt from later attempts, which
// only happen if its stream breaks off.
func (s *attemptSeries) exclude(p *placer.Placed) {
	if on, ok := p.Choice().(*placer.OnEngine); ok {
		s.excluded = append(s.excluded, on.Engine().Name())
	}
}

// retry decides whether to make another attempt after err. If so, it waits for the
// delay and returns true.
func (s *attemptSeries) retry(ctx context.Context, err error, resumes bool) bool {
	wait, refusal := s.decide(ctx, err, resumes)
	recordDecision(ctx, err, refusal)
	if refusal != "" {
		return false
	}
	return sleeper.Sleep(ctx, wait) == nil
}

// decide returns how long to wait before another attempt, or why there is none.
func (s *attemptSeries) decide(ctx context.Context, err error, resumes bool) (wait time.Duration, refusal string) {
	switch {
	case !s.repeatable():
		return 0, "the work may not run again or has no attempts left"
	case !retryable(err):
		return 0, "another attempt does not help"
	case ctx.Err() != nil:
		return 0, "the request has ended"
	}
	wait = s.delay(err)
	if deadline, ok := s.deadline(ctx); ok && time.Until(deadline) <= wait {
		return 0, "the deadline is too near"
	}
	if !s.retrier.budget.withdraw(resumes) {
		return 0, "the retry budget is used up"
	}
	return wait, ""
}

// recordDecision records the decision. Without a trail it returns at once.
func recordDecision(ctx context.Context, err error, refusal string) {
	trail := recorder.From(ctx)
	switch {
	case trail == nil:
	case refusal == "":
		trail.Note(recorder.StageRetrier, "again", err.Error())
	default:
		trail.Note(recorder.StageRetrier, "gave up", refusal+": "+err.Error())
	}
}

// repeatable reports whether the work may run more than once and has attempts
// left.
func (s *attemptSeries) repeatable() bool {
	_, notRequired := s.claimed.Claim().(claimer.NotRequired)
	return notRequired && s.attempts < s.retrier.maxAttempts
}

func (s *attemptSeries) deadline(ctx context.Context) (time.Time, bool) {
	end, ok := ctx.Deadline()
	own := s.claimed.Deadline()
	if !own.IsZero() && (!ok || own.Before(end)) {
		return own, true
	}
	return end, ok
}

// Limits of the delay before a retry. The first retry goes to another endpoint,
// so that it need not wait for the failed one to recover.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// clearExclusions makes all endpoints available again if no other one is left, and
// reports whether it did. The attempt that found no endpoint does not count towards
// the limit.
func (s *attemptSeries) clearExclusions(err error) bool {
	var failed *dispatcher.AttemptError
	var unavailable *classifier.Unavailable
	if len(s.excluded) == 0 || errors.As(err, &failed) || !errors.As(err, &unavailable) {
		return false
	}
	s.excluded = nil
	s.attempts--
	return true
}

// delay excludes the endpoint that failed and returns how long to wait before the
// retry. If no endpoint accepts work, it waits at least as long as the fault's
// RetryAfter.
func (s *attemptSeries) delay(err error) time.Duration {
	wait := min(minRetryDelay<<min(s.attempts-1, 10), maxRetryDelay)
	var failed *dispatcher.AttemptError
	if errors.As(err, &failed) {
		s.excluded = append(s.excluded, failed.Endpoint())
		return jitter(wait)
	}
	return jitter(max(wait, classifier.Of(err).RetryAfter()))
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// retryable reports whether another attempt may succeed. A fault in the request
// itself recurs on every endpoint.
func retryable(err error) bool {
	var f classifier.Fault
	if !errors.As(err, &f) {
		return true
	}
	switch f.(type) {
	case *classifier.Unavailable, *classifier.Overloaded, *classifier.Uncertain:
		return true
	default:
		return false
	}
}
