package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	// maxResends is how many times a call is resent to an engine that is still
	// loading the call's model.
	maxResends = 2
	// loadingPause is the delay before a call is resent to an engine that is still
	// loading the model.
	loadingPause = 100 * time.Millisecond
	// maxDiscard is the maximum number of bytes read from an unused response so that
	// its connection can be reused.
	maxDiscard = 4 << 10
)

// finish returns the response of an endpoint. If the endpoint failed and the call
// may be repeated at another one that can take it, it returns an error instead.
func (c *callState) finish(e *tracker.Endpoint, a *exchanger.Answer) (*Answer, error) {
	if a.Status() < http.StatusInternalServerError {
		e.Succeeded()
		return c.deliver(e, a), nil
	}
	e.Failed()
	if c.repeatable() && c.call.Remaining() > minRemaining && len(c.sent) < c.call.Route().MaxAttempts() && c.anotherThan(e)() && c.allowRepeat() {
		discard(a)
		c.excluded[e] = true
		c.repeatCounted.Store(true)
		return nil, classifier.NewUncertain(fmt.Sprintf("endpoint failed with status %d", a.Status()))
	}
	return c.deliver(e, a), nil
}

func (c *callState) deliver(e *tracker.Endpoint, a *exchanger.Answer) *Answer {
	stream, streaming := c.call.Route().RepeatPolicy().(router.Stream)
	if streaming && a.Status() == http.StatusOK {
		c.observeAnswer(e, a)
	}
	if streaming && stream.Resumable() && a.Status() == http.StatusOK {
		return newAnswer(a, newResumer(c, e, a), e.ID(), c.sends, true)
	}
	if streaming && a.Status() == http.StatusOK {
		return newAnswer(a, &monitoredBody{ReadCloser: a.Body(), pace: newPace(c, e), mayBeEmpty: c.mayBeEmpty(a)}, e.ID(), c.sends, true)
	}
	if a.Status() < http.StatusMultipleChoices {
		c.recordOutput()
	}
	body := a.Body()
	if !a.Buffered() {
		body = &passedBody{ReadCloser: body, call: c, endpoint: e}
	}
	return newAnswer(a, body, e.ID(), c.sends, streaming)
}

// recordLoss records that a call was lost at an endpoint, and whether that was before its
// output began. An endpoint whose answer is malformed is ejected at once, because the
// network cannot be the cause. It has not crashed, so that the call gets no crash mark.
func (c *callState) recordLoss(e *tracker.Endpoint, cause error, beforeOutput bool) {
	if malformed(cause) {
		e.ConnectionFailed()
		return
	}
	e.ConnectionBroken()
	if beforeOutput {
		c.recordCrash(e)
	}
}

// malformed reports whether an endpoint sent bytes that are no answer, such as a head or an
// event without end.
func malformed(cause error) bool {
	return errors.Is(cause, exchanger.ErrTooLong) || errors.Is(cause, errEventTooLong) ||
		errors.Is(cause, transporter.ErrStatus) || errors.Is(cause, transporter.ErrField)
}

// Reasons why an answer is broken, in log lines.
const (
	reasonReset  = "reset" // also an end that a reset may have caused
	reasonStatus = "status"
	reasonField  = "field"
)

// lossReason is the log field that names in one word why an answer is broken. Other losses
// have none.
func lossReason(cause error) logger.Field {
	switch {
	case errors.Is(cause, transporter.ErrEnd), errors.Is(cause, syscall.ECONNRESET):
		return logger.With(logger.KeyReason, reasonReset)
	case errors.Is(cause, transporter.ErrStatus):
		return logger.With(logger.KeyReason, reasonStatus)
	case errors.Is(cause, transporter.ErrField):
		return logger.With(logger.KeyReason, reasonField)
	}
	return logger.Field{}
}

// recordCrash records that an endpoint may have crashed before the output of the call began.
func (c *callState) recordCrash(e *tracker.Endpoint) {
	process := fmt.Sprintf("%s/%d", e.ID(), e.Born())
	c.relayer.crashes.RecordCrash(e, screener.NewMark(c.call.Fingerprint(), process, c.call.SharedPromptParts()...))
}

// recordOutput records that the output of the call began.
func (c *callState) recordOutput() { c.relayer.crashes.RecordOutput(c.call.Call) }

// mayBeEmpty reports whether a stream may be complete without an event: it goes on after
// an event that may have been the last one, and its end is not that of the connection
// only, which an endpoint that crashes closes too.
func (c *callState) mayBeEmpty(a *exchanger.Answer) bool {
	return (c.call.LastEvent() != "" || c.lastEventID != "") && !a.Unframed()
}

// repeatable reports whether the route allows the work to run more than once.
func (c *callState) repeatable() bool {
	switch kind := c.call.Route().RepeatPolicy().(type) {
	case router.Idempotent:
		return true
	case router.Stream:
		return kind.Resumable()
	default:
		return false
	}
}

// discard closes a response. It reads a short body to its end first, so that the
// connection can be reused, unless the connection ends with the body.
func discard(a *exchanger.Answer) {
	if !a.Unframed() {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body(), maxDiscard)) // best effort; the body is closed below
	}
	_ = a.Body().Close()
}

// handleRefusal handles a response which reports that the endpoint did not run the
// call. It returns a finalError if the call must not be sent again.
func (c *callState) handleRefusal(e *tracker.Endpoint, a *exchanger.Answer) error {
	status := a.Status()
	discard(a)
	engine := c.call.Service().EngineSpec() != nil && c.call.Model().Base() != ""
	fault := classifier.NewOverloaded(fmt.Sprintf("endpoint refused with status %d", status), classifier.RetryAfter(c.retryAfter(0)))
	switch {
	case status == http.StatusBadRequest:
		return final(classifier.NewInvalid("endpoint takes the call for malformed"))
	case engine && status == http.StatusMisdirectedRequest && c.resends >= 1:
		e.Observe(c.call.Model(), 0, false)
		c.missingAt = e
		if c.resends++; c.resends > maxResends {
			c.excluded[e] = true
		}
	case engine && c.resends < maxResends:
		c.resends++
		if sleeper.Sleep(c.ctx, loadingPause) != nil {
			return final(c.expired())
		}
	default:
		c.excluded[e] = true
		e.Failed()
		// A refused call counts as sent to the endpoint, so that refusals do not
		// exceed the route's limit on endpoints.
		c.sent[e] = true
		if len(c.sent) >= c.call.Route().MaxAttempts() {
			return final(fault)
		}
	}
	return fault
}

// handleLoss handles a call that was sent and got no complete response. It returns
// a finalError unless the call may be repeated.
func (c *callState) handleLoss(e *tracker.Endpoint, cause error) error {
	slow := errors.Is(cause, errSlowEndpoint)
	switch {
	case slow:
		e.Failed()
		e.TimedOut(c.sentAt)
	case errors.Is(c.ctx.Err(), context.Canceled):
		if time.Since(c.sentAt) > c.call.Route().Objective() {
			e.Failed() // the caller canceled after waiting past the objective
		}
		return final(classifier.NewCanceled("the caller went away"))
	case c.ctx.Err() != nil:
		e.Failed()
		e.TimedOut(c.sentAt)
		return final(classifier.NewExpired("the endpoint did not answer in time", classifier.MayHaveRun(), classifier.Cause(cause)))
	default:
		c.recordLoss(e, cause, true)
	}
	c.excluded[e] = true
	fault := classifier.NewUncertain("the endpoint broke off", classifier.Cause(cause))
	if !c.repeatable() || len(c.sent) >= c.call.Route().MaxAttempts() {
		return final(fault)
	}
	return fault
}
