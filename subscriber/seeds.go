package subscriber

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// copyFromSeeds returns the youngest copy of the seeds. While the store does not answer anybody,
// all copies are older than the maximum age, and a host without one refuses all calls.
func (s *Subscriber) copyFromSeeds(ctx context.Context) (storer.Changes, bool) {
	var (
		mu       sync.Mutex
		running  sync.WaitGroup
		youngest mirrorer.Copy
		source   string
	)
	began := time.Now()
	for _, seed := range s.seeds {
		running.Go(func() {
			limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
			defer cancel()
			copied, err := s.remote.Snapshot(limited, seed.address, s.table)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && (source == "" || copied.Age() < youngest.Age()) {
				youngest, source = copied, seed.name
			}
		})
	}
	running.Wait()
	if source == "" {
		return storer.Changes{}, false
	}
	age := youngest.Age() + time.Since(began)
	s.log.Warn("table-copied-from-seed", logger.With(logger.KeyDependency, s.table), logger.With(logger.KeyPeer, source),
		logger.With(logger.KeyAge, age.Milliseconds()))
	return youngest.Changes().Aged(age), true
}
