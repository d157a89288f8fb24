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

// prefix is the prefix of the row keys of marks.
const prefix = "crash/"

// Key returns the row key of a request's marks.
func Key(f receiver.Fingerprint) string { return prefix + hex.EncodeToString(f[:]) }

// Intervals and limits of the syncer.
const (
	scanInterval    = 5 * time.Second // maximum delay of marks for nodes that missed a peer's message
	storeRetryDelay = time.Second     // delay after a failed write
	exchangeTimeout = 2 * time.Second // timeout of one exchange with the table or the peers
	maxUpdates      = 256             // queue length; holds crashes while the table is down
)

// update is a queued change: either a crash of the requests in marked, or the
// removal of the marks of one request.
type update struct {
	marked  []receiver.Fingerprint
	crash   crash
	cleared *receiver.Fingerprint
}

// syncer sends marks to peers, stores them in the table and reads the marks that
// other nodes stored. All of this is best effort: marks that cannot be stored have
// still been sent to the peers.
type syncer struct {
	table    storer.Table
	peers    Peers
	ttl      time.Duration
	onMark   func(mark)
	unsent   chan update // marks that are not sent to the peers yet
	unstored chan update // marks that are not stored or deleted yet
	cancel   context.CancelFunc
	done     sync.WaitGroup
	observed map[string]observation
}

// observation records when a version of a row was first read.
type observation struct {
	version storer.Version
	at      time.Time
}

func newSyncer(table storer.Table, peers Peers, ttl time.Duration, onMark func(mark)) *syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &syncer{
		table:    table,
		peers:    peers,
		ttl:      ttl,
		onMark:   onMark,
		unsent:   make(chan update, maxUpdates),
		unstored: make(chan update, maxUpdates),
		cancel:   cancel,
		observed: make(map[string]observation),
	}
	s.done.Go(func() { s.runSender(ctx) })
	s.done.Go(func() { s.runWriter(ctx) })
	s.done.Go(func() { s.runReader(ctx) })
	return s
}

func (s *syncer) close() {
	s.cancel()
	s.done.Wait()
}

// publish queues marks to be sent to the peers and stored. If the queue is full, the
// marks stay only in this node's memory.
func (s *syncer) publish(marked []receiver.Fingerprint, c crash) {
	s.enqueue(s.unsent, update{marked: marked, crash: c})
}

func (s *syncer) clear(f receiver.Fingerprint) {
	s.enqueue(s.unstored, update{cleared: &f})
}

func (s *syncer) enqueue(to chan<- update, u update) {
	select {
	case to <- u:
	default:
	}
}

// runSender sends marks to the peers. It has its own goroutine, because the one that
// stores marks waits for the table.
func (s *syncer) runSender(ctx context.Context) {
	for {
		select {
		case u := <-s.unsent:
			s.sendToPeers(ctx, s.collectUnsent(u))
		case <-ctx.Done():
			return
		}
	}
}

// collectUnsent returns an update and all that are queued after it. They are sent in
// one message, so that the crash of an engine with a whole batch costs one message
// per peer.
func (s *syncer) collectUnsent(first update) []update {
	all := []update{first}
	for {
		select {
		case u := <-s.unsent:
			all = append(all, u)
		default:
			return all
		}
	}
}

func (s *syncer) runWriter(ctx context.Context) {
	for {
		select {
		case u := <-s.unstored:
			s.write(ctx, u)
		case <-ctx.Done():
			return
		}
	}
}

func (s *syncer) write(ctx context.Context, u update) {
	if u.cleared != nil {
		s.delete(ctx, Key(*u.cleared))
		return
	}
	for _, f := range u.marked {
		for ctx.Err() == nil && time.Since(u.crash.seen) < s.ttl {
			if s.merge(ctx, f, u.crash) == nil {
				break
			}
			_ = sleeper.Sleep(ctx, storeRetryDelay) // the loop checks the context
		}
	}
}

// sendToPeers sends marks to the peers and queues the confirmed ones to be stored.
// Unconfirmed marks expire too soon for storing them to be useful.
func (s *syncer) sendToPeers(ctx context.Context, updates []update) {
	var list []mark
	for _, u := range updates {
		for _, f := range u.marked {
			list = append(list, newMark(f, u.crash))
		}
		if u.crash.confirmed {
			s.enqueue(s.unstored, u)
		}
	}
	encoded, err := encodeMarks(list)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_ = s.peers.SendMarks(ctx, encoded) // peers that miss the message read the table
}

func newMark(f receiver.Fingerprint, c crash) mark {
	return mark{fingerprint: f, id: c.id, engine: c.engine, age: max(time.Since(c.seen), 0)}
}

// merge adds a crash to a request's row.
func (s *syncer) merge(ctx context.Context, f receiver.Fingerprint, c crash) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var list []mark
	row, err := s.table.Get(ctx, Key(f))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return fmt.Errorf("read crash marks: %w", err)
	}
	if err == nil {
		if list, err = decodeMarks(row.Value()); err != nil {
			list = nil // a row that cannot be read is replaced
		}
	}
	for _, m := range list {
		if m.id == c.id {
			return nil
		}
	}
	encoded, err := encodeMarks(append(list, newMark(f, c)))
	if err != nil {
		return err
	}
	if err := s.table.Commit(ctx, storer.NewPut(Key(f), encoded, row.Version())); err != nil {
		return fmt.Errorf("store crash marks: %w", err)
	}
	return nil
}

// delete deletes a row. If another node has added a mark since the read, the version
// differs and the row stays.
func (s *syncer) delete(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if row, err := s.table.Get(ctx, key); err == nil {
		_ = s.table.Commit(ctx, storer.NewDelete(key, row.Version()))
	}
}

func (s *syncer) runReader(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		s.scanOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// scanOnce applies new and changed rows, and deletes rows that have not changed for
// the TTL of a mark.
func (s *syncer) scanOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanInterval)
	defer cancel()
	rows, err := storer.GetAll(ctx, s.table, prefix)
	if err != nil {
		return
	}
	now := time.Now()
	next := make(map[string]observation, len(rows))
	for _, row := range rows {
		o := s.observed[row.Key()]
		if o.version != row.Version() {
			o = observation{version: row.Version(), at: now}
			s.applyRow(row)
		}
		if now.Sub(o.at) >= s.ttl {
			_ = s.table.Commit(ctx, storer.NewDelete(row.Key(), row.Version()))
			continue
		}
		next[row.Key()] = o
	}
	s.observed = next
}

func (s *syncer) applyRow(row storer.Row) {
	list, err := decodeMarks(row.Value())
	if err != nil {
		return
	}
	for _, m := range list {
		if Key(m.fingerprint) == row.Key() {
			s.onMark(m)
		}
	}
}
