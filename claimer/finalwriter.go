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

func (s *finalWriter) add(key string, rec record) {
	s.mu.Lock()
	s.queue = append(s.queue, finalWrite{key: key, rec: rec})
	if len(s.queue) > maxFinalWrites {
		s.queue = s.queue[len(s.queue)-maxFinalWrites:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *finalWriter) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for !s.writeAll(ctx) {
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
func (s *finalWriter) writeAll(ctx context.Context) bool {
	s.mu.Lock()
	batch := s.queue
	s.queue = nil
	s.mu.Unlock()
	for i, final := range batch {
		if s.write(ctx, final) {
			continue
		}
		s.mu.Lock()
		s.queue = append(batch[i:len(batch):len(batch)], s.queue...)
		s.mu.Unlock()
		return false
	}
	return true
}

// write stores a final state unless the row has moved on. It reports whether the
// entry is handled and need not be retried.
func (s *finalWriter) write(ctx context.Context, final finalWrite) bool {
	row, err := s.claimer.get(ctx, final.key)
	if err != nil {
		return errors.Is(err, storer.ErrNotFound)
	}
	rec, err := decodeRecord(row.Value())
	if err != nil || rec.Attempt != final.rec.Attempt || rec.finished() {
		return true
	}
	_, err = s.claimer.put(ctx, final.key, final.rec, row.Version())
	return err == nil || errors.Is(err, storer.ErrConflict)
}
