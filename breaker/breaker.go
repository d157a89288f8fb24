package breaker

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Peers tells other nodes of marks.
type Peers interface {
	SendMarks(ctx context.Context, marks []byte) error
}

// DefaultTTL is how long a confirmed mark counts. Callers send a request that
// failed again within minutes.
const DefaultTTL = 10 * time.Minute

const (
	// stopAfter is the number of crashes that stop a request.
	stopAfter = 2
	// maxRequests bounds the marked requests that a node remembers. One crash
	// marks about a batch, so this is room for hundreds of crashes.
	maxRequests = 4096
	// retryUnconfirmed is how long a caller waits while a crash is confirmed.
	retryUnconfirmed = 2 * time.Second
)

// marks is the evidence against all requests. It never changes.
type marks map[receiver.Fingerprint]*evidence

// Breaker keeps the evidence. The request path reads it by one atomic load.
type Breaker struct {
	node   string
	life   time.Duration
	marks  atomic.Pointer[marks]
	mu     sync.Mutex // serialises writers
	serial uint64
	keeper *keeper
}

// New starts a breaker. The node's name must differ between processes, because
// it is part of the identity of the crashes that the node confirms.
func New(node string, table storer.Table, peers Peers, life time.Duration) *Breaker {
	b := &Breaker{node: node, life: life}
	b.marks.Store(&marks{})
	b.keeper = newKeeper(table, peers, life, b.learn)
	return b
}

// Close ends the breaker's goroutine.
func (b *Breaker) Close() { b.keeper.close() }

// Blocked returns why a request must not run, or nil.
func (b *Breaker) Blocked(f receiver.Fingerprint) error {
	e, ok := (*b.marks.Load())[f]
	if !ok {
		return nil
	}
	confirmed, unconfirmed := e.counts(time.Now(), b.life)
	switch {
	case confirmed >= stopAfter:
		return classifier.NewStopped(fmt.Sprintf("the request ran on %d endpoints when they crashed", confirmed))
	case confirmed+unconfirmed >= stopAfter:
		return classifier.NewUnavailable("the request may have crashed endpoints; this is being confirmed",
			classifier.RetryAfter(retryUnconfirmed))
	default:
		return nil
	}
}

// Suspect reports whether a request has a mark.
func (b *Breaker) Suspect(f receiver.Fingerprint) bool {
	e, ok := (*b.marks.Load())[f]
	return ok && len(e.alive(time.Now(), b.life)) > 0
}

// StreamBroken gives a request an unconfirmed mark: its stream broke on an engine. Peers
// hear of it at once, because the engine's report confirms a crash only after the
// restart, and the caller may send the request to another node before.
func (b *Breaker) StreamBroken(f receiver.Fingerprint, engine string) {
	c := crash{engine: engine, seen: time.Now()}
	b.add(f, c)
	b.keeper.tell([]receiver.Fingerprint{f}, c)
}

// Crashed gives the requests that ran on an engine when it crashed a mark each,
// and tells the other nodes.
func (b *Breaker) Crashed(engine string, requests []receiver.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	b.mu.Lock()
	b.serial++
	id := fmt.Sprintf("%s#%d", b.node, b.serial)
	b.mu.Unlock()
	c := crash{id: id, engine: engine, seen: time.Now(), confirmed: true}
	for _, f := range requests {
		b.add(f, c)
	}
	b.keeper.tell(requests, c)
}

// Completed clears a request: it ran to its end.
func (b *Breaker) Completed(f receiver.Fingerprint) {
	if _, ok := (*b.marks.Load())[f]; !ok {
		return
	}
	b.mu.Lock()
	next := maps.Clone(*b.marks.Load())
	delete(next, f)
	b.marks.Store(&next)
	b.mu.Unlock()
	b.keeper.clear(f)
}

// ApplyMarks takes marks over that a peer tells of.
func (b *Breaker) ApplyMarks(encoded []byte) error {
	news, err := decodeNews(encoded)
	if err != nil {
		return err
	}
	for _, n := range news {
		b.learn(n)
	}
	return nil
}

// Marked returns how many requests carry a mark.
func (b *Breaker) Marked() int { return len(*b.marks.Load()) }

func (b *Breaker) learn(n news) {
	b.add(n.fingerprint, crash{id: n.id, engine: n.engine, seen: time.Now().Add(-n.age), confirmed: n.id != ""})
}

// add records a crash against a request and drops evidence that has expired.
func (b *Breaker) add(f receiver.Fingerprint, c crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	old := *b.marks.Load()
	changed := old[f].with(c, now, b.life)
	if changed == old[f] {
		return
	}
	next := make(marks, len(old)+1)
	for k, e := range old {
		if len(e.alive(now, b.life)) > 0 {
			next[k] = e
		}
	}
	if _, known := next[f]; !known && len(next) >= maxRequests {
		delete(next, oldest(next))
	}
	next[f] = changed
	b.marks.Store(&next)
}

// oldest returns the request whose last crash is longest ago.
func oldest(m marks) receiver.Fingerprint {
	var (
		found receiver.Fingerprint
		at    time.Time
	)
	for f, e := range m {
		last := e.crashes[len(e.crashes)-1].seen
		if at.IsZero() || last.Before(at) {
			found, at = f, last
		}
	}
	return found
}
