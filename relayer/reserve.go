package relayer

import (
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/supplier"
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
	// If all of them have loads queued, the call may wait at the one with the shortest
	// queue for the objective, or for a tenth of its remaining time if that is longer.
	loadPatience = 0.1

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
	patience := max(c.call.Route().Objective(), time.Duration(loadPatience*float64(c.call.Remaining())))
	if wait > patience {
		return choice, classifier.NewOverloaded("too many adapters are on their way", classifier.RetryAfter(c.retryAfter(wait)))
	}
	return choice, c.reserveWithin(choice, patience, true)
}

func (c *callState) reserveWithin(choice selector.Choice, maxLoadWait time.Duration, lastResort bool) error {
	e, m := choice.Endpoint(), c.call.Model()
	if m.Base() == "" || c.call.Service().EngineSpec() == nil {
		return nil
	}
	began := time.Now()
	response, err := c.relayer.procurer.Reserve(c.ctx, e, m, supplier.WithMinVersion(choice.MinVersion()), supplier.WithModelMissing(c.missingAt == e),
		supplier.WithSize(c.call.PromptTokens(), c.call.ExpectedOutputTokens(), c.maxTurnWait()), supplier.WithMaxLoadWait(maxLoadWait), supplier.WithLastResort(lastResort))
	c.logReservation(choice, response, err, time.Since(began))
	switch s := response.(type) {
	case supplier.Granted:
		if sleeper.Sleep(c.ctx, s.Wait()) != nil {
			return c.expired()
		}
		if !c.relayer.chooser.Usable(e) {
			c.excluded[e] = true
			return classifier.NewUnavailable("the engine left before the call's turn", classifier.RetryAfter(c.retryAfter(0)))
		}
		c.version = s.Version()
		delete(c.excluded, e) // the call may ask again if the load is late
		e.Observe(m, s.Version(), true)
		return nil
	case supplier.Declined:
		c.recordDecline(choice, s)
		return classifier.NewOverloaded("the engine has no place: "+s.Reason(), classifier.RetryAfter(c.retryAfter(s.Wait())))
	}
	if choice.ModelLoaded() && c.missingAt != e {
		// An engine whose owner is unreachable still serves its loaded models.
		c.version, _ = e.HeldVersion(m)
		return nil
	}
	c.excluded[e] = true
	return classifier.NewOverloaded("the model is not loaded and the engine's owner does not answer",
		classifier.RetryAfter(c.retryAfter(retryNoOwner)), classifier.Cause(err))
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
	share := max(turnShare-turnStep*float64(c.call.Route().Priority()), minTurnShare)
	return time.Duration(share * float64(c.call.Route().Objective()))
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
