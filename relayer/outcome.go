package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// maxResends bounds how often a call is sent to one engine that is still
	// loading its model.
	maxResends = 2
	// loadingPause is the wait before a call is sent again to an engine that is
	// still loading.
	loadingPause = 100 * time.Millisecond
	// drainLimit bounds what is read of an answer that is not used, to keep its
	// connection.
	drainLimit = 4 << 10
)

// finish returns an answer to the caller, unless the endpoint failed and the work
// may be carried out by another one.
func (c *carriage) finish(e *tracker.Endpoint, a *exchanger.Answer) (*Answer, error) {
	if a.Status() < http.StatusInternalServerError {
		e.Succeeded()
		return c.deliver(e, a), nil
	}
	e.Failed()
	if c.repeatable() && c.call.Remaining() > minLeft && len(c.sent) < c.call.Route().MaxAttempts() && c.mayRepeat() {
		discard(a)
		c.avoided[e] = true
		c.leave.Store(true)
		return nil, classifier.NewUncertain(fmt.Sprintf("endpoint failed with status %d", a.Status()))
	}
	return c.deliver(e, a), nil
}

func (c *carriage) deliver(e *tracker.Endpoint, a *exchanger.Answer) *Answer {
	stream, live := c.call.Route().RepeatPolicy().(router.Stream)
	if live && stream.Resumable() && a.Status() == http.StatusOK {
		return newAnswer(a, newResumer(c, e, a), e.ID(), c.sends, true)
	}
	if live {
		return newAnswer(a, &watched{ReadCloser: a.Body(), endpoint: e, last: time.Now()}, e.ID(), c.sends, true)
	}
	return newAnswer(a, a.Body(), e.ID(), c.sends, false)
}

// repeatable reports whether the work may run more than once.
func (c *carriage) repeatable() bool {
	switch kind := c.call.Route().RepeatPolicy().(type) {
	case router.Idempotent:
		return true
	case router.Stream:
		return kind.Resumable()
	default:
		return false
	}
}

// discard reads a small answer to its end, so that its connection can be used
// again.
func discard(a *exchanger.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body(), drainLimit)) // closed below in any case
	_ = a.Body().Close()
}

// afterRefusal decides what follows when an endpoint says that it did not run the
// call.
func (c *carriage) afterRefusal(e *tracker.Endpoint, a *exchanger.Answer) error {
	status := a.Status()
	discard(a)
	engine := c.call.Service().EngineSpec() != nil && c.call.Model().Base() != ""
	fault := classifier.NewOverloaded(fmt.Sprintf("endpoint refused with status %d", status), classifier.RetryAfter(c.comeBack(0)))
	switch {
	case status == http.StatusBadRequest:
		return final(classifier.NewInvalid("endpoint takes the call for malformed"))
	case engine && status == http.StatusMisdirectedRequest && c.resends >= 1:
		e.Observe(c.call.Model(), 0, false)
		c.missing = e
		if c.resends++; c.resends > maxResends {
			c.avoided[e] = true
		}
	case engine && c.resends < maxResends:
		c.resends++
		if sleeper.Sleep(c.ctx, loadingPause) != nil {
			return final(c.expired())
		}
	default:
		c.avoided[e] = true
		e.Failed()
		// Refused work counts as sent to the endpoint, so that the route's limit
		// on endpoints holds.
		c.sent[e] = true
		if len(c.sent) >= c.call.Route().MaxAttempts() {
			return final(fault)
		}
	}
	return fault
}

// afterLoss decides what follows when the call was sent and has no answer.
func (c *carriage) afterLoss(e *tracker.Endpoint, cause error) error {
	slow := errors.Is(cause, errSlow)
	switch {
	case slow:
		e.Failed()
	case errors.Is(c.ctx.Err(), context.Canceled):
		if time.Since(c.sentAt) > c.call.Route().Objective() {
			e.Failed() // the caller gave the endpoint up
		}
		return final(classifier.NewCanceled("the caller went away"))
	case c.ctx.Err() != nil:
		e.Failed()
		return final(classifier.NewExpired("the endpoint did not answer in time", classifier.MayHaveRun(), classifier.Cause(cause)))
	default:
		e.ConnectionFailed()
		c.relayer.witness.Broke(screener.NewMark(c.call.Fingerprint(), fmt.Sprintf("%s/%d", e.ID(), e.Born())))
	}
	c.avoided[e] = true
	fault := classifier.NewUncertain("the endpoint broke off", classifier.Cause(cause))
	if !c.repeatable() || len(c.sent) >= c.call.Route().MaxAttempts() {
		return final(fault)
	}
	return fault
}
