package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/selector"
)

const (
	// patienceShare is the part of the objective after which idempotent work is
	// sent to another endpoint.
	patienceShare = 0.7
	minPatience   = 100 * time.Millisecond
	// maxIdleOnce is how long a connection may have been idle for work that may
	// run only once. An endpoint may drop an older one without notice, and the
	// call that finds out has an unknown outcome.
	maxIdleOnce = time.Second
	maxIdle     = time.Minute
	// maxBuffered bounds what is read of an answer before it is passed on, in
	// bytes. A longer one is passed on as it arrives.
	maxBuffered = 256 << 10
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
	if c.abort != nil {
		c.abort(nil) // the send before is over
	}
	ctx, abort := context.WithCancelCause(c.ctx)
	c.abort = abort // the latest one ends with the call's own context
	if patience := c.patience(); patience > 0 && c.sends+1 < maxSends {
		timer := time.AfterFunc(patience, func() {
			// A slow endpoint is given up only if another one may be tried.
			if c.relayer.ration.AllowRepeat(c.call.Service().Name()) {
				c.leave.Store(true)
				abort(errSlow)
			}
		})
		defer timer.Stop()
	}
	c.sentAt = time.Now()
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
	if _, live := c.call.Route().RepeatPolicy().(router.Stream); !live {
		if err := answer.Buffer(maxBuffered); err != nil {
			return lost{err}
		}
	}
	return answered{answer}
}

func (c *carriage) outbound(choice selector.Choice) *exchanger.Outbound {
	opts := []exchanger.OutboundOption{}
	if c.call.Service().EngineSpec() != nil {
		if choice.MinVersion() > 0 {
			// The endpoint may know of a newer version than this host.
			opts = append(opts, exchanger.ExpectVersion(max(choice.MinVersion(), c.version)))
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
	if _, ok := c.call.Route().RepeatPolicy().(router.Idempotent); !ok || !c.another() {
		return 0
	}
	share := time.Duration(float64(c.call.Route().Objective()) * patienceShare)
	return max(share, minPatience)
}

// another reports whether the route allows one more endpoint after the next send.
func (c *carriage) another() bool { return len(c.sent)+1 < c.call.Route().MaxAttempts() }

func (c *carriage) maxIdle() time.Duration {
	if _, ok := c.call.Route().RepeatPolicy().(router.AtMostOnce); ok {
		return maxIdleOnce
	}
	return maxIdle
}

// connections returns this host's share of the connections that an endpoint
// accepts.
func (c *carriage) connections() int {
	return max(c.call.Service().MaxConnections()/max(c.relayer.hosts(), 1), 2)
}
