package relayer

import (
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// The time that a call may wait for its turn at an engine, as a share of the
	// route's objective: that of the most urgent calls, the reduction per priority
	// rank, and the minimum.
	turnShare    = 0.45
	turnStep     = 0.1
	minTurnShare = 0.15

	// firstLoadShare is how long a call may wait behind loads of other models at the
	// first engines that it asks, as a share of the route's objective. Another engine
	// is probably faster.
	firstLoadShare = 0.4
	// If no endpoint can take the call soon, it may wait at one for the objective, or for
	// this share of its remaining time if that is longer.
	maxEndpointWaitShare = 0.1

	// maxFullTime is the maximum time that an engine which declined a call counts as
	// full.
	maxFullTime = 400 * time.Millisecond

	retryNoOwner = 500 * time.Millisecond
)

// reserve reserves capacity for the call on an engine. A fault means that the call
// cannot be sent to this engine.
func (c *callState) reserve(choice selector.Choice) error {
	return c.reserveWithin(choice, time.Duration(firstLoadShare*float64(c.call.Route().Objective())), false)
}

// reserveAtShortestQueue reserves capacity for a call that engines declined because of
// queued loads, at the one with the shortest queue. It returns declined if there is
// none.
func (c *callState) reserveAtShortestQueue(declined error) (selector.Choice, error) {
	choice, wait := c.shortestQueue, c.shortestQueueWait
	if choice.Endpoint() == nil {
		return choice, declined
	}
	c.shortestQueue = selector.Choice{}
	maxWait := c.maxEndpointWait()
	if wait > maxWait {
		return choice, classifier.NewOverloaded("too many adapters are on their way", classifier.RetryAfter(c.retryAfter(wait)))
	}
	return choice, c.reserveWithin(choice, maxWait, true)
}

// reserveWithin obtains all that the call needs at an endpoint, and waits for its turn.
func (c *callState) reserveWithin(choice selector.Choice, maxLoadWait time.Duration, lastResort bool) error {
	turnAt, err := c.admit(choice.Endpoint())
	if err != nil {
		return err
	}
	wait, err := c.reserveCapacity(choice, maxLoadWait, lastResort)
	if err != nil {
		return err
	}
	return c.awaitTurn(choice.Endpoint(), max(wait, time.Until(turnAt)))
}

// admit requests a turn at an endpoint that accepts a limited rate of requests, and
// returns its time.
func (c *callState) admit(e *tracker.Endpoint) (time.Time, error) {
	began := time.Now()
	if _, limited := e.Limit(began); !limited {
		return began, nil
	}
	verdict := c.relayer.permitter.Admit(c.ctx, e, c.maxLimitWait())
	c.logTurn(e, verdict, time.Since(began))
	declined, ok := verdict.(limiter.Declined)
	if !ok {
		granted, _ := verdict.(limiter.Granted)
		return time.Now().Add(granted.Wait()), nil
	}
	c.excluded[e] = true
	if !c.waitsLonger {
		c.limited = append(c.limited, e)
	}
	e.RecordTurn(declined.Wait())
	return time.Time{}, classifier.NewOverloaded("the endpoint accepts no more requests at present", classifier.RetryAfter(c.retryAfter(declined.Wait())))
}

func (c *callState) logTurn(e *tracker.Endpoint, verdict limiter.Verdict, took time.Duration) {
	outcome, wait := "", time.Duration(0)
	switch v := verdict.(type) {
	case limiter.Granted:
		outcome, wait = "granted", v.Wait()
	case limiter.Declined:
		outcome, wait = "declined", v.Wait()
	}
	c.logEvent("turn-asked", e, logger.With(logger.KeyOutcome, outcome), logger.With(logger.KeyWait, wait.Milliseconds()),
		logger.With(logger.KeyDuration, took.Milliseconds()))
}

// maxLimitWait returns how long the call may wait for a turn at an endpoint that accepts a
// limited rate of requests: a short time while others may be faster, then longer.
func (c *callState) maxLimitWait() time.Duration {
	if c.waitsLonger {
		return c.maxEndpointWait()
	}
	return c.maxTurnWait()
}

// extendWait makes the endpoints available again that the call left out because their
// next turn was late. It reports false if there are none, or if it did so before.
func (c *callState) extendWait() bool {
	if c.waitsLonger || !c.relayer.chooser.AnyLimited(c.call.Routed) {
		return false
	}
	c.waitsLonger = true
	for _, e := range c.limited {
		delete(c.excluded, e)
	}
	return true
}

// awaitTurn waits until the call may be sent, and checks that the endpoint is still there.
func (c *callState) awaitTurn(e *tracker.Endpoint, wait time.Duration) error {
	if sleeper.Sleep(c.ctx, wait) != nil {
		return c.expired()
	}
	if !c.relayer.chooser.Usable(e) {
		c.excluded[e] = true
		return classifier.NewUnavailable("the endpoint left before the call's turn", classifier.RetryAfter(c.retryAfter(0)))
	}
	delete(c.excluded, e) // the call may ask again if a load is late
	return nil
}

// reserveCapacity reserves capacity for the call on an engine, and returns how long the
// call has to wait for it.
func (c *callState) reserveCapacity(choice selector.Choice, maxLoadWait time.Duration, lastResort bool) (wait time.Duration, err error) {
	e, m := choice.Endpoint(), c.call.Model()
	if m.Base() == "" || c.call.Service().EngineSpec() == nil {
		return 0, nil
	}
	began := time.Now()
	response, err := c.relayer.procurer.Reserve(c.ctx, e, m, supplier.WithMinVersion(choice.MinVersion()), supplier.WithModelMissing(c.missingAt == e),
		supplier.WithSize(c.call.PromptTokens(), c.call.ExpectedOutputTokens(), c.maxTurnWait()), supplier.WithMaxLoadWait(maxLoadWait), supplier.WithLastResort(lastResort),
		supplier.WithWorkspace(c.workspace()))
	c.logReservation(choice, response, err, time.Since(began))
	switch s := response.(type) {
	case supplier.Granted:
		c.version = s.Version()
		e.Observe(m, s.Version(), true)
		return s.Wait(), nil
	case supplier.Declined:
		c.recordDecline(choice, s)
		return 0, classifier.NewOverloaded("the engine has no place: "+s.Reason(), classifier.RetryAfter(c.retryAfter(s.Wait())))
	}
	if choice.ModelLoaded() && c.missingAt != e {
		// An engine whose owner is unreachable still serves its loaded models.
		c.version, _ = e.HeldVersion(m)
		return 0, nil
	}
	c.excluded[e] = true
	return 0, classifier.NewOverloaded("the model is not loaded and the engine's owner does not answer",
		classifier.RetryAfter(c.retryAfter(retryNoOwner)), classifier.Cause(err))
}

// workspace returns the workspace that the call belongs to, if there is one.
func (c *callState) workspace() sharer.Workspace {
	w := c.call.Workspace()
	if w == nil {
		return sharer.Workspace{}
	}
	return sharer.NewWorkspace(w.Name(), w.Priority())
}

// recordDecline records that an engine declined the call.
func (c *callState) recordDecline(choice selector.Choice, d supplier.Declined) {
	e := choice.Endpoint()
	c.excluded[e] = true
	switch {
	case d.Full():
		// Following calls skip the engine without requesting a reservation.
		e.Declined(min(d.Wait(), maxFullTime))
	case d.LoadsQueued():
		c.queues++
		if c.shortestQueue.Endpoint() == nil || d.Wait() < c.shortestQueueWait {
			c.shortestQueue, c.shortestQueueWait = choice, d.Wait()
		}
	default:
		c.declines++
	}
}

// maxTurnWait returns how long the call may wait for its turn at an engine. Less
// urgent calls may wait less, so that they are declined first under load.
func (c *callState) maxTurnWait() time.Duration {
	share := max(turnShare-turnStep*float64(c.call.Priority()), minTurnShare)
	return time.Duration(share * float64(c.call.Route().Objective()))
}

// maxEndpointWait returns how long the call may wait at an endpoint if no other one is faster.
func (c *callState) maxEndpointWait() time.Duration {
	return max(c.call.Route().Objective(), time.Duration(maxEndpointWaitShare*float64(c.call.Remaining())))
}

func (c *callState) logReservation(choice selector.Choice, response supplier.ReserveResponse, err error, took time.Duration) {
	m := c.call.Model()
	fields := []logger.Field{
		logger.With(logger.KeyModel, m.Base()+"/"+m.Adapter()), logger.With(logger.KeyVersion, choice.MinVersion()),
		logger.With(logger.KeyDuration, took.Milliseconds()), logger.With(logger.KeyHeld, choice.ModelLoaded()),
	}
	switch s := response.(type) {
	case supplier.Granted:
		fields = append(fields, logger.With(logger.KeyOutcome, "granted"), logger.With(logger.KeyWait, s.Wait().Milliseconds()))
	case supplier.Declined:
		fields = append(fields, logger.With(logger.KeyOutcome, "declined"), logger.With(logger.KeyReason, s.Reason()),
			logger.With(logger.KeyWait, s.Wait().Milliseconds()))
	case supplier.NotOwner:
		fields = append(fields, logger.With(logger.KeyOutcome, "unowned"))
	default:
		fields = append(fields, logger.With(logger.KeyOutcome, "no-answer"), logger.Err(err))
	}
	c.logEvent("place-asked", choice.Endpoint(), fields...)
}
