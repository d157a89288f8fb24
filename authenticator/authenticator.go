package authenticator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// maxWait is the maximum time that a call waits for a read of the configuration.
	maxWait = 300 * time.Millisecond
	// maxWaiting is the maximum number of calls that wait at a time. Each keeps its body
	// in memory.
	maxWaiting = 256

	// retryAfterShare is the retry delay of a call whose key could not be checked, as a
	// share of its remaining time. Callers comply with delays of up to a third of it.
	retryAfterShare  = 0.14
	retryAfterJitter = 0.5
	minRetryAfter    = 250 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
)

// Authenticator is the stage of the request pipeline that assigns calls to workspaces.
// It is safe for concurrent use.
type Authenticator struct {
	router  chainer.Filter[*router.Call, *router.Routed]
	reads   *reads
	waiting atomic.Int32
	log     *logger.Logger
}

// New returns an authenticator. It routes a call again with r after the configuration
// was read with s.
func New(r chainer.Filter[*router.Call, *router.Routed], s Refresher, log *logger.Logger) *Authenticator {
	log = log.Component("authenticator")
	return &Authenticator{router: r, reads: &reads{source: s, log: log}, log: log}
}

// verdict is what a table of routes says of the key of a call: admitted, missing, revoked
// or unknown.
type verdict interface{ verdict() }

type (
	// admitted holds the call with its workspace, or without one if it needs no key.
	admitted struct{ call *router.Routed }
	missing  struct{}
	revoked  struct{}
	unknown  struct{}
)

func (admitted) verdict() {}
func (missing) verdict()  {}
func (revoked) verdict()  {}
func (unknown) verdict()  {}

// judge checks the key of a call against the table that the call was routed with.
func judge(r *router.Routed) verdict {
	if !r.Table().HasWorkspaces() || r.Route().Keyless() {
		return admitted{r}
	}
	if r.Key() == "" {
		return missing{}
	}
	if w := r.Table().WorkspaceByKey(r.Key()); w != nil {
		return admitted{r.WithWorkspace(w)}
	}
	if r.Table().KeyRevoked(r.Key()) {
		return revoked{}
	}
	return unknown{}
}

// Apply assigns a call to the workspace of its key. It refuses a call without a key,
// and one with a key that the store's configuration does not contain.
func (a *Authenticator) Apply(ctx context.Context, r *router.Routed) (*router.Routed, error) {
	var err error
	switch v := judge(r).(type) {
	case admitted:
		return v.call, nil
	case missing:
		return nil, a.refuseMissing(r)
	case revoked:
		// The key may have been issued again. Other calls with revoked keys do not wait for
		// this read, so that they cannot take the places of those with new keys.
		next := a.reads.joinForRevoked()
		if next == nil {
			return nil, a.refuseUnknown(r)
		}
		err = await(ctx, r, next.wait)
	case unknown:
		err = a.refresh(ctx, r)
	}
	if ctx.Err() != nil {
		return nil, classifier.NewCanceled("the caller went away")
	}
	// The configuration in force may be newer also if the read failed.
	again, routeErr := a.router.Apply(ctx, r.Call)
	if routeErr != nil {
		return nil, routeErr // a fault with its own context
	}
	switch v := judge(again).(type) {
	case admitted:
		return v.call, nil
	case missing:
		return nil, a.refuseMissing(r)
	}
	if err != nil && !a.reads.confirmed(r.Received()) {
		return nil, a.refuseUnchecked(r, err)
	}
	return nil, a.refuseUnknown(again)
}

// refuseUnknown refuses a call whose key the configuration does not contain.
func (a *Authenticator) refuseUnknown(r *router.Routed) error {
	a.log.Info("key-unknown", logger.Request(r.ID()), logger.With(logger.KeyVersion, r.Table().Version()))
	return classifier.NewUnauthorized("the key is not known")
}

// refresh returns once the configuration has been read by a read that began after the
// call arrived.
func (a *Authenticator) refresh(ctx context.Context, r *router.Routed) error {
	defer a.waiting.Add(-1)
	if a.waiting.Add(1) > maxWaiting {
		return errTooManyWaiting
	}
	return await(ctx, r, func(ctx context.Context) error { return a.reads.await(ctx, r.Received()) })
}

// await waits for a read of the configuration for as long as the call may.
func await(ctx context.Context, r *router.Routed, wait func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, min(maxWait, r.Remaining()))
	defer cancel()
	return wait(ctx)
}

func (a *Authenticator) refuseMissing(r *router.Routed) error {
	a.log.Info("key-missing", logger.Request(r.ID()), logger.With(logger.KeyVersion, r.Table().Version()))
	return classifier.NewUnauthorized("a key is required")
}

func (a *Authenticator) refuseUnchecked(r *router.Routed, cause error) error {
	a.log.Info("key-not-checked", logger.Request(r.ID()), logger.With(logger.KeyVersion, r.Table().Version()), logger.Err(cause))
	return classifier.NewUnavailable("the key cannot be checked now", classifier.RetryAfter(retryAfter(r)), classifier.Cause(cause))
}

// retryAfter returns the delay after which the caller may retry, with jitter, so that
// callers do not retry at the same time.
func retryAfter(r *router.Routed) time.Duration {
	wait := max(time.Duration(float64(r.Remaining())*retryAfterShare), minRetryAfter)
	return min(wait, maxRetryAfter) + time.Duration(rand.Float64()*retryAfterJitter*float64(minRetryAfter))
}
