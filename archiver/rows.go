package archiver

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

// store writes records. A record that exists already is that of an earlier attempt whose
// answer was lost.
func (a *Archiver) store(ctx context.Context, batch []*record) error {
	exists := make(map[string]bool)
	era := uint64(math.MaxUint64) // the earliest of the answers
	for len(exists) < len(batch) {
		writes := make([]storer.Write, 0, len(batch))
		for _, r := range batch {
			if exists[r.Key()] {
				continue
			}
			value, err := encoder.Marshal(recordDocument{Version: r.Version()})
			if err != nil {
				return fmt.Errorf("encode record: %w", err)
			}
			writes = append(writes, storer.NewPut(r.Key(), value, 0))
		}
		limited, cancel := context.WithTimeout(ctx, writeTimeout)
		version, err := a.records.Commit(limited, writes...)
		cancel()
		var conflict *storer.RowConflict
		switch {
		case err == nil:
			a.restated.add(min(era, version.Era()), batch)
			return nil
		case !errors.As(err, &conflict) || len(conflict.Changes()) == 0:
			a.failedAt.Store(time.Now().UnixNano())
			a.log.Warn("records-not-stored", logger.With(logger.KeyCount, len(writes)), logger.Err(err))
			return fmt.Errorf("commit records: %w", err)
		}
		for _, c := range conflict.Changes() {
			exists[c.Key()] = true
			era = min(era, c.Version().Era())
		}
	}
	a.restated.add(era, batch)
	return nil
}

// DeleteOld deletes the records that it has listed for longer than a stream lasts, and
// returns the number of all that it has listed. One host at a time should call it.
func (a *Archiver) DeleteOld(ctx context.Context) (listed int, err error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	all, err := a.records.Snapshot(limited)
	cancel()
	if err != nil {
		return 0, fmt.Errorf("list records: %w", err)
	}
	var writes []storer.Write
	now := time.Now()
	stamps := make(map[string]time.Time, len(all.List()))
	for _, c := range all.List() {
		first, known := a.stamps[c.Key()]
		if !known {
			first = now
		}
		stamps[c.Key()] = first
		if now.Sub(first) > a.lifetime {
			writes = append(writes, storer.NewDelete(c.Key(), c.Version()))
		}
	}
	a.stamps = stamps
	for _, batch := range storer.Batches(a.records, writes) {
		if err := a.delete(ctx, batch.Writes()); err != nil {
			return len(all.List()), err
		}
	}
	return len(all.List()), nil
}

func (a *Archiver) delete(ctx context.Context, writes []storer.Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := a.records.Commit(ctx, writes...); err != nil {
		return fmt.Errorf("delete records: %w", err)
	}
	return nil
}
