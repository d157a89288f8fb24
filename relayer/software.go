package relayer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// recordTimeout limits the time for which the first event of a stream waits until the
// version at which it began is known to others.
const recordTimeout = time.Second

// errNotRecorded reports a stream that was aborted before its first event, because the
// version at which it began may be lost with this host.
var errNotRecorded = eris.New("the software version that began the stream could not be recorded")

// otherSoftware reports whether the call is a stream that began at another version of the
// endpoint's software.
func (c *callState) otherSoftware(e *tracker.Endpoint) bool {
	return c.software != "" && e.Software() != c.software
}

// avoidsSoftware reports whether the call is a stream that must not begin at an endpoint, or
// should not while others can take it.
func (c *callState) avoidsSoftware(e *tracker.Endpoint) bool {
	if !c.choosesSoftware() {
		return false
	}
	switch c.relayer.streams.Beginning(c.call.Service().Name(), e.Software()).(type) {
	case pinner.Barred:
		return true
	case pinner.Avoided:
		c.avoidedAny = c.avoidedAny || !c.anySoftware
		return !c.anySoftware
	}
	return false
}

// choosesSoftware reports whether the call is a stream that begins at this host and that
// its caller may resume at another one.
func (c *callState) choosesSoftware() bool {
	stream, ok := c.call.Route().RepeatPolicy().(router.Stream)
	return ok && stream.Resumable() && c.call.LastEvent() == "" && c.software == ""
}

// allowAnySoftware lets a stream begin at endpoints that it has avoided, because no other
// one can take it. It reports false if there are none, or if it did so before.
func (c *callState) allowAnySoftware() bool {
	if c.anySoftware || !c.avoidedAny || !c.choosesSoftware() {
		return false
	}
	c.anySoftware = true
	c.declines, c.queues = 0, 0
	return true
}

// pinResumed restricts a stream that the caller resumes to the endpoints whose software
// has the version at which it began. It returns a fault if that version is not known.
func (c *callState) pinResumed() error {
	stream, ok := c.call.Route().RepeatPolicy().(router.Stream)
	if !ok || !stream.Resumable() || c.call.LastEvent() == "" {
		return nil
	}
	switch v := c.relayer.streams.Resolve(c.ctx, c.call.Service().Name(), c.call.Resumes()).(type) {
	case pinner.Only:
		c.software = v.Version()
		c.relayer.log.Info("stream-pinned", logger.Request(c.call.ID()), logger.With(logger.KeySoftware, c.software))
	case pinner.Undecided:
		c.relayer.log.Info("stream-version-unknown", logger.Request(c.call.ID()), logger.With(logger.KeyService, c.call.Service().Name()))
		return classifier.NewUnavailable("the software version that began the stream is not known now", classifier.RetryAfter(c.retryAfter(0)))
	case pinner.Anywhere:
	}
	return nil
}

// pinBegun restricts the stream to endpoints of one software version, and records that it
// began there. The caller of a stream gets no event before the record outlives this host,
// because it may resume the stream at another one. After an error the stream has to be
// aborted: the record may become known, so that the call must not run at another version.
func (c *callState) pinBegun(e *tracker.Endpoint) error {
	if c.software != "" || e.Software() == "" {
		return nil
	}
	c.software = e.Software()
	if c.call.LastEvent() != "" {
		return nil // an earlier attempt brought the first event
	}
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	if err := c.relayer.streams.Record(ctx, c.call.Service().Name(), c.call.ID(), c.software); err != nil {
		c.logEvent("stream-not-recorded", e, logger.With(logger.KeySoftware, c.software), logger.Err(err))
		return errNotRecorded
	}
	return nil
}
