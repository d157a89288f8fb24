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

	// maxFullTime is the maximum time that an engine which declined a call counts as
	// full.
	maxFullTime = 400 * time.Millisecond

	retryNoOwner = 500 * time.Millisecond
)

// reserve reserves capacity for the call on an engine. A fault means that the call
// cannot be sent to this engine.
func (c *callState) reserve(choice selector.Choice) error {
	e, m := choice.Endpoint(), c.call.Model()
	if m.Base() == "" || c.call.Service().EngineSpec() == nil {
		return nil
	}
	began := time.Now()
	response, err := c.relayer.procurer.Reserve(c.ctx, e, m, supplier.WithMinVersion(choice.MinVersion()), supplier.WithModelMissing(c.missingAt == e),
		supplier.WithSize(c.call.PromptTokens(), c.call.ExpectedOutputTokens(), c.maxTurnWait()))
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
		e.Observe(m, s.Version(), true)
		return nil
	case supplier.Declined:
		c.excluded[e] = true
		if s.Full() {
			// Following calls skip the engine without requesting a reservation.
			e.Declined(min(s.Wait(), maxFullTime))
		} else {
			c.declines++
		}
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
