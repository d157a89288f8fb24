package breaker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Defaults of the settings.
const (
	// DefaultTTL is long enough for a caller to send a request again after its own
	// timeouts, and short enough to free an innocent request that was stopped.
	DefaultTTL = 10 * time.Minute
	// DefaultLimit bounds the marks in memory: 16,384 take about 3 MB.
	DefaultLimit = 16384
	// DefaultScan is the time between reads of the marks. Peers hear of marks at
	// once; the rows serve nodes that were not reached.
	DefaultScan = 10 * time.Second
)

// maxCrashes is how many crashes are remembered to ignore repeated reports.
const maxCrashes = 1024

// Peers leads to the other nodes.
type Peers interface {
	// Crash tells the other nodes of marks; their handler is Learn.
	Crash(ctx context.Context, marks []Mark) error
}

// Option sets an optional property of a Breaker.
type Option func(*Breaker)

// WithTTL sets how long a mark lives.
func WithTTL(d time.Duration) Option { return func(b *Breaker) { b.ttl = d } }

// WithLimit bounds the number of marks in memory.
func WithLimit(n int) Option { return func(b *Breaker) { b.limit = n } }

// WithScan sets the time between reads of the stored marks.
func WithScan(d time.Duration) Option { return func(b *Breaker) { b.scanEvery = d } }

// WithPeers tells other nodes of marks.
func WithPeers(p Peers) Option { return func(b *Breaker) { b.peers = p } }

// Breaker holds the crash evidence of a node.
type Breaker struct {
	table     storer.Table
	peers     Peers
	ttl       time.Duration
	limit     int
	scanEvery time.Duration
	marks     *marks
	store     *storeQueue
	tell      *tellQueue
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu      sync.Mutex
	crashes []uint64 // the latest ones, as a ring
	next    int
}

// New returns a breaker and starts it. Close ends it.
func New(table storer.Table, opts ...Option) *Breaker {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Breaker{table: table, ttl: DefaultTTL, limit: DefaultLimit, scanEvery: DefaultScan, cancel: cancel}
	for _, opt := range opts {
		opt(b)
	}
	b.marks = newMarks(b.limit)
	b.store = newStoreQueue(b)
	b.work.Go(func() { b.store.run(ctx) })
	if b.peers != nil {
		b.tell = newTellQueue(b.peers, b.limit)
		b.work.Go(func() { b.tell.run(ctx) })
	}
	return b
}

// Close ends the breaker's goroutines. Marks that are not stored yet stay with
// the peers.
func (b *Breaker) Close() {
	b.cancel()
	b.work.Wait()
}

// Blocked returns why requests with a fingerprint must not run, or nil. It takes
// one atomic load.
func (b *Breaker) Blocked(f receiver.Fingerprint) error {
	if h, ok := b.marks.get(f); ok && h.mark.stopped {
		return classifier.NewStopped("the request crashed two endpoints")
	}
	return nil
}

// Suspect reports whether a request ran on an engine when it crashed, so that no
// other such request may run beside it.
func (b *Breaker) Suspect(f receiver.Fingerprint) bool {
	_, ok := b.marks.get(f)
	return ok
}

// Size returns how many marks are in memory.
func (b *Breaker) Size() int { return b.marks.size() }

// Crashed records the jobs that ran on an engine when its process crashed:
// suspects were marked when they started, and get their second mark; clean ones
// get their first. A clean job whose request was marked in the meantime keeps its
// mark: others ran beside it unmarked, so that the crash does not identify it.
func (b *Breaker) Crashed(engine, instance string, suspects, clean []receiver.Fingerprint) {
	crash := CrashID(engine, instance)
	if !b.firstReport(crash) {
		return
	}
	var news []Mark
	for _, f := range suspects {
		news = append(news, NewMark(f, crash, true))
	}
	for _, f := range clean {
		if !slices.Contains(suspects, f) {
			news = append(news, NewMark(f, crash, false))
		}
	}
	changed := b.merge(news, false)
	for _, m := range changed {
		b.store.put(m.fingerprint, true)
	}
	if b.tell != nil {
		b.tell.put(changed)
	}
}

func (b *Breaker) firstReport(crash uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.crashes, crash) {
		return false
	}
	if len(b.crashes) < maxCrashes {
		b.crashes = append(b.crashes, crash)
		return true
	}
	b.crashes[b.next] = crash
	b.next = (b.next + 1) % maxCrashes
	return true
}

// Learn takes over marks of another node.
func (b *Breaker) Learn(marks []Mark) { b.merge(marks, false) }

// merge takes over marks and returns those that were news. A second mark is never
// replaced by a first one.
func (b *Breaker) merge(news []Mark, stored bool) []Mark {
	var changed []Mark
	for _, m := range news {
		b.marks.update(m.fingerprint, func(old held, ok bool) (held, bool) {
			next := held{mark: m, expires: time.Now().Add(b.ttl), stored: stored || old.stored}
			if ok && (old.mark.stopped || !m.stopped) {
				next.mark, next.expires = old.mark, old.expires
				return next, true
			}
			changed = append(changed, m)
			return next, true
		})
	}
	return changed
}

// Completed removes the mark of a request that ran to its end.
func (b *Breaker) Completed(f receiver.Fingerprint) {
	if _, ok := b.marks.get(f); !ok {
		return
	}
	b.marks.update(f, func(held, bool) (held, bool) { return held{}, false })
	b.store.put(f, false)
}
