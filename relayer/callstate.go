package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// maxSteps bounds the endpoints that are tried for one call.
	maxSteps = 8
	// maxSends bounds how often a call is sent, refusals included.
	maxSends = 4
	// maxDeclines is how many engines may decline a call, those that only have no
	// turn left aside. More engines that load the same adapter only make the weight
	// store slower.
	maxDeclines = 3
	// minLeft is the time that a call must have left to be sent.
	minLeft = 30 * time.Millisecond

	// comeBackShare is the part of its time after which a refused caller is asked to
	// come back; callers follow up to a third.
	comeBackShare  = 0.14
	comeBackJitter = 0.5
	maxComeBack    = 2 * time.Second
	retrySoon      = 250 * time.Millisecond
)

// carriage is one call on its way.
type carriage struct {
	relayer  *Relayer
	call     *screener.Screened
	ctx      context.Context
	sent     map[*tracker.Endpoint]bool // endpoints that the call was sent to
	avoided  map[*tracker.Endpoint]bool
	sends    int
	resends  int
	declines int                     // engines that had no place for the model
	abort    context.CancelCauseFunc // of the latest send
	missing  *tracker.Endpoint       // engine that refused because it does not hold the model
	unuse    func()                  // ends the use of the model at the latest endpoint
	ran      bool                    // whether an endpoint may have run the call
	leave    atomic.Bool             // whether the next send is counted as a repeat already
	event    string                  // last event of a resumed stream
	version  int64                   // of the model at the chosen endpoint
	sentAt   time.Time               // latest send
}

// run carries the call to endpoints until one answers. A fault says that the call
// did not run only if no endpoint may have run it.
func (c *carriage) run() (*Answer, error) {
	answer, err := c.try()
	if err != nil && c.ran {
		return nil, classifier.AsUnknown(classifier.Of(err))
	}
	return answer, err
}

func (c *carriage) try() (*Answer, error) {
	var last error
	for range maxSteps {
		if err := c.expired(); err != nil {
			return nil, err
		}
		choice, err := c.choose()
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, classifier.NewUnavailable("no endpoint can take the call", classifier.RetryAfter(c.comeBack(0)), classifier.Cause(err))
		}
		if last = c.prepare(choice); last != nil {
			if c.declines >= maxDeclines {
				return nil, last
			}
			continue
		}
		answer, err := c.attempt(choice)
		if answer != nil {
			return answer, nil
		}
		var final *finalError
		if errors.As(err, &final) {
			return nil, final.fault
		}
		last = err
	}
	return nil, last
}

// finalError ends a call.
type finalError struct{ fault error }

func (e *finalError) Error() string { return e.fault.Error() }

func final(fault error) error { return &finalError{fault} }

// expired returns a fault if the call has no time left.
func (c *carriage) expired() error {
	if c.call.Remaining() >= minLeft && c.ctx.Err() == nil {
		return nil
	}
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return classifier.NewCanceled("the caller went away")
	}
	return classifier.NewExpired("the deadline passed before the call was sent", classifier.RetryAfter(retrySoon))
}

// comeBack returns when the caller may try again: after a part of the time that
// it has left, so that what stands in the way may have passed, and not at the same
// time as all others.
func (c *carriage) comeBack(atLeast time.Duration) time.Duration {
	wait := min(time.Duration(float64(c.call.Remaining())*comeBackShare), maxComeBack)
	wait += time.Duration(rand.Float64() * comeBackJitter * float64(wait))
	return max(wait, atLeast, retrySoon)
}

// choose returns an endpoint. A call goes to as many endpoints as its route allows.
func (c *carriage) choose() (selector.Choice, error) {
	limit := c.call.Route().MaxAttempts()
	choice, err := c.relayer.chooser.Choose(c.call.Routed, func(e *tracker.Endpoint) bool {
		return c.avoided[e] || !c.sent[e] && len(c.sent) >= limit
	})
	if err != nil {
		return choice, fmt.Errorf("choose endpoint: %w", err)
	}
	return choice, nil
}

// attempt sends the call to an endpoint. It returns an answer, a final error, or
// an error after which another endpoint may be tried.
func (c *carriage) attempt(choice selector.Choice) (*Answer, error) {
	e := choice.Endpoint()
	if c.sends > 0 && !c.leave.Swap(false) && !c.mayRepeat() {
		return nil, final(classifier.NewOverloaded("the budget for repeats is spent", classifier.RetryAfter(c.comeBack(0))))
	}
	began := time.Now()
	res := c.send(choice)
	c.record(e, res, time.Since(began))
	switch res := res.(type) {
	case answered:
		return c.finish(e, res.answer)
	case refused:
		return nil, c.afterRefusal(e, res.answer)
	case unsent:
		c.avoided[e] = true
		if !exchanger.IsLimit(res.cause) && c.ctx.Err() == nil {
			e.ConnectionFailed()
		}
		return nil, classifier.NewUnavailable("no endpoint could be reached", classifier.RetryAfter(c.comeBack(0)), classifier.Cause(res.cause))
	case lost:
		return nil, c.afterLoss(e, res.cause)
	default:
		return nil, final(classifier.NewUncertain("unknown result"))
	}
}

// mayRepeat asks for leave to send the call once more.
func (c *carriage) mayRepeat() bool {
	return c.sends < maxSends && c.relayer.ration.AllowRepeat(c.call.Service().Name())
}

func (c *carriage) note(event string, e *tracker.Endpoint, fields ...logger.Field) {
	c.relayer.log.Info(event, append(fields, logger.Request(c.call.ID()), logger.With(logger.KeyEndpoint, e.ID()))...)
}

// record logs what came of a send, unless all went well.
func (c *carriage) record(e *tracker.Endpoint, res result, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyAttempt, c.sends), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyLoad, int(e.EstimatedCalls(time.Now()))), logger.With(logger.KeyRoute, c.call.Route().Name()),
	}
	switch res := res.(type) {
	case answered:
		return
	case refused:
		c.note("send-refused", e, append(fields, logger.With(logger.KeyStatus, res.answer.Status()))...)
	case unsent:
		c.note("send-not-made", e, append(fields, logger.Err(res.cause))...)
	case lost:
		c.note("send-lost", e, append(fields, logger.Err(res.cause))...)
	}
}
