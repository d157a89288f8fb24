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
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// maxChoices is the maximum number of endpoints that are chosen for one call.
	maxChoices = 8
	// maxSends is the number of sends, including refused ones, after which a call is
	// not repeated.
	maxSends = 4
	// maxDeclines is the maximum number of engines that may decline a call, not
	// counting those that only have no free turn. Loading the same adapter on more
	// engines would only slow down the weight store.
	maxDeclines = 3
	// maxQueues is the maximum number of engines at which a call looks for a short
	// queue of loads.
	maxQueues = 5
	// reconnectPause is the delay before a second connection to the only endpoint.
	reconnectPause = 100 * time.Millisecond
	// minRemaining is the minimum time until the deadline for a call to be sent.
	minRemaining = 30 * time.Millisecond

	// retryAfterShare is the retry delay of a refused call as a share of its
	// remaining time. Callers comply with delays of up to a third of it.
	retryAfterShare  = 0.14
	retryAfterJitter = 0.5
	maxRetryAfter    = 2 * time.Second
	minRetryAfter    = 250 * time.Millisecond
)

// callState is the state of one call while it is forwarded.
type callState struct {
	relayer           *Relayer
	call              *screener.Screened
	ctx               context.Context
	sent              map[*tracker.Endpoint]bool // endpoints that count against the route's limit
	excluded          map[*tracker.Endpoint]bool
	sends             int
	resends           int
	declines          int             // engines that had no capacity for the model
	shortestQueue     selector.Choice // engine with the shortest queue of loads among those that declined the call
	shortestQueueWait time.Duration
	queues            int                     // engines at which the load of the model would have had to wait for others
	unreached         []*tracker.Endpoint     // endpoints that got no byte of the call
	limited           []*tracker.Endpoint     // endpoints whose next turn was too late for the call
	waitsLonger       bool                    // the call waits longer, because no endpoint can take it soon
	cancelSend        context.CancelCauseFunc // of the latest send
	missingAt         *tracker.Endpoint       // engine that refused the call because the model is not loaded
	releaseModel      func()                  // ends the use of the model at the latest endpoint
	mayHaveRun        bool                    // whether an endpoint may have run the call
	repeatCounted     atomic.Bool             // whether the next send has already been counted against the retry budget
	lastEventID       string                  // last event of a resumed stream
	software          string                  // version of the software at which the stream began; "" for any
	avoidedAny        bool                    // an endpoint was left out for the version of its software
	anySoftware       bool                    // none is left out any more
	version           int64                   // of the model at the chosen endpoint
	claimed           *tracker.Endpoint       // endpoint at which the call counts as in flight before it is
	roomUntil         time.Time               // how long the call may wait for room; zero before it does
	queuedFor         *atomic.Int64           // count of the calls that wait for room, while the call is one of them
	sentAt            time.Time               // latest send
}

// run forwards the call to endpoints until one responds. The outcome of a returned
// fault is NotRun only if no endpoint may have run the call.
func (c *callState) run() (*Answer, error) {
	defer c.unclaim()
	answer, err := c.tryEndpoints()
	if err != nil && c.mayHaveRun {
		return nil, classifier.AsUnknown(classifier.Of(err))
	}
	return answer, err
}

func (c *callState) tryEndpoints() (*Answer, error) {
	var last error
	for range maxChoices {
		if err := c.expired(); err != nil {
			return nil, err
		}
		choice, exhausted, err := c.reserveNext(last)
		if err != nil && exhausted {
			return nil, err
		}
		if last = err; last != nil {
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

// reserveNext chooses an endpoint and reserves capacity on it. Last is the fault of the
// previous endpoint, or nil. Exhausted reports that no other endpoint is to be asked.
func (c *callState) reserveNext(last error) (choice selector.Choice, exhausted bool, err error) {
	choice, chooseErr := c.choose()
	if chooseErr != nil && c.allowAnySoftware() {
		choice, chooseErr = c.choose()
	}
	if chooseErr != nil && c.extendWait() {
		choice, chooseErr = c.choose()
	}
	if chooseErr != nil {
		choice, chooseErr = c.chooseWithRoom(choice, chooseErr)
	}
	if chooseErr != nil && c.allowReconnect() {
		choice, chooseErr = c.choose()
	}
	switch {
	case chooseErr == nil:
		if last = c.reserve(choice); last == nil {
			return choice, false, nil
		}
	case last == nil:
		return choice, true, classifier.NewUnavailable("no endpoint can take the call", classifier.RetryAfter(c.retryWhenRoom(chooseErr)), classifier.Cause(chooseErr))
	}
	if chooseErr == nil && (c.declines < maxDeclines && c.queues < maxQueues || c.allowAnySoftware()) {
		return choice, false, last
	}
	choice, err = c.reserveAtShortestQueue(last)
	return choice, true, err
}

// allowReconnect makes the only endpoint available again to which no connection could be
// made, after a pause. A single connection attempt fails for causes that are gone with the
// next one, such as a lost packet. It reports false if the call has tried two connections.
func (c *callState) allowReconnect() bool {
	if c.sends > 0 || len(c.unreached) != 1 || sleeper.Sleep(c.ctx, reconnectPause) != nil {
		return false
	}
	delete(c.excluded, c.unreached[0])
	return true
}

// longWait returns the retry delay of a fault if it is longer than those that are derived
// from the time of the call, as when all endpoints want no calls for some time.
func longWait(fault error) time.Duration {
	if d := classifier.Of(fault).RetryAfter(); d > maxRetryAfter {
		return d
	}
	return 0
}

// finalError wraps a fault after which no other endpoint is tried.
type finalError struct{ fault error }

func (e *finalError) Error() string { return e.fault.Error() }

func final(fault error) error { return &finalError{fault} }

// expired returns a fault if the call has no time left.
func (c *callState) expired() error {
	if c.call.Remaining() >= minRemaining && c.ctx.Err() == nil {
		return nil
	}
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return classifier.NewCanceled("the caller went away")
	}
	return classifier.NewExpired("the deadline passed before the call was sent", classifier.RetryAfter(minRetryAfter))
}

// retryAfter returns the delay after which the caller may retry. It is a share of
// the call's remaining time, so that the cause may have passed, with jitter, so that
// callers do not retry at the same time.
func (c *callState) retryAfter(atLeast time.Duration) time.Duration {
	wait := min(time.Duration(float64(c.call.Remaining())*retryAfterShare), maxRetryAfter)
	wait += time.Duration(rand.Float64() * retryAfterJitter * float64(wait))
	return max(wait, atLeast, minRetryAfter)
}

// choose returns an endpoint that is not excluded. Once the call has been sent to
// as many endpoints as its route allows, only those are left to choose from.
func (c *callState) choose() (selector.Choice, error) {
	c.unclaim()
	limit := c.call.Route().MaxAttempts()
	now, maxWait := time.Now(), c.maxLimitWait()
	choice, err := c.relayer.chooser.Choose(c.call.Routed, func(e *tracker.Endpoint) bool {
		return c.excluded[e] || c.otherSoftware(e) || c.avoidsSoftware(e) || !c.sent[e] && len(c.sent) >= limit || e.UntilTurn(now) > maxWait
	}, c.shortestQueue.Endpoint() != nil)
	if err != nil {
		return choice, fmt.Errorf("choose endpoint: %w", err)
	}
	if choice.Claimed() {
		c.claimed = choice.Endpoint()
	}
	return choice, nil
}

// attempt sends the call to an endpoint. It returns a response, a finalError, or
// an error after which another endpoint may be tried.
func (c *callState) attempt(choice selector.Choice) (*Answer, error) {
	e := choice.Endpoint()
	if c.sends > 0 && !c.repeatCounted.Swap(false) && !c.allowRepeat() {
		return nil, final(classifier.NewOverloaded("the budget for repeats is spent", classifier.RetryAfter(c.retryAfter(0))))
	}
	began := time.Now()
	res := c.send(choice)
	c.logResult(e, res, time.Since(began))
	c.logLimit(e)
	switch res := res.(type) {
	case answered:
		return c.finish(e, res.answer)
	case refused:
		return nil, c.handleRefusal(e, res.answer)
	case unsent:
		c.excluded[e] = true
		c.unreached = append(c.unreached, e)
		if !exchanger.IsConnectionLimit(res.cause) && c.ctx.Err() == nil {
			e.ConnectionFailed()
		}
		return nil, classifier.NewUnavailable("no endpoint could be reached", classifier.RetryAfter(c.retryAfter(0)), classifier.Cause(res.cause))
	case lost:
		return nil, c.handleLoss(e, res.cause)
	default:
		return nil, final(classifier.NewUncertain("unknown result"))
	}
}

// allowRepeat reports whether the call may be sent once more, and counts it against
// the retry budget if so.
func (c *callState) allowRepeat() bool {
	return c.sends < maxSends && c.relayer.budget.AllowRepeat(c.call.Service().Name())
}

func (c *callState) logEvent(event string, e *tracker.Endpoint, fields ...logger.Field) {
	c.relayer.log.Info(event, append(fields, logger.Request(c.call.ID()), logger.With(logger.KeyEndpoint, e.ID()))...)
}

// promptParts is the log field that names the parts which the call's prompt shares with
// others.
func (c *callState) promptParts() logger.Field {
	return logger.With(logger.KeyParts, c.call.SharedPromptParts())
}

// logResult logs the result of a send unless the endpoint answered.
func (c *callState) logResult(e *tracker.Endpoint, res result, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyAttempt, c.sends), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyLoad, int(e.EstimatedCalls(time.Now()))), logger.With(logger.KeyRoute, c.call.Route().Name()),
	}
	switch res := res.(type) {
	case answered:
		return
	case refused:
		c.logEvent("send-refused", e, append(fields, logger.With(logger.KeyStatus, res.answer.Status()))...)
	case unsent:
		c.logEvent("send-not-made", e, append(fields, logger.Err(res.cause))...)
	case lost:
		c.logEvent("send-lost", e, append(fields, logger.Err(res.cause), lossReason(res.cause), c.promptParts())...)
	}
}
