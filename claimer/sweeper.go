package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// sweeper deletes finished claims past their retention, one page at a time. Nodes
// start at random positions and do not coordinate: if two nodes delete the same
// page at once, the commit of one of them fails.
type sweeper struct {
	table    storer.Table
	settings settings
	interval atomic.Int64 // nanoseconds
	cursor   string
}

func (s *sweeper) run(ctx context.Context) {
	s.cursor = fmt.Sprintf("%s%08x", keyPrefix, rand.Uint32())
	for {
		select {
		case <-time.After(time.Duration(s.interval.Load())):
			s.sweep(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.commitTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, keyPrefix, s.cursor, s.settings.sweepPage)
	if err != nil {
		return
	}
	s.cursor = ""
	if len(rows) == s.settings.sweepPage {
		s.cursor = rows[len(rows)-1].Key()
	}
	if deletes := s.expired(rows); len(deletes) > 0 {
		// The rows of a failed page are read again in the next round.
		_ = s.table.Commit(ctx, deletes...)
	}
}

func (s *sweeper) expired(rows []storer.Row) []storer.Write {
	limit := time.Now().Add(-s.settings.retention).Unix()
	var deletes []storer.Write
	for _, row := range rows {
		rec, err := decodeRecord(row.Value())
		if err == nil && rec.finished() && rec.Finished < limit {
			deletes = append(deletes, storer.NewDelete(row.Key(), row.Version()))
		}
	}
	return deletes
}
