package relayer

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// minRoomPause and maxRoomPause bound the time after which a call that waits for room
	// looks again. Room may come earlier than expected.
	minRoomPause = 5 * time.Millisecond
	maxRoomPause = 100 * time.Millisecond
	// maxRetryShare is the longest retry delay as a share of the call's remaining time.
	// Callers comply with delays of up to a third of it.
	maxRetryShare = 0.3
)

// unclaim ends the claim on the chosen endpoint, because the call has begun there or is not
// sent.
func (c *callState) unclaim() {
	if c.claimed != nil {
		c.claimed.Unclaim()
		c.claimed = nil
	}
}

// roomWait returns when room is expected at an endpoint, or false if a fault has another
// cause than a lack of room.
func roomWait(fault error) (time.Duration, bool) {
	if !errors.Is(fault, selector.ErrNoRoom) {
		return 0, false
	}
	return classifier.Of(fault).RetryAfter(), true
}

// roomQueues counts the calls that wait for room at the endpoints of each service.
type roomQueues struct{ byService sync.Map } // string → *atomic.Int64

func (q *roomQueues) length(service string) *atomic.Int64 {
	n, ok := q.byService.Load(service)
	if !ok {
		n, _ = q.byService.LoadOrStore(service, &atomic.Int64{})
	}
	return n.(*atomic.Int64)
}

// chooseWithRoom waits for room if that is why no endpoint was chosen, and if room is
// expected in the time that the call can wait.
func (c *callState) chooseWithRoom(choice selector.Choice, fault error) (selector.Choice, error) {
	defer c.leaveQueue()
	for {
		wait, full := roomWait(fault)
		if !full || !c.awaitRoom(wait) {
			return choice, fault
		}
		if choice, fault = c.choose(); fault == nil {
			return choice, nil
		}
	}
}

// enterQueue makes the call one of those that wait for room. It returns how many did before.
func (c *callState) enterQueue() int64 {
	c.queuedFor = c.relayer.queues.length(c.call.Service().Name())
	return c.queuedFor.Add(1) - 1
}

func (c *callState) leaveQueue() {
	if c.queuedFor != nil {
		c.queuedFor.Add(-1)
		c.queuedFor = nil
	}
}

// awaitRoom waits before the call looks for room again. It reports false if room is expected
// too late for the call. Calls that wait already get the room before a call that arrives.
func (c *callState) awaitRoom(expected time.Duration) bool {
	now := time.Now()
	if c.roomUntil.IsZero() {
		maxWait := max(c.maxTurnWait(), time.Duration(maxEndpointWaitShare*float64(c.call.Remaining())))
		c.roomUntil = now.Add(min(maxWait, c.call.Remaining()-minRemaining))
	}
	turn := expected
	if c.queuedFor == nil {
		turn *= time.Duration(c.enterQueue() + 1)
	}
	if now.Add(turn).After(c.roomUntil) {
		return false
	}
	pause := min(max(turn, minRoomPause), maxRoomPause)
	pause = time.Duration((0.5 + rand.Float64()/2) * float64(pause))
	return sleeper.Sleep(c.ctx, pause) == nil
}

// retryWhenRoom returns the retry delay of a call that no endpoint can take: until those that
// wait have got room and there is more, with jitter, if that is known.
func (c *callState) retryWhenRoom(fault error) time.Duration {
	wait, full := roomWait(fault)
	if !full {
		return c.retryAfter(longWait(fault))
	}
	wait *= time.Duration(c.relayer.queues.length(c.call.Service().Name()).Load() + 1)
	wait += time.Duration(rand.Float64() * retryAfterJitter * float64(wait))
	longest := time.Duration(maxRetryShare * float64(c.call.Remaining()))
	return max(min(wait, longest), minRetryAfter)
}

// logLimit logs that the adaptive limit of a plain endpoint has fallen. Engines have none.
func (c *callState) logLimit(e *tracker.Endpoint) {
	if c.call.Service().EngineSpec() != nil {
		return
	}
	if limit, fallen := e.AnnounceLimit(time.Now()); fallen {
		c.logEvent("endpoint-limit-lowered", e, logger.With(logger.KeyCalls, limit), logger.With(logger.KeyPace, e.Pace(time.Now())))
	}
}
