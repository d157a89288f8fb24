package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// maxSteps bounds the endpoints that are tried for one call.
	maxSteps = 8
	// maxSends bounds how often a call is sent, refusals included.
	maxSends = 4
	// maxDeclines is how many engines may decline a call. More engines that load the
	// same adapter only make the weight store slower.
	maxDeclines = 3
	// maxResends bounds how often a call is sent to one engine that is still
	// loading its model.
	maxResends = 2
	// loadingPause is the wait before a call is sent again to an engine that is
	// still loading.
	loadingPause = 100 * time.Millisecond
	// patienceShare is the part of the objective after which idempotent work is
	// sent to another endpoint.
	patienceShare = 0.7
	minPatience   = 100 * time.Millisecond
	// minLeft is the time that a call must have left to be sent.
	minLeft = 30 * time.Millisecond
	// maxIdleOnce is how long a connection may have been idle for work that may
	// run only once. An endpoint may drop an older one without notice, and the
	// call that finds out has an unknown outcome.
	maxIdleOnce = time.Second
	maxIdle     = time.Minute

	// maxBuffered bounds what is read of an answer before it is passed on, in
	// bytes. A longer one is passed on as it arrives.
	maxBuffered = 256 << 10

	// The share of the objective that the most urgent calls may wait for their turn
	// at an engine, what each rank below takes off, and the least.
	turnShare    = 0.45
	turnStep     = 0.1
	minTurnShare = 0.15

	// comeBackShare is the part of its time after which a refused caller is asked to
	// come back; callers follow up to a third.
	comeBackShare  = 0.14
	comeBackJitter = 0.5
	maxComeBack    = 2 * time.Second

	retryOwner = 500 * time.Millisecond
	retrySoon  = 250 * time.Millisecond
	// drainLimit bounds what is read of an answer that is not used, to keep its
	// connection.
	drainLimit = 4 << 10
)

// result is what came of one send: answered, refused, unsent or lost.
type result interface{ result() }

type (
	answered struct{ answer *exchanger.Answer }
	refused  struct{ answer *exchanger.Answer }
	unsent   struct{ cause error }
	lost     struct{ cause error }
)

func (answered) result() {}
func (refused) result()  {}
func (unsent) result()   {}
func (lost) result()     {}

// carriage is one call on its way.
type carriage struct {
	relayer  *Relayer
	call     *screener.Screened
	ctx      context.Context
	sent     map[*tracker.Endpoint]bool // endpoints that the call was sent to
	avoided  map[*tracker.Endpoint]bool
	sends    int
	resends  int
	declines int                     // engines that had no place
	abort    context.CancelCauseFunc // of the latest send
	missing  *tracker.Endpoint       // engine that refused because it does not hold the model
	unuse    func()                  // ends the use of the model at the latest endpoint
	ran      bool                    // whether an endpoint may have run the call
	leave    atomic.Bool             // whether the next send is counted as a repeat already
	event    string                  // last event of a resumed stream
	version  int64                   // of the model at the chosen endpoint
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

// prepare gets a place for the call on an engine. A fault means that the engine
// will not do.
func (c *carriage) prepare(choice selector.Choice) error {
	e, m := choice.Endpoint(), c.call.Model()
	if m.Base() == "" || c.call.Service().Engines() == nil {
		return nil
	}
	began := time.Now()
	supply, err := c.relayer.procurer.Procure(c.ctx, e, m, supplier.AtLeast(choice.Named()), supplier.Missing(c.missing == e),
		supplier.WithSize(c.call.Prompt(), c.call.Output(), c.turnPatience()))
	c.noteSupply(choice, supply, err, time.Since(began))
	switch s := supply.(type) {
	case supplier.Granted:
		if sleeper.Sleep(c.ctx, s.Wait()) != nil {
			return c.expired()
		}
		c.version = s.Version()
		e.Learn(m, s.Version(), true)
		return nil
	case supplier.Declined:
		c.avoided[e] = true
		c.declines++
		return classifier.NewOverloaded("the engine has no place: "+s.Reason(), classifier.RetryAfter(c.comeBack(s.Wait())))
	}
	if choice.Present() && c.missing != e {
		// Without its owner an engine still serves what it holds.
		c.version, _ = e.Held(m)
		return nil
	}
	c.avoided[e] = true
	return classifier.NewOverloaded("the model is not loaded and the engine's owner does not answer",
		classifier.RetryAfter(c.comeBack(retryOwner)), classifier.Cause(err))
}

// turnPatience returns how long the call may wait for its turn at an engine. Less
// urgent calls wait less, so that they give way when turns become scarce.
func (c *carriage) turnPatience() time.Duration {
	share := max(turnShare-turnStep*float64(c.call.Route().Priority()), minTurnShare)
	return time.Duration(share * float64(c.call.Route().Objective()))
}

func (c *carriage) noteSupply(choice selector.Choice, supply supplier.Supply, err error, took time.Duration) {
	m := c.call.Model()
	fields := []logger.Field{
		logger.With(logger.KeyModel, m.Base()+"/"+m.Adapter()), logger.With(logger.KeyVersion, choice.Named()),
		logger.With(logger.KeyDuration, took.Milliseconds()), logger.With(logger.KeyHeld, choice.Present()),
	}
	switch s := supply.(type) {
	case supplier.Granted:
		fields = append(fields, logger.With(logger.KeyOutcome, "granted"), logger.With(logger.KeyWait, s.Wait().Milliseconds()))
	case supplier.Declined:
		fields = append(fields, logger.With(logger.KeyOutcome, "declined"), logger.With(logger.KeyReason, s.Reason()),
			logger.With(logger.KeyWait, s.Wait().Milliseconds()))
	case supplier.Unowned:
		fields = append(fields, logger.With(logger.KeyOutcome, "unowned"))
	default:
		fields = append(fields, logger.With(logger.KeyOutcome, "no-answer"), logger.Err(err))
	}
	c.note("place-asked", choice.Endpoint(), fields...)
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
			e.Broke()
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
	return c.sends < maxSends && c.relayer.ration.Repeat(c.call.Service().Name())
}

// release ends the use of the model at the latest endpoint.
func (c *carriage) release() {
	if c.unuse != nil {
		c.unuse()
		c.unuse = nil
	}
}

// send sends the call once.
func (c *carriage) send(choice selector.Choice) result {
	e := choice.Endpoint()
	c.release()
	if m := c.call.Model(); m.Base() != "" {
		c.unuse = c.relayer.procurer.Use(e.ID(), m)
	}
	ctx, abort := context.WithCancelCause(c.ctx)
	c.abort = abort // ends with the call's own context at the latest
	if patience := c.patience(); patience > 0 && c.sends+1 < maxSends {
		timer := time.AfterFunc(patience, func() {
			// A slow endpoint is given up only if another one may be tried.
			if c.relayer.ration.Repeat(c.call.Service().Name()) {
				c.leave.Store(true)
				abort(errSlow)
			}
		})
		defer timer.Stop()
	}
	answer, err := c.relayer.exchanger.Do(ctx, e, c.outbound(choice), c.maxIdle(), c.connections())
	if err != nil {
		defer abort(nil)
		var failure *exchanger.Failure
		if errors.As(err, &failure) && !failure.Sent() {
			return unsent{err}
		}
		c.sends++
		c.sent[e], c.ran = true, true
		return lost{err}
	}
	c.sends++
	if answer.Meta().Refused() {
		return refused{answer}
	}
	c.sent[e], c.ran = true, true
	if _, live := c.call.Route().Repeat().(router.Stream); !live {
		if err := answer.Buffer(maxBuffered); err != nil {
			return lost{err}
		}
	}
	return answered{answer}
}

func (c *carriage) outbound(choice selector.Choice) *exchanger.Outbound {
	opts := []exchanger.OutboundOption{}
	if c.call.Service().Engines() != nil {
		if choice.Named() > 0 {
			// The endpoint may know of a newer version than this host.
			opts = append(opts, exchanger.ExpectVersion(max(choice.Named(), c.version)))
		}
	}
	if c.event != "" {
		opts = append(opts, exchanger.ResumeAfter(c.event))
	}
	return exchanger.NewOutbound(c.call.Call, choice.Endpoint().ID(), c.call.Deadline(), opts...)
}

// patience returns how long idempotent work may take before it is sent to another
// endpoint, or 0 for as long as the deadline.
func (c *carriage) patience() time.Duration {
	if _, ok := c.call.Route().Repeat().(router.Idempotent); !ok || !c.another() {
		return 0
	}
	share := time.Duration(float64(c.call.Route().Objective()) * patienceShare)
	return max(share, minPatience)
}

// another reports whether the route allows one more endpoint after the next send.
func (c *carriage) another() bool { return len(c.sent)+1 < c.call.Route().MaxAttempts() }

func (c *carriage) maxIdle() time.Duration {
	if _, ok := c.call.Route().Repeat().(router.Once); ok {
		return maxIdleOnce
	}
	return maxIdle
}

// connections returns this host's share of the connections that an endpoint
// accepts.
func (c *carriage) connections() int {
	return max(c.call.Service().MaxConnections()/max(c.relayer.hosts(), 1), 2)
}

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
	stream, live := c.call.Route().Repeat().(router.Stream)
	if live && stream.Resumable() && a.Status() == http.StatusOK {
		return newAnswer(a, newResumer(c, e, a), e.ID(), c.sends, true)
	}
	return newAnswer(a, a.Body(), e.ID(), c.sends, live)
}

// repeatable reports whether the work may run more than once.
func (c *carriage) repeatable() bool {
	switch kind := c.call.Route().Repeat().(type) {
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
	engine := c.call.Service().Engines() != nil && c.call.Model().Base() != ""
	fault := classifier.NewOverloaded(fmt.Sprintf("endpoint refused with status %d", status), classifier.RetryAfter(c.comeBack(0)))
	switch {
	case status == http.StatusBadRequest:
		return final(classifier.NewInvalid("endpoint takes the call for malformed"))
	case engine && status == http.StatusMisdirectedRequest && c.resends >= 1:
		e.Learn(c.call.Model(), 0, false)
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
		return final(classifier.NewCanceled("the caller went away"))
	case c.ctx.Err() != nil:
		e.Failed()
		return final(classifier.NewExpired("the endpoint did not answer in time", classifier.MayHaveRun(), classifier.Cause(cause)))
	default:
		e.Broke()
		c.relayer.witness.Broke(screener.NewMark(c.call.Fingerprint(), fmt.Sprintf("%s/%d", e.ID(), e.Born())))
	}
	c.avoided[e] = true
	fault := classifier.NewUncertain("the endpoint broke off", classifier.Cause(cause))
	if !c.repeatable() || len(c.sent) >= c.call.Route().MaxAttempts() {
		return final(fault)
	}
	return fault
}

func (c *carriage) note(event string, e *tracker.Endpoint, fields ...logger.Field) {
	c.relayer.log.Info(event, append(fields, logger.Request(c.call.ID()), logger.With(logger.KeyEndpoint, e.ID()))...)
}

// record logs what came of a send, unless all went well.
func (c *carriage) record(e *tracker.Endpoint, res result, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyAttempt, c.sends), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyLoad, int(e.Busy(time.Now()))), logger.With(logger.KeyRoute, c.call.Route().Name()),
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
