package breaker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	callTimeout = 2 * time.Second
	retryDelay  = time.Second
)

// storeQueue brings the table in line with memory, best effort.
type storeQueue struct {
	breaker *Breaker
	wake    chan struct{}
	seen    map[string]seenRow // by key; only run uses it

	mu      sync.Mutex
	pending map[receiver.Fingerprint]bool // true: store the mark; false: delete the row
}

// seenRow is a row and since when it is unchanged.
type seenRow struct {
	version storer.Version
	since   time.Time
}

func newStoreQueue(b *Breaker) *storeQueue {
	return &storeQueue{
		breaker: b, wake: make(chan struct{}, 1),
		seen: make(map[string]seenRow), pending: make(map[receiver.Fingerprint]bool),
	}
}

// put adds a row to write. Rows past the limit are left to the peers.
func (q *storeQueue) put(f receiver.Fingerprint, store bool) {
	q.mu.Lock()
	if _, ok := q.pending[f]; ok || len(q.pending) < q.breaker.limit {
		q.pending[f] = store
	}
	q.mu.Unlock()
	notify(q.wake)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (q *storeQueue) run(ctx context.Context) {
	ticker := time.NewTicker(q.breaker.scanEvery)
	defer ticker.Stop()
	q.scan(ctx)
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.scan(ctx)
		case <-q.wake:
		case <-retry:
		}
		retry = nil
		if !q.flush(ctx) {
			retry = time.After(retryDelay)
		}
	}
}

// flush writes what is pending and reports whether all of it was written.
func (q *storeQueue) flush(ctx context.Context) bool {
	for f, store := range q.copyPending() {
		if err := q.write(ctx, f, store); err != nil {
			return false
		}
		q.mu.Lock()
		if q.pending[f] == store {
			delete(q.pending, f)
		}
		q.mu.Unlock()
	}
	return true
}

func (q *storeQueue) copyPending() map[receiver.Fingerprint]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[receiver.Fingerprint]bool, len(q.pending))
	for f, store := range q.pending {
		all[f] = store
	}
	return all
}

// write stores a mark or deletes its row. A lost answer or a conflict leaves it
// pending; the next attempt reads what the row holds.
func (q *storeQueue) write(ctx context.Context, f receiver.Fingerprint, store bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Key(f)
	row, err := q.breaker.table.Get(ctx, key)
	absent := errors.Is(err, storer.ErrNotFound)
	if err != nil && !absent {
		return fmt.Errorf("read crash mark: %w", err)
	}
	if !store {
		if absent {
			return nil
		}
		return q.commit(ctx, storer.NewDelete(key, row.Version()))
	}
	h, ok := q.breaker.marks.get(f)
	if !ok {
		return nil
	}
	if !absent {
		old, err := DecodeMark(key, row.Value())
		if err == nil && (old.stopped || !h.mark.stopped) {
			q.breaker.merge([]Mark{old}, true)
			return nil
		}
	}
	value, err := h.mark.encode()
	if err != nil {
		return err
	}
	return q.commit(ctx, storer.NewPut(key, value, row.Version()))
}

func (q *storeQueue) commit(ctx context.Context, w storer.Write) error {
	if err := q.breaker.table.Commit(ctx, w); err != nil {
		return fmt.Errorf("write crash mark: %w", err)
	}
	return nil
}

// scan takes over the stored marks, drops those whose rows other nodes deleted,
// and deletes the rows that are past their time.
func (q *storeQueue) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := storer.GetAll(ctx, q.breaker.table, prefix)
	if err != nil {
		q.breaker.marks.keep(func(held) bool { return true })
		return
	}
	present := q.take(ctx, rows)
	q.breaker.marks.keep(func(h held) bool { return !h.stored || present[h.mark.fingerprint] })
}

// take merges rows that changed. A row that did not change must not bring back a
// mark that has expired here.
func (q *storeQueue) take(ctx context.Context, rows []storer.Row) map[receiver.Fingerprint]bool {
	now := time.Now()
	seen := make(map[string]seenRow)
	present := make(map[receiver.Fingerprint]bool)
	for _, row := range rows {
		m, err := DecodeMark(row.Key(), row.Value())
		old, known := q.seen[row.Key()]
		if !known || old.version != row.Version() {
			old = seenRow{version: row.Version(), since: now}
		}
		seen[row.Key()] = old
		if now.Sub(old.since) >= q.breaker.ttl {
			_ = q.commit(ctx, storer.NewDelete(row.Key(), row.Version()))
			continue
		}
		if err != nil {
			continue
		}
		present[m.fingerprint] = true
		if old.since.Equal(now) && !q.clears(m.fingerprint) {
			q.breaker.merge([]Mark{m}, true)
		}
	}
	q.seen = seen
	return present
}

// clears reports whether the row is about to be deleted.
func (q *storeQueue) clears(f receiver.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	store, ok := q.pending[f]
	return ok && !store
}

// tellQueue sends marks to peers.
type tellQueue struct {
	peers Peers
	limit int
	wake  chan struct{}

	mu      sync.Mutex
	pending []Mark
}

func newTellQueue(p Peers, limit int) *tellQueue {
	return &tellQueue{peers: p, limit: limit, wake: make(chan struct{}, 1)}
}

func (q *tellQueue) put(marks []Mark) {
	q.mu.Lock()
	room := max(q.limit-len(q.pending), 0)
	q.pending = append(q.pending, marks[:min(room, len(marks))]...)
	q.mu.Unlock()
	notify(q.wake)
}

func (q *tellQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		q.mu.Lock()
		marks := q.pending
		q.pending = nil
		q.mu.Unlock()
		if len(marks) > 0 {
			q.send(ctx, marks)
		}
	}
}

// send is best effort: peers that are not reached read the rows.
func (q *tellQueue) send(ctx context.Context, marks []Mark) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = q.peers.Crash(ctx, marks)
}
