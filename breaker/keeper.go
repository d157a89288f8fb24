package breaker

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// prefix is where marks are kept in the table.
const prefix = "crash/"

// Key returns the row of a request's marks.
func Key(f receiver.Fingerprint) string { return prefix + hex.EncodeToString(f[:]) }

// Times of the keeper.
const (
	scanEvery   = 5 * time.Second // nodes that missed the message of a peer learn marks this late
	storeAgain  = time.Second     // pause after a failed write
	keepTimeout = 2 * time.Second // one exchange with the table or the peers
	maxJobs     = 256             // crashes that wait to be stored while the table is down
)

// job is something that the keeper has to do: stored or cleared marks.
type job struct {
	marked  []receiver.Fingerprint
	crash   crash
	cleared *receiver.Fingerprint
}

// keeper stores marks in the table, tells peers, and learns what other nodes
// stored. All of it is best effort: what cannot be stored is known to the peers
// that were told.
type keeper struct {
	table  storer.Table
	peers  Peers
	life   time.Duration
	learn  func(news)
	told   chan job // marks that peers have not been told of
	jobs   chan job // marks that are not stored
	cancel context.CancelFunc
	done   sync.WaitGroup
	seen   map[string]sighting
}

// sighting is when the keeper first saw a version of a row.
type sighting struct {
	version storer.Version
	at      time.Time
}

func newKeeper(table storer.Table, peers Peers, life time.Duration, learn func(news)) *keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &keeper{
		table:  table,
		peers:  peers,
		life:   life,
		learn:  learn,
		told:   make(chan job, maxJobs),
		jobs:   make(chan job, maxJobs),
		cancel: cancel,
		seen:   make(map[string]sighting),
	}
	k.done.Go(func() { k.tellAll(ctx) })
	k.done.Go(func() { k.store(ctx) })
	k.done.Go(func() { k.scan(ctx) })
	return k
}

func (k *keeper) close() {
	k.cancel()
	k.done.Wait()
}

// tell hands marks over for storing. When the queue is full the marks stay in
// this node's memory only.
func (k *keeper) tell(marked []receiver.Fingerprint, c crash) {
	k.offer(k.told, job{marked: marked, crash: c})
}

func (k *keeper) clear(f receiver.Fingerprint) {
	k.offer(k.jobs, job{cleared: &f})
}

func (k *keeper) offer(to chan<- job, j job) {
	select {
	case to <- j:
	default:
	}
}

// tellAll tells peers in a goroutine of its own, because storing waits for the
// table.
func (k *keeper) tellAll(ctx context.Context) {
	for {
		select {
		case j := <-k.told:
			k.tellPeers(ctx, k.waiting(j))
		case <-ctx.Done():
			return
		}
	}
}

// waiting returns a job and all that wait behind it. They go in one message, so
// that an engine that breaks a whole batch costs one message per peer.
func (k *keeper) waiting(first job) []job {
	all := []job{first}
	for {
		select {
		case j := <-k.told:
			all = append(all, j)
		default:
			return all
		}
	}
}

func (k *keeper) store(ctx context.Context) {
	for {
		select {
		case j := <-k.jobs:
			k.do(ctx, j)
		case <-ctx.Done():
			return
		}
	}
}

func (k *keeper) do(ctx context.Context, j job) {
	if j.cleared != nil {
		k.delete(ctx, Key(*j.cleared))
		return
	}
	for _, f := range j.marked {
		for ctx.Err() == nil && time.Since(j.crash.seen) < k.life {
			if k.merge(ctx, f, j.crash) == nil {
				break
			}
			_ = sleeper.Sleep(ctx, storeAgain) // the loop looks at the context
		}
	}
}

// tellPeers sends marks to the peers, and hands the confirmed ones over for
// storing. Unconfirmed ones end before a store could matter.
func (k *keeper) tellPeers(ctx context.Context, jobs []job) {
	var list []news
	for _, j := range jobs {
		for _, f := range j.marked {
			list = append(list, newsOf(f, j.crash))
		}
		if j.crash.confirmed {
			k.offer(k.jobs, j)
		}
	}
	encoded, err := encodeNews(list)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_ = k.peers.SendMarks(ctx, encoded) // peers that miss it learn from the table
}

func newsOf(f receiver.Fingerprint, c crash) news {
	return news{fingerprint: f, id: c.id, engine: c.engine, age: max(time.Since(c.seen), 0)}
}

// merge adds a crash to a request's row.
func (k *keeper) merge(ctx context.Context, f receiver.Fingerprint, c crash) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	var list []news
	row, err := k.table.Get(ctx, Key(f))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return fmt.Errorf("read crash marks: %w", err)
	}
	if err == nil {
		if list, err = decodeNews(row.Value()); err != nil {
			list = nil // a row that cannot be read is replaced
		}
	}
	for _, n := range list {
		if n.id == c.id {
			return nil
		}
	}
	encoded, err := encodeNews(append(list, newsOf(f, c)))
	if err != nil {
		return err
	}
	if err := k.table.Commit(ctx, storer.NewPut(Key(f), encoded, row.Version())); err != nil {
		return fmt.Errorf("store crash marks: %w", err)
	}
	return nil
}

// delete removes a row. Another node's newer mark stays, because the version
// then differs.
func (k *keeper) delete(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if row, err := k.table.Get(ctx, key); err == nil {
		_ = k.table.Commit(ctx, storer.NewDelete(key, row.Version()))
	}
}

func (k *keeper) scan(ctx context.Context) {
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	for {
		k.scanOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// scanOnce learns new rows and deletes those that no node has changed for the
// life of a mark.
func (k *keeper) scanOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanEvery)
	defer cancel()
	rows, err := storer.GetAll(ctx, k.table, prefix)
	if err != nil {
		return
	}
	now := time.Now()
	next := make(map[string]sighting, len(rows))
	for _, row := range rows {
		s := k.seen[row.Key()]
		if s.version != row.Version() {
			s = sighting{version: row.Version(), at: now}
			k.take(row)
		}
		if now.Sub(s.at) >= k.life {
			_ = k.table.Commit(ctx, storer.NewDelete(row.Key(), row.Version()))
			continue
		}
		next[row.Key()] = s
	}
	k.seen = next
}

func (k *keeper) take(row storer.Row) {
	list, err := decodeNews(row.Value())
	if err != nil {
		return
	}
	for _, n := range list {
		if Key(n.fingerprint) == row.Key() {
			k.learn(n)
		}
	}
}
