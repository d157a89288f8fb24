package relayer

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// recordTimeout limits the time for which the first event of a stream waits until the
// version at which it began is stored.
const recordTimeout = time.Second

// otherSoftware reports whether the call is a stream that began at another version of the
// endpoint's software.
func (c *callState) otherSoftware(e *tracker.Endpoint) bool {
	return c.software != "" && e.Software() != c.software
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
// began there. The caller of a stream gets no event before that is stored, because it may
// resume the stream at another host.
func (c *callState) pinBegun(e *tracker.Endpoint) {
	if c.software != "" || e.Software() == "" {
		return
	}
	c.software = e.Software()
	if c.call.LastEvent() != "" {
		return // an earlier attempt brought the first event
	}
	ctx, cancel := context.WithTimeout(c.ctx, recordTimeout)
	defer cancel()
	if err := c.relayer.streams.Record(ctx, c.call.Service().Name(), c.call.ID(), c.software); err != nil {
		c.logEvent("stream-not-recorded", e, logger.With(logger.KeySoftware, c.software), logger.Err(err))
	}
}
