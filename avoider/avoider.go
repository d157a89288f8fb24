// Package avoider remembers the hosts that did not answer a request, so that the next
// calls do not wait for them.
package avoider

import (
	"context"
	"sync"
	"time"
)

// backoff is how long no requests are sent to a host that did not answer.
const backoff = time.Second

// Avoider holds the hosts that did not answer. The zero value is ready for use, also
// concurrently.
type Avoider struct {
	failures sync.Map // host name → time.Time of the last request without an answer
}

// RecordFailure records that a host did not answer.
func (a *Avoider) RecordFailure(host string) { a.failures.Store(host, time.Now()) }

// Avoids reports whether a host failed to answer within the backoff.
func (a *Avoider) Avoids(host string) bool {
	at, ok := a.failures.Load(host)
	if !ok {
		return false
	}
	if time.Since(at.(time.Time)) < backoff {
		return true
	}
	a.failures.CompareAndDelete(host, at)
	return false
}

// Do sends a request to a host, which has to answer within the timeout. It records a failure
// unless the caller gave up earlier.
func (a *Avoider) Do(ctx context.Context, host string, timeout time.Duration, send func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := send(limited)
	if err != nil && ctx.Err() == nil {
		a.RecordFailure(host)
	}
	return err
}
