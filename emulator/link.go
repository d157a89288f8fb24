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
	errAbandoned       = eris.New("caller gave up while the request was in transit")
	errDown            = eris.New("fake is down")
	errResponseDropped = eris.New("response was dropped")
)

// newRandom returns a random source that depends only on the seed.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// link simulates the connection to a fake: the latency and the faults that
// affect each request.
type link struct {
	latency time.Duration

	mu     sync.Mutex
	random *rand.Rand
	down   bool
	slow   time.Duration
	drop   chance
	cross  chance
}

func newLink(s *settings) *link {
	return &link{latency: s.latency, random: newRandom(s.seed)}
}

// inject adds a fault of the connection. It reports false for other faults.
func (l *link) inject(f Fault) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch f := f.(type) {
	case Down:
		l.down = true
	case Slow:
		l.slow = f.by
	case AnswerLost:
		l.drop = f.chance
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
	l.drop = chance{}
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

// deliver simulates the transit of a request to the fake. After errAbandoned
// the request may still take effect, as deliveredLate reports; after any other
// error it has not reached the fake.
func (l *link) deliver(ctx context.Context) error {
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

// deliveredLate reports whether a request reaches the fake although deliver
// failed with err. Both happen in practice, so the choice is random.
func (l *link) deliveredLate(err error) bool {
	if !errors.Is(err, errAbandoned) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(2) == 0
}

// endpointSendError returns the error that the client of an engine or service
// reports after deliver failed with err.
func endpointSendError(err error) error {
	if errors.Is(err, errAbandoned) {
		return connector.ErrBroken
	}
	return connector.ErrRefused
}

// platformWriteError is the counterpart of endpointSendError for writes to the
// platform.
func platformWriteError(err error) error {
	if errors.Is(err, errAbandoned) {
		return storer.ErrUncertain
	}
	return storer.ErrUnavailable
}

// respond simulates the transit of a response. After an error the response is
// lost.
func (l *link) respond(ctx context.Context) error {
	if err := sleeper.Sleep(ctx, l.latency); err != nil {
		return err
	}
	if l.isDown() {
		return errDown
	}
	return nil
}

// respondToWrite is respond for requests that have an effect. AnswerLost
// affects only these.
func (l *link) respondToWrite(ctx context.Context) error {
	l.mu.Lock()
	hit := l.drop.hit(l.random)
	l.mu.Unlock()
	if hit {
		return errResponseDropped
	}
	return l.respond(ctx)
}

// crosses reports whether Crossed affects the next response.
func (l *link) crosses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cross.hit(l.random)
}

// pacer limits events to a rate and spaces them evenly. The zero value has no
// limit.
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

// reserve takes the next time slot and returns how long to wait for it.
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
