package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// finalWrite is the final state of an attempt that is still to be stored.
type finalWrite struct {
	key string
	rec record
}

// finalWriter stores final states in the background and retries until the table
// answers, so that repeats of the keys do not have to wait. When the queue is full
// it drops the oldest entries; repeats of their keys then wait longer.
type finalWriter struct {
	claimer *Claimer
	wake    chan struct{}

	mu    sync.Mutex
	queue []finalWrite
}

func newFinalWriter(c *Claimer) *finalWriter {
	return &finalWriter{claimer: c, wake: make(chan struct{}, 1)}
}

func (w *finalWriter) add(key string, rec record) {
	w.mu.Lock()
	w.queue = append(w.queue, finalWrite{key: key, rec: rec})
	if len(w.queue) > maxFinalWrites {
		w.queue = w.queue[len(w.queue)-maxFinalWrites:]
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *finalWriter) run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		for !w.writeAll(ctx) {
			select {
			case <-time.After(finalWriteRetry):
			case <-ctx.Done():
				return
			}
		}
	}
}

// writeAll stores the queued states in order and stops at the first that fails. It
// reports whether all were handled.
func (w *finalWriter) writeAll(ctx context.Context) bool {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	for i, final := range batch {
		if w.write(ctx, final) {
			continue
		}
		w.mu.Lock()
		w.queue = append(batch[i:len(batch):len(batch)], w.queue...)
		w.mu.Unlock()
		return false
	}
	return true
}

// write stores a final state unless the row belongs to another attempt or already
// has a final state. It reports whether the entry is handled and need not be
// retried.
func (w *finalWriter) write(ctx context.Context, final finalWrite) bool {
	row, err := w.claimer.get(ctx, final.key)
	if err != nil {
		return errors.Is(err, storer.ErrNotFound)
	}
	rec, err := decodeRecord(row.Value())
	if err != nil || rec.Attempt != final.rec.Attempt || rec.finished() {
		return true
	}
	_, err = w.claimer.put(ctx, final.key, final.rec, row.Version())
	return err == nil || errors.Is(err, storer.ErrConflict)
}
