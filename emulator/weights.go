package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// WeightStore is a fake of the store that engines load adapters from. The loads
// in flight share its bandwidth evenly.
type WeightStore struct {
	loadTime  time.Duration
	fullSpeed int

	mu       sync.Mutex
	random   *rand.Rand
	pace     pacer
	down     bool
	slow     time.Duration
	fails    chance
	inFlight int
	peak     int
	loads    int
	failed   int
	progress time.Duration // progress since the start of a load that never ends
	advanced time.Time     // time of the last update of progress
	changed  chan struct{} // closed when the speed changes
}

// NewWeightStore returns a weight store.
func NewWeightStore(opts ...Option) *WeightStore {
	s := newSettings(opts)
	return &WeightStore{
		loadTime:  s.loadTime,
		fullSpeed: s.fullSpeed,
		random:    newRandom(s.seed),
		pace:      newPacer(s.loadRate),
		advanced:  time.Now(),
		changed:   make(chan struct{}),
	}
}

// Inject adds a fault: Down, Slow or LoadFails.
func (w *WeightStore) Inject(f Fault) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch f := f.(type) {
	case Down:
		w.down = true
	case Slow:
		w.slow = f.by
	case LoadFails:
		w.fails = f.chance
	default:
		return &UnsupportedFaultError{fake: "weight store", fault: f}
	}
	return nil
}

// Clear ends all faults.
func (w *WeightStore) Clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
	w.slow = 0
	w.fails = chance{}
}

// Load reads the weights of m. It returns when they are loaded.
func (w *WeightStore) Load(ctx context.Context, m connector.Model) error {
	w.mu.Lock()
	wait := w.pace.reserve(time.Now()) + w.slow
	w.mu.Unlock()
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return fmt.Errorf("wait to load %s: %w", m, err)
	}
	target, fails := w.begin()
	defer w.end()
	for {
		rest, changed := w.remaining(target)
		if rest <= 0 {
			break
		}
		if err := sleepOrSignal(ctx, rest, changed); err != nil {
			return fmt.Errorf("load %s: %w", m, err)
		}
	}
	if fails {
		return fmt.Errorf("load %s: %w", m, connector.ErrLoadFailed)
	}
	return nil
}

// sleepOrSignal waits for d, for a signal or for the end of ctx.
func sleepOrSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// begin registers a load and returns the progress at which it is complete.
func (w *WeightStore) begin() (target time.Duration, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.setInFlight(w.inFlight + 1)
	w.peak = max(w.peak, w.inFlight)
	w.loads++
	fails = w.down || w.fails.hit(w.random)
	if fails {
		w.failed++
	}
	return w.progress + w.loadTime, fails
}

func (w *WeightStore) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.setInFlight(w.inFlight - 1)
}

// advance updates progress. The caller holds the mutex.
func (w *WeightStore) advance() {
	now := time.Now()
	w.progress += time.Duration(float64(now.Sub(w.advanced)) / w.slowdown())
	w.advanced = now
}

func (w *WeightStore) slowdown() float64 {
	return max(1, float64(w.inFlight)/float64(w.fullSpeed))
}

func (w *WeightStore) setInFlight(n int) {
	before := w.slowdown()
	w.inFlight = n
	if w.slowdown() != before {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// remaining returns the time until target at the current speed, and a channel
// that is closed when the speed changes.
func (w *WeightStore) remaining(target time.Duration) (time.Duration, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	rest := float64(target-w.progress) * w.slowdown()
	return time.Duration(rest), w.changed
}

// Loads returns how many loads were started.
func (w *WeightStore) Loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads
}

// Failed returns how many loads were made to fail.
func (w *WeightStore) Failed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// PeakInFlight returns the largest number of loads at one time.
func (w *WeightStore) PeakInFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}
