package archiver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// maxQueued limits the records that wait for the store.
	maxQueued = 4096
	// maxBatch limits the records of one write.
	maxBatch = 50
	// retryDelay is the time between two attempts to write.
	retryDelay = 200 * time.Millisecond
)

var errQueueFull = eris.New("too many records wait for the store")

// recordDocument is the value of the row of a stream.
type recordDocument struct {
	Version string `cbor:"1,keyasint"`
}

// record is a record that waits for the store.
type record struct {
	replicator.Record
	queued time.Time
	stored chan struct{} // closed when the store has it
}

func newRecord(r replicator.Record) *record {
	return &record{Record: r, queued: time.Now(), stored: make(chan struct{})}
}

// await returns nil once the store has the record.
func (r *record) await(ctx context.Context) error {
	select {
	case <-r.stored:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("store software version of a stream: %w", context.Cause(ctx))
	}
}

// queue holds the records that are not stored yet. Those that arrive while a write is
// under way are written together.
type queue struct {
	store   func(ctx context.Context, batch []*record) error
	arrived chan struct{}
	mu      sync.Mutex
	waiting []*record
	byKey   map[string]*record
}

func newQueue(store func(ctx context.Context, batch []*record) error) *queue {
	return &queue{store: store, arrived: make(chan struct{}, 1), byKey: make(map[string]*record)}
}

// add queues a record unless it waits already.
func (q *queue) add(r *record) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.byKey[r.Key()]; known {
		return nil
	}
	if len(q.waiting) >= maxQueued {
		return errQueueFull
	}
	q.waiting = append(q.waiting, r)
	q.byKey[r.Key()] = r
	select {
	case q.arrived <- struct{}{}:
	default: // a signal is already pending
	}
	return nil
}

// find returns the record with a key that is not stored yet.
func (q *queue) find(key string) (*record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.byKey[key]
	return r, ok
}

// lateAfter is the age of a waiting record from which the store counts as not storing.
const lateAfter = 600 * time.Millisecond

// late reports whether a record has waited for long.
func (q *queue) late(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && now.Sub(q.waiting[0].queued) > lateAfter
}

// run writes the records that arrive until ctx is done.
func (q *queue) run(ctx context.Context) {
	for {
		select {
		case <-q.arrived:
		case <-ctx.Done():
			return
		}
		for size := maxBatch; ; {
			batch := q.next(size)
			if len(batch) == 0 {
				break
			}
			err := q.store(ctx, batch)
			switch {
			case err == nil:
				q.remove(batch)
				for _, r := range batch {
					close(r.stored)
				}
				continue
			case rejected(err) && len(batch) == 1:
				q.remove(batch) // it would be rejected again; whoever waits for it gives up
			case rejected(err):
				size = 1
			}
			if sleeper.Sleep(ctx, retryDelay) != nil {
				return
			}
		}
	}
}

// rejected reports whether the store would reject the same write again.
func rejected(err error) bool {
	return errors.Is(err, storer.ErrTooLarge) || errors.Is(err, storer.ErrRejected)
}

// next returns the first records, up to a number.
func (q *queue) next(size int) []*record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]*record(nil), q.waiting[:min(len(q.waiting), size)]...)
}

// remove removes the first records.
func (q *queue) remove(batch []*record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append([]*record(nil), q.waiting[len(batch):]...)
	for _, r := range batch {
		delete(q.byKey, r.Key())
	}
}
