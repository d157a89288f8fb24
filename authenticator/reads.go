package authenticator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/logger"
)

// Refresher reads the configuration.
type Refresher interface {
	// Refresh reads the configuration at the store and puts it in force if it is newer
	// than the one in force. It returns nil only if the store answered. It calls onAnswer
	// when the answer begins to arrive, and gives up by itself if that stops.
	Refresh(ctx context.Context, onAnswer func()) error
}

const (
	// readInterval is the time between the beginnings of two reads, so that clients with
	// random keys cause at most four a second.
	readInterval = 250 * time.Millisecond
	// readTimeout bounds the time until the answer to a read begins. While a read gets no
	// answer, no other one begins.
	readTimeout = time.Second
	// transferTimeout bounds a read as a whole. Over a narrow link, a large configuration
	// takes seconds.
	transferTimeout = 15 * time.Second
	// revokedInterval is the time between the beginnings of two reads that calls with
	// revoked keys cause, so that these take at most one in four of the reads.
	revokedInterval = time.Second
)

var errTooManyWaiting = eris.New("too many calls wait for the configuration")

// read is one read of the configuration that several calls wait for.
type read struct {
	begun time.Time     // zero until the read begins; guarded by the mutex of reads
	done  chan struct{} // closed when the read has ended
	err   error         // valid after done is closed
}

// wait returns once the read has ended.
func (n *read) wait(ctx context.Context) error {
	select {
	case <-n.done:
		return n.err
	case <-ctx.Done():
		return fmt.Errorf("wait for the configuration: %w", ctx.Err())
	}
}

// reads runs the reads of the configuration one after the other. A configuration that is
// stored during a read may be missing in its answer, so that a call waits for a read that
// begins after its arrival.
type reads struct {
	source Refresher
	log    *logger.Logger

	mu          sync.Mutex
	next        *read     // has not begun; nil if no call waits for one
	forRevoked  *read     // the latest one that a call with a revoked key caused
	running     bool      // the goroutine runs
	begun       time.Time // beginning of the latest read
	confirmedAt time.Time // beginning of the latest read that succeeded
}

// confirmed reports whether a read that began at or after since has succeeded.
func (r *reads) confirmed(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmedAt.Before(since)
}

// await returns once a read that began at or after since has ended.
func (r *reads) await(ctx context.Context, since time.Time) error {
	if r.confirmed(since) {
		return nil
	}
	return r.join().wait(ctx)
}

// join returns the next read that begins.
func (r *reads) join() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joinLocked()
}

// joinForRevoked returns the next read that begins, for a call with a revoked key. It
// returns nil if another such call waits for one or caused one within revokedInterval.
func (r *reads) joinForRevoked() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.forRevoked; n != nil && (n.begun.IsZero() || time.Since(n.begun) < revokedInterval) {
		return nil
	}
	r.forRevoked = r.joinLocked()
	return r.forRevoked
}

// joinLocked returns the next read that begins. It requires mu.
func (r *reads) joinLocked() *read {
	if r.next == nil {
		r.next = &read{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.next
}

// run reads the configuration until no call waits for it.
func (r *reads) run() {
	for {
		n, wait := r.begin()
		switch {
		case wait > 0:
			time.Sleep(wait)
		case n == nil:
			return
		default:
			r.perform(n)
		}
	}
}

// begin returns the read to perform now, the time until the next one may begin, or
// neither if no call waits for one.
func (r *reads) begin() (*read, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.running = false
		return nil, 0
	}
	now := time.Now()
	if wait := readInterval - now.Sub(r.begun); wait > 0 {
		return nil, wait
	}
	n := r.next
	n.begun = now
	r.next, r.begun = nil, now
	return n, 0
}

func (r *reads) perform(n *read) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	unanswered := time.AfterFunc(readTimeout, cancel)
	defer unanswered.Stop()
	began := time.Now()
	n.err = r.source.Refresh(ctx, func() { unanswered.Stop() })
	if n.err != nil {
		r.log.Warn("configuration-not-read", logger.With(logger.KeyDuration, time.Since(began).Milliseconds()), logger.Err(n.err))
	}
	r.mu.Lock()
	if n.err == nil {
		r.confirmedAt = r.begun
	}
	r.mu.Unlock()
	close(n.done)
}
