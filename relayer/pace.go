package relayer

import (
	"time"

	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// minPieces is the number of pieces of which an output must consist for its
	// duration to be measured.
	minPieces = 3
	// A pause of nearPause times the acceptable one is nearly too long. One of
	// maxPause times the acceptable one has another cause than the prompts of other
	// calls.
	nearPause = 0.9
	maxPause  = 3
)

// observeAnswer records how busy an engine is, and how long it took to process the
// call's prompt. An engine with waiting calls may not have started at once, and a
// resumed stream has another prompt.
func (c *callState) observeAnswer(e *tracker.Endpoint, a *exchanger.Answer) {
	if c.call.Service().EngineSpec() == nil {
		return
	}
	now := time.Now()
	running, waiting, ok := a.Meta().Load()
	if ok {
		c.relayer.speeds.Observe(e.ID(), e.Service(), estimator.NewOccupancy(running+waiting), now)
	}
	c.observeSlowdown(e, a.Meta().Report().Pace(), now)
	if c.lastEventID == "" && waiting == 0 {
		took := now.Sub(c.sentAt) - a.RoundTrip()
		c.relayer.speeds.Observe(e.ID(), e.Service(), estimator.NewPrefill(c.call.PromptTokens(), took), now)
	}
}

// observeSlowdown records how much longer than usual work takes on the engine's machine. A
// slowdown passes soon, so that it is reported to the engine's owner at once.
func (c *callState) observeSlowdown(e *tracker.Endpoint, factor float64, now time.Time) {
	if factor <= 0 {
		return // not reported
	}
	s := estimator.NewSlowdown(factor)
	c.relayer.speeds.Observe(e.ID(), e.Service(), s, now)
	if s.Notable() {
		c.relayer.procurer.Report(e, s)
	}
}

// pace measures the pauses of a stream from one engine.
type pace struct {
	call        *callState
	endpoint    *tracker.Endpoint
	first, last time.Time
	pieces      int
	longest     time.Duration // between two pieces
}

func newPace(c *callState, e *tracker.Endpoint) *pace {
	now := time.Now()
	return &pace{call: c, endpoint: e, first: now, last: now}
}

// addPiece records the arrival of a piece.
func (p *pace) addPiece() {
	now := time.Now()
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
	p.pieces++
}

// end records the complete output as a sample of the engine's speed.
func (p *pace) end() {
	if p.call.call.Service().EngineSpec() == nil || p.pieces < minPieces {
		return
	}
	aim := p.call.call.Route().PauseAim()
	paused := aim > 0 && float64(p.longest) > nearPause*float64(aim) && p.longest < maxPause*aim
	p.call.relayer.speeds.Observe(p.endpoint.ID(), p.endpoint.Service(),
		estimator.NewGeneration(p.call.call.ExpectedOutputTokens(), p.last.Sub(p.first), paused), p.last)
}
