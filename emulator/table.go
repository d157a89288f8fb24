package emulator

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Table is a fake of the transactional table service.
type Table struct {
	mu   sync.Mutex
	rows map[string]storer.Row
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]storer.Row)} }

// Get returns a row.
func (t *Table) Get(_ context.Context, key string) (storer.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return storer.Row{}, storer.ErrNotFound
	}
	return row, nil
}

// Scan returns rows in key order.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for k := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]storer.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, t.rows[k])
	}
	return rows, nil
}

// Commit applies all writes or none.
func (t *Table) Commit(_ context.Context, writes ...storer.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if t.rows[w.Key()].Version() != w.Expected() {
			return storer.NewConflictError(w.Key())
		}
	}
	for _, w := range writes {
		switch w := w.(type) {
		case storer.Put:
			t.rows[w.Key()] = storer.NewRow(w.Key(), w.Value(), w.Expected()+1)
		case storer.Delete:
			delete(t.rows, w.Key())
		case storer.Check:
		}
	}
	return nil
}
