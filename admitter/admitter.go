package admitter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// Admitted is a request that may use the node's resources. Its place is given
// back when the request's context ends.
type Admitted struct {
	*resolver.Resolved
}

// Admitter is the third stage of the request pipeline.
type Admitter struct {
	limit   int64
	running atomic.Int64
}

// New returns an admitter for up to limit requests at a time.
func New(limit int) *Admitter { return &Admitter{limit: int64(limit)} }

// Running returns how many requests hold a place.
func (a *Admitter) Running() int { return int(a.running.Load()) }

const retryWhenFull = time.Second

// Apply admits a request or refuses it at once.
func (a *Admitter) Apply(ctx context.Context, r *resolver.Resolved) (*Admitted, error) {
	if n := a.running.Add(1); n > a.limit {
		a.running.Add(-1)
		return nil, classifier.NewOverloaded(
			fmt.Sprintf("the node runs %d requests, which is its limit", a.limit),
			classifier.RetryAfter(retryWhenFull))
	}
	context.AfterFunc(ctx, func() { a.running.Add(-1) })
	return &Admitted{Resolved: r}, nil
}
