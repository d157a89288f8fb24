package poller

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
)

// firstRetry is the time between the beginnings of a call that failed and of the next one. A
// store that refuses calls at once would otherwise get several a second from each host.
const firstRetry = 200 * time.Millisecond

// backoff spaces calls after failures. It is used by the goroutine of the follower only.
type backoff struct {
	interval time.Duration // 0 if the last call succeeded
	next     time.Time     // beginning of the next call at the earliest
}

// await blocks until the next call may begin.
func (b *backoff) await(ctx context.Context) error {
	if b.interval == 0 {
		return nil
	}
	if err := sleeper.Sleep(ctx, time.Until(b.next)); err != nil {
		return fmt.Errorf("wait for the next call: %w", err)
	}
	b.next = time.Now()
	return nil
}

// fail records that a call has failed. The interval doubles, up to maxInterval.
func (b *backoff) fail(maxInterval time.Duration) {
	began := b.next
	if b.interval == 0 {
		began = time.Now()
	}
	b.interval = min(max(2*b.interval, firstRetry), maxInterval)
	b.next = began.Add(b.interval)
}

// reset records that a call has succeeded.
func (b *backoff) reset() { b.interval = 0 }
