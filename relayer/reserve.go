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
	// The share of the objective that the most urgent calls may wait for their turn
	// at an engine, what each rank below takes off, and the least.
	turnShare    = 0.45
	turnStep     = 0.1
	minTurnShare = 0.15

	// maxFull is how long an engine without a place is not asked again.
	maxFull = 400 * time.Millisecond

	retryOwner = 500 * time.Millisecond
)

// prepare gets a place for the call on an engine. A fault means that the engine
// will not do.
func (c *carriage) prepare(choice selector.Choice) error {
	e, m := choice.Endpoint(), c.call.Model()
	if m.Base() == "" || c.call.Service().EngineSpec() == nil {
		return nil
	}
	began := time.Now()
	supply, err := c.relayer.procurer.Reserve(c.ctx, e, m, supplier.WithMinVersion(choice.MinVersion()), supplier.WithModelMissing(c.missing == e),
		supplier.WithSize(c.call.PromptTokens(), c.call.ExpectedTokens(), c.turnPatience()))
	c.noteSupply(choice, supply, err, time.Since(began))
	switch s := supply.(type) {
	case supplier.Granted:
		if sleeper.Sleep(c.ctx, s.Wait()) != nil {
			return c.expired()
		}
		c.version = s.Version()
		e.Observe(m, s.Version(), true)
		return nil
	case supplier.Declined:
		c.avoided[e] = true
		if s.Full() {
			// The calls after this one need not ask.
			e.Declined(min(s.Wait(), maxFull))
		} else {
			c.declines++
		}
		return classifier.NewOverloaded("the engine has no place: "+s.Reason(), classifier.RetryAfter(c.comeBack(s.Wait())))
	}
	if choice.ModelLoaded() && c.missing != e {
		// Without its owner an engine still serves what it holds.
		c.version, _ = e.HeldVersion(m)
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

func (c *carriage) noteSupply(choice selector.Choice, supply supplier.ReserveResponse, err error, took time.Duration) {
	m := c.call.Model()
	fields := []logger.Field{
		logger.With(logger.KeyModel, m.Base()+"/"+m.Adapter()), logger.With(logger.KeyVersion, choice.MinVersion()),
		logger.With(logger.KeyDuration, took.Milliseconds()), logger.With(logger.KeyHeld, choice.ModelLoaded()),
	}
	switch s := supply.(type) {
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
	c.note("place-asked", choice.Endpoint(), fields...)
}
