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

// Settled is a request with the result that the caller gets.
type Settled struct {
	*claimer.Claimed
	result dispatcher.Result
}

// Result returns the result.
func (s *Settled) Result() dispatcher.Result { return s.result }

// Retrier runs the inner pipeline again when an attempt of idempotent work
// fails, on another endpoint and from the first token that is missing.
type Retrier struct {
	inner    Inner
	attempts int
	budget   *budget
}

// New returns a retrier that makes up to attempts attempts per request.
func New(inner Inner, attempts int) *Retrier {
	return &Retrier{inner: inner, attempts: attempts, budget: newBudget()}
}

// Apply runs attempts until one has a result.
func (r *Retrier) Apply(ctx context.Context, c *claimer.Claimed) (*Settled, error) {
	r.budget.deposit(c.Snapshot().Limits().RetryShare())
	run := &run{retrier: r, claimed: c}
	first := firstToken(c)
	result, err := run.start(ctx, first)
	if err != nil {
		return nil, claimer.Settle(ctx, c.Claim(), err)
	}
	if s, ok := result.(*dispatcher.Streaming); ok {
		result = dispatcher.NewStreaming(newResuming(run, s, first), s.Model())
	}
	return &Settled{Claimed: c, result: result}, nil
}

// firstToken returns where the answer starts: callers that lost a connection
// ask for the rest only.
func firstToken(c *claimer.Claimed) int {
	if t, ok := c.Target().(*receiver.GenerationTarget); ok {
		return t.Next()
	}
	return 0
}

// run is the series of attempts of one request.
type run struct {
	retrier  *Retrier
	claimed  *claimer.Claimed
	made     int
	excluded []string
}

// start makes attempts until one has a result. The answer begins at the token
// with index next.
func (r *run) start(ctx context.Context, next int) (dispatcher.Result, error) {
	for {
		r.made++
		// The instance tells two requests with the same id apart, which a caller
		// may send at the same time.
		id := fmt.Sprintf("%s.%d", r.claimed.Instance(), r.made)
		a := placer.NewAttempt(r.claimed, id, next, slices.Clone(r.excluded))
		v, err := r.retrier.inner.Apply(ctx, a)
		if err == nil {
			r.exclude(v.Placed)
			return v.Result(), nil
		}
		if r.readmit(err) {
			continue
		}
		if !r.again(ctx, err, next > firstToken(r.claimed)) {
			return nil, err
		}
	}
}

// exclude keeps a resumed answer away from the engine that broke it off.
func (r *run) exclude(p *placer.Placed) {
	if on, ok := p.Choice().(*placer.OnEngine); ok {
		r.excluded = append(r.excluded, on.Engine().Name())
	}
}

// again decides whether to make another attempt after err, and waits for it.
func (r *run) again(ctx context.Context, err error, resumes bool) bool {
	wait, refusal := r.decide(ctx, err, resumes)
	note(ctx, err, refusal)
	if refusal != "" {
		return false
	}
	return sleeper.Sleep(ctx, wait) == nil
}

// decide returns how long to wait before another attempt, or why there is none.
func (r *run) decide(ctx context.Context, err error, resumes bool) (wait time.Duration, refusal string) {
	switch {
	case !r.repeatable():
		return 0, "the work may not run again or has no attempts left"
	case !helps(err):
		return 0, "another attempt does not help"
	case ctx.Err() != nil:
		return 0, "the request has ended"
	}
	wait = r.delay(err)
	if deadline, ok := r.deadline(ctx); ok && time.Until(deadline) <= wait {
		return 0, "the deadline is too near"
	}
	if !r.retrier.budget.withdraw(resumes) {
		return 0, "the retry budget is used up"
	}
	return wait, ""
}

// note records the decision. It costs next to nothing without a trail.
func note(ctx context.Context, err error, refusal string) {
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
func (r *run) repeatable() bool {
	_, free := r.claimed.Claim().(claimer.NotRequired)
	return free && r.made < r.retrier.attempts
}

func (r *run) deadline(ctx context.Context) (time.Time, bool) {
	end, ok := ctx.Deadline()
	own := r.claimed.Deadline()
	if !own.IsZero() && (!ok || own.Before(end)) {
		return own, true
	}
	return end, ok
}

// Bounds of the wait before a retry. The first retry goes to another endpoint,
// so that it need not wait for the failed one to recover.
const (
	firstDelay = 10 * time.Millisecond
	lastDelay  = 500 * time.Millisecond
)

// readmit allows the endpoints that failed again when no other one is left. An
// attempt without an endpoint does not count.
func (r *run) readmit(err error) bool {
	var failed *dispatcher.AttemptError
	var unavailable *classifier.Unavailable
	if len(r.excluded) == 0 || errors.As(err, &failed) || !errors.As(err, &unavailable) {
		return false
	}
	r.excluded = nil
	r.made--
	return true
}

// delay notes which endpoint failed and returns how long to wait. When no
// endpoint takes work, it is as long as the placer asks for.
func (r *run) delay(err error) time.Duration {
	wait := min(firstDelay<<min(r.made-1, 10), lastDelay)
	var failed *dispatcher.AttemptError
	if errors.As(err, &failed) {
		r.excluded = append(r.excluded, failed.Endpoint())
		return jitter(wait)
	}
	return jitter(max(wait, classifier.Of(err).RetryAfter()))
}

// jitter returns between a half and the whole of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// helps reports whether another attempt can end better. A fault that speaks of
// the request itself stays the same wherever the request runs.
func helps(err error) bool {
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
