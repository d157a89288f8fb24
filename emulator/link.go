package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

var (
	errAbandoned  = eris.New("the caller gave up while the request was on its way")
	errDown       = eris.New("the fake is down")
	errAnswerLost = eris.New("the answer was lost")
)

// newRandom returns a source whose sequence depends on the seed alone.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// link is the way to a fake: the latency and the faults that each request
// meets.
type link struct {
	latency time.Duration

	mu     sync.Mutex
	random *rand.Rand
	down   bool
	slow   time.Duration
	lost   chance
	cross  chance
}

func newLink(s *settings) *link {
	return &link{latency: s.latency, random: newRandom(s.seed)}
}

// inject adds a fault that concerns the way to a fake, and reports whether it is
// one.
func (l *link) inject(f Fault) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch f := f.(type) {
	case Down:
		l.down = true
	case Slow:
		l.slow = f.by
	case AnswerLost:
		l.lost = f.chance
	case Crossed:
		l.cross = f.chance
	default:
		return false
	}
	return true
}

func (l *link) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	l.slow = 0
	l.lost = chance{}
	l.cross = chance{}
}

func (l *link) slowBy() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slow
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// arrive carries a request to the fake. After errAbandoned the request may still
// have an effect, as late tells; after any other error it has not reached the
// fake.
func (l *link) arrive(ctx context.Context) error {
	if l.isDown() {
		return errDown
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, l.latency+l.slowBy()); err != nil {
		return fmt.Errorf("%w: %w", errAbandoned, err)
	}
	if l.isDown() {
		return errDown
	}
	return nil
}

// late reports whether a request that failed with err reaches the fake after
// all. Both happen in practice, so the choice is random.
func (l *link) late(err error) bool {
	if !errors.Is(err, errAbandoned) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(2) == 0
}

// undelivered returns what an engine's or service's client can know after an
// error of arrive.
func undelivered(err error) error {
	if errors.Is(err, errAbandoned) {
		return connector.ErrBroken
	}
	return connector.ErrRefused
}

// unwritten is undelivered for writes to the platform.
func unwritten(err error) error {
	if errors.Is(err, errAbandoned) {
		return storer.ErrUncertain
	}
	return storer.ErrUnavailable
}

// answer carries an answer back. After an error the answer is lost.
func (l *link) answer(ctx context.Context) error {
	if err := sleeper.Sleep(ctx, l.latency); err != nil {
		return err
	}
	if l.isDown() {
		return errDown
	}
	return nil
}

// confirm is answer for requests that have an effect; AnswerLost hits only
// these.
func (l *link) confirm(ctx context.Context) error {
	l.mu.Lock()
	hit := l.lost.hit(l.random)
	l.mu.Unlock()
	if hit {
		return errAnswerLost
	}
	return l.answer(ctx)
}

// crosses reports whether the next answer is to be crossed with another.
func (l *link) crosses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cross.hit(l.random)
}

// pacer spaces events evenly. The zero value lets all pass.
type pacer struct {
	interval time.Duration
	next     time.Time
}

func newPacer(perSecond float64) pacer {
	if perSecond <= 0 {
		return pacer{}
	}
	return pacer{interval: time.Duration(float64(time.Second) / perSecond)}
}

// reserve takes the next place and returns how long to wait for it.
func (p *pacer) reserve(now time.Time) time.Duration {
	if p.interval == 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(p.interval)
	return wait
}
