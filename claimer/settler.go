package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// settlement is the last state of an attempt whose write failed.
type settlement struct {
	key string
	rec record
}

// settler stores last states once the table answers again, so that repeats of
// the keys do not have to wait. What it forgets costs only time.
type settler struct {
	claimer *Claimer
	wake    chan struct{}

	mu    sync.Mutex
	queue []settlement
}

func newSettler(c *Claimer) *settler {
	return &settler{claimer: c, wake: make(chan struct{}, 1)}
}

func (s *settler) add(key string, rec record) {
	s.mu.Lock()
	s.queue = append(s.queue, settlement{key: key, rec: rec})
	if len(s.queue) > maxSettlements {
		s.queue = s.queue[len(s.queue)-maxSettlements:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *settler) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for !s.drain(ctx) {
			select {
			case <-time.After(settleInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// drain settles all that wait and reports whether none is left.
func (s *settler) drain(ctx context.Context) bool {
	s.mu.Lock()
	batch := s.queue
	s.queue = nil
	s.mu.Unlock()
	for i, one := range batch {
		if s.settle(ctx, one) {
			continue
		}
		s.mu.Lock()
		s.queue = append(batch[i:len(batch):len(batch)], s.queue...)
		s.mu.Unlock()
		return false
	}
	return true
}

// settle reports whether nothing is left to do for a settlement.
func (s *settler) settle(ctx context.Context, one settlement) bool {
	row, err := s.claimer.get(ctx, one.key)
	if err != nil {
		return errors.Is(err, storer.ErrNotFound)
	}
	rec, err := decodeRecord(row.Value())
	if err != nil || rec.Attempt != one.rec.Attempt || rec.finished() {
		return true
	}
	_, err = s.claimer.put(ctx, one.key, one.rec, row.Version())
	return err == nil || errors.Is(err, storer.ErrConflict)
}
