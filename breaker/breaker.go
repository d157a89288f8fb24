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

// Peers connects the breaker to those of the other nodes.
type Peers interface {
	// SendMarks sends encoded marks to all other nodes.
	SendMarks(ctx context.Context, marks []byte) error
}

// DefaultTTL is how long a confirmed mark counts. Callers retry a failed request
// within minutes.
const DefaultTTL = 10 * time.Minute

const (
	// stopAfter is the number of crashes that stop a request.
	stopAfter = 2
	// maxRequests is the maximum number of marked requests that a node keeps. One
	// crash marks about one batch, so this is enough for hundreds of crashes.
	maxRequests = 4096
	// retryUnconfirmed is the retry delay for a caller while a crash is not
	// confirmed.
	retryUnconfirmed = 2 * time.Second
)

// histories maps requests to their crashes. It is immutable.
type histories map[receiver.Fingerprint]*crashHistory

// Breaker records the marks of requests. The request path reads them with a single
// atomic load.
type Breaker struct {
	node      string
	ttl       time.Duration
	histories atomic.Pointer[histories]
	mu        sync.Mutex // serialises writers
	serial    uint64
	syncer    *syncer
}

// New starts a breaker. The node's name must be unique per process, because it is
// part of the ids of the crashes that the node confirms. The caller must call Close.
func New(node string, table storer.Table, peers Peers, ttl time.Duration) *Breaker {
	b := &Breaker{node: node, ttl: ttl}
	b.histories.Store(&histories{})
	b.syncer = newSyncer(table, peers, ttl, b.addMark)
	return b
}

// Close stops the breaker's goroutines.
func (b *Breaker) Close() { b.syncer.close() }

// Blocked returns why a request must not run, or nil.
func (b *Breaker) Blocked(f receiver.Fingerprint) error {
	h, ok := (*b.histories.Load())[f]
	if !ok {
		return nil
	}
	confirmed, unconfirmed := h.counts(time.Now(), b.ttl)
	switch {
	case confirmed >= stopAfter:
		return classifier.NewStopped(fmt.Sprintf("the request ran on %d endpoints when they crashed", confirmed))
	case confirmed+unconfirmed >= stopAfter:
		return classifier.NewUnavailable("the request may have crashed endpoints; the crash is not confirmed yet",
			classifier.RetryAfter(retryUnconfirmed))
	default:
		return nil
	}
}

// Suspect reports whether a request has a mark.
func (b *Breaker) Suspect(f receiver.Fingerprint) bool {
	h, ok := (*b.histories.Load())[f]
	return ok && len(h.unexpired(time.Now(), b.ttl)) > 0
}

// StreamBroken adds an unconfirmed mark to a request whose stream broke on an
// engine. The mark is sent to peers at once, because the engine's report confirms a
// crash only after the restart, and the caller may retry on another node before
// that.
func (b *Breaker) StreamBroken(f receiver.Fingerprint, engine string) {
	c := crash{engine: engine, seen: time.Now()}
	b.add(f, c)
	b.syncer.publish([]receiver.Fingerprint{f}, c)
}

// Crashed adds a confirmed mark to each of the requests that ran on an engine when
// it crashed, and sends the marks to the other nodes.
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
	b.syncer.publish(requests, c)
}

// Completed removes the marks of a request that ran to completion.
func (b *Breaker) Completed(f receiver.Fingerprint) {
	if _, ok := (*b.histories.Load())[f]; !ok {
		return
	}
	b.mu.Lock()
	next := maps.Clone(*b.histories.Load())
	delete(next, f)
	b.histories.Store(&next)
	b.mu.Unlock()
	b.syncer.clear(f)
}

// ApplyMarks adds the marks that a peer sent.
func (b *Breaker) ApplyMarks(encoded []byte) error {
	marks, err := decodeMarks(encoded)
	if err != nil {
		return err
	}
	for _, m := range marks {
		b.addMark(m)
	}
	return nil
}

// Marked returns how many requests carry a mark.
func (b *Breaker) Marked() int { return len(*b.histories.Load()) }

func (b *Breaker) addMark(m mark) {
	b.add(m.fingerprint, crash{id: m.id, engine: m.engine, seen: time.Now().Add(-m.age), confirmed: m.id != ""})
}

// add adds a crash to the history of a request and removes expired histories.
func (b *Breaker) add(f receiver.Fingerprint, c crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	old := *b.histories.Load()
	changed := old[f].with(c, now, b.ttl)
	if changed == old[f] {
		return
	}
	next := make(histories, len(old)+1)
	for k, h := range old {
		if len(h.unexpired(now, b.ttl)) > 0 {
			next[k] = h
		}
	}
	if _, known := next[f]; !known && len(next) >= maxRequests {
		delete(next, oldest(next))
	}
	next[f] = changed
	b.histories.Store(&next)
}

// oldest returns the request with the least recent last crash.
func oldest(m histories) receiver.Fingerprint {
	var (
		found receiver.Fingerprint
		at    time.Time
	)
	for f, h := range m {
		last := h.crashes[len(h.crashes)-1].seen
		if at.IsZero() || last.Before(at) {
			found, at = f, last
		}
	}
	return found
}
