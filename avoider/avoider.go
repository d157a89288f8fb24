// Package avoider remembers the hosts that did not answer a request, so that the next
// calls do not wait for them.
package avoider

import (
	"context"
	"sync"
	"time"
)

// defaultBackoff is how long no requests are sent to a host that did not answer.
const defaultBackoff = time.Second

// Avoider holds the hosts that did not answer. The zero value is ready for use, also
// concurrently.
type Avoider struct {
	backoff  time.Duration // 0 for defaultBackoff
	failures sync.Map      // host name → failure
}

// failure is a period in which a host answered no request.
type failure struct {
	first time.Time // first request without an answer
	last  time.Time
}

// Option sets an optional property of an Avoider.
type Option func(*Avoider)

// WithBackoff sets how long no requests are sent to a host that did not answer.
func WithBackoff(d time.Duration) Option { return func(a *Avoider) { a.backoff = d } }

// New returns an avoider that avoids no host.
func New(opts ...Option) *Avoider {
	a := &Avoider{backoff: defaultBackoff}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// RecordFailure records that a host did not answer.
func (a *Avoider) RecordFailure(host string) {
	f := failure{first: time.Now(), last: time.Now()}
	if known, ok := a.failures.Load(host); ok && !a.expired(known.(failure)) {
		f.first = known.(failure).first
	}
	a.failures.Store(host, f)
}

// RecordAnswer records that a host answered.
func (a *Avoider) RecordAnswer(host string) { a.failures.Delete(host) }

// Avoids reports whether a host failed to answer within the backoff.
func (a *Avoider) Avoids(host string) bool {
	known, ok := a.failures.Load(host)
	if !ok {
		return false
	}
	if a.expired(known.(failure)) {
		a.failures.CompareAndDelete(host, known)
		return false
	}
	return true
}

// expired reports whether a host may be asked again.
func (a *Avoider) expired(f failure) bool {
	backoff := a.backoff
	if backoff == 0 {
		backoff = defaultBackoff
	}
	return time.Since(f.last) >= backoff
}

// FailingFor returns how long a host that is avoided has not answered, or 0 for other hosts.
func (a *Avoider) FailingFor(host string) time.Duration {
	if known, ok := a.failures.Load(host); ok && !a.expired(known.(failure)) {
		return time.Since(known.(failure).first)
	}
	return 0
}

// Do sends a request to a host, which has to answer within the timeout. It records the answer,
// or a failure unless the caller gave up earlier.
func (a *Avoider) Do(ctx context.Context, host string, timeout time.Duration, send func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := send(limited)
	switch {
	case err == nil:
		a.RecordAnswer(host)
	case ctx.Err() == nil:
		a.RecordFailure(host)
	}
	return err
}
