package relayer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// sendTimeoutShare is the share of the objective after which idempotent work is
	// sent to another endpoint.
	sendTimeoutShare = 0.7
	minSendTimeout   = 100 * time.Millisecond
	// maxIdleAtMostOnce is the maximum idle time of a reused connection for
	// at-most-once work. The endpoint may have closed a connection that was idle for
	// longer, and a call sent on it would have an unknown outcome.
	maxIdleAtMostOnce = time.Second
	maxIdle           = time.Minute
)

// result is the result of one send: answered, refused, unsent or lost.
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

// release ends the use of the model at the endpoint of the latest send.
func (c *callState) release() {
	if c.releaseModel != nil {
		c.releaseModel()
		c.releaseModel = nil
	}
}

// send sends the call to the chosen endpoint once.
func (c *callState) send(choice selector.Choice) result {
	e := choice.Endpoint()
	c.release()
	if m := c.call.Model(); m.Base() != "" {
		c.releaseModel = c.relayer.procurer.Use(e.ID(), m)
	}
	if c.cancelSend != nil {
		c.cancelSend(nil) // the previous send has ended
	}
	ctx, abort := context.WithCancelCause(c.ctx)
	c.cancelSend = abort // the last send is canceled with the call's context
	if timeout := c.sendTimeout(); timeout > 0 && c.sends+1 < maxSends {
		another := c.anotherThan(e)
		timer := time.AfterFunc(timeout, func() {
			// A send to a slow endpoint is canceled only if another endpoint can
			// take the call and the retry budget allows it. Without another one,
			// the slow answer is better than none.
			if another() && c.relayer.budget.AllowRepeat(c.call.Service().Name()) {
				c.repeatCounted.Store(true)
				abort(errSlowEndpoint)
			}
		})
		defer timer.Stop()
	}
	c.sentAt = time.Now()
	answer, err := c.relayer.exchanger.Do(ctx, e, c.outbound(choice), c.maxIdle(), c.connections())
	c.unclaim()
	if err != nil {
		defer abort(nil)
		var callErr *exchanger.CallError
		if errors.As(err, &callErr) && !callErr.Sent() {
			return unsent{err}
		}
		c.sends++
		c.sent[e], c.mayHaveRun = true, true
		return lost{err}
	}
	c.sends++
	c.observe(e, answer.Meta())
	if answer.Meta().Refused() {
		return refused{answer}
	}
	c.sent[e], c.mayHaveRun = true, true
	if _, streaming := c.call.Route().RepeatPolicy().(router.Stream); !streaming || answer.Status() >= http.StatusBadRequest {
		if err := answer.Buffer(exchanger.MaxBuffered); err != nil {
			return lost{err}
		}
	}
	return answered{answer}
}

// observe records what the endpoint says of itself in an answer.
func (c *callState) observe(e *tracker.Endpoint, m exchanger.Meta) {
	if m.Leaving() && !e.Leaving() {
		e.RecordLeaving()
		c.logEvent("endpoint-leaving", e)
	}
	if d := m.Pause(); d > 0 {
		e.Pause(d)
		c.logEvent("endpoint-paused", e, logger.With(logger.KeyWait, d.Milliseconds()))
	}
	limit := tracker.NewNoLimit(time.Now())
	rate, named := m.Limit()
	if named {
		limit = tracker.NewLimit(rate, time.Now())
	}
	if c.relayer.permitter.ObserveLimit(e, limit) {
		c.logEvent("limit-changed", e, logger.With(logger.KeyLimit, rate), logger.With(logger.KeyHeld, named))
	}
}

func (c *callState) outbound(choice selector.Choice) *exchanger.Outbound {
	opts := []exchanger.OutboundOption{}
	if c.claimed != nil {
		opts = append(opts, exchanger.OnBegin(c.unclaim))
	}
	if c.call.Service().EngineSpec() != nil {
		opts = append(opts, exchanger.WithPriority(c.call.Priority()))
		if choice.MinVersion() > 0 {
			// The engine may have a newer version than this host knows of.
			opts = append(opts, exchanger.ExpectVersion(max(choice.MinVersion(), c.version)))
		}
	}
	if c.call.Table().HasWorkspaces() {
		name := ""
		if w := c.call.Workspace(); w != nil {
			name = w.Name()
		}
		opts = append(opts, exchanger.ForWorkspace(name))
	}
	if c.lastEventID != "" {
		opts = append(opts, exchanger.ResumeAfter(c.lastEventID))
	}
	return exchanger.NewOutbound(c.call.Call, choice.Endpoint().ID(), c.call.Deadline(), opts...)
}

// sendTimeout returns how long idempotent work may take before it is sent to
// another endpoint, or 0 if only the deadline limits it.
func (c *callState) sendTimeout() time.Duration {
	if _, ok := c.call.Route().RepeatPolicy().(router.Idempotent); !ok || !c.anotherAllowed() {
		return 0
	}
	share := time.Duration(float64(c.call.Route().Objective()) * sendTimeoutShare)
	return max(share, minSendTimeout)
}

// anotherThan returns a function that reports whether the call could be sent to an endpoint
// other than e and those that are excluded now. It may be called by any goroutine.
func (c *callState) anotherThan(e *tracker.Endpoint) func() bool {
	excluded := maps.Clone(c.excluded)
	maxWait := c.maxLimitWait()
	return func() bool {
		now := time.Now()
		return c.relayer.chooser.AnyLeft(c.call.Routed, func(other *tracker.Endpoint) bool {
			return other == e || excluded[other] || other.UntilTurn(now) > maxWait
		})
	}
}

// anotherAllowed reports whether the route allows one more endpoint after the next
// send.
func (c *callState) anotherAllowed() bool { return len(c.sent)+1 < c.call.Route().MaxAttempts() }

func (c *callState) maxIdle() time.Duration {
	if _, ok := c.call.Route().RepeatPolicy().(router.AtMostOnce); ok {
		return maxIdleAtMostOnce
	}
	return maxIdle
}

// connections returns this host's share of the connections that an endpoint
// accepts.
func (c *callState) connections() int {
	return max(c.call.Service().MaxConnections()/max(c.relayer.hostCount(), 1), 2)
}
