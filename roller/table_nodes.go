package roller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// DecodeNode reads a lease row. Whether the node is live is not in the row.
type DecodeNode func(row storer.Row) (name, region string, prepared, inForce uint64, err error)

// TableNodes lists nodes from their lease rows. A lease counts as expired when
// its row has not changed for the expiry time on this process's clock; clocks of
// different hosts are never compared. A row that was seen for the first time
// counts as live for that time.
type TableNodes struct {
	table  storer.Table
	prefix string
	expiry time.Duration
	decode DecodeNode

	mu   sync.Mutex
	seen map[string]sighting
}

type sighting struct {
	version storer.Version
	since   time.Time
}

// NewTableNodes returns a list of the rows under a prefix. The expiry is the lease
// time plus the guard.
func NewTableNodes(table storer.Table, prefix string, expiry time.Duration, decode DecodeNode) *TableNodes {
	return &TableNodes{table: table, prefix: prefix, expiry: expiry, decode: decode, seen: make(map[string]sighting)}
}

// List reads the rows.
func (t *TableNodes) List(ctx context.Context) ([]Node, error) {
	now := time.Now()
	rows, err := storer.GetAll(ctx, t.table, t.prefix)
	if err != nil {
		return nil, fmt.Errorf("read lease rows: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]Node, 0, len(rows))
	for _, row := range rows {
		last, ok := t.seen[row.Key()]
		if !ok || last.version != row.Version() {
			last = sighting{version: row.Version(), since: now}
			t.seen[row.Key()] = last
		}
		name, region, prepared, inForce, err := t.decode(row)
		if err != nil {
			return nil, fmt.Errorf("lease row %q: %w", row.Key(), err)
		}
		nodes = append(nodes, NewNode(name, region, prepared, inForce, now.Sub(last.since) < t.expiry))
	}
	return nodes, nil
}
