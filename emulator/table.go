package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Table is a fake of the transactional table service.
type Table struct {
	link *link

	mu       sync.Mutex
	rows     map[string]storer.Row
	keys     []string // sorted
	reads    pacer
	writes   pacer
	counters TableCounters
}

// TableCounters counts the operations of a table.
type TableCounters struct {
	reads        int
	commits      int
	rows         int
	conflicts    int
	rowsRead     int
	bytesRead    int
	bytesWritten int
}

// Reads returns how many reads and scans were served.
func (c TableCounters) Reads() int { return c.reads }

// Commits returns how many commits were applied.
func (c TableCounters) Commits() int { return c.commits }

// Rows returns how many rows were written or deleted.
func (c TableCounters) Rows() int { return c.rows }

// Conflicts returns how many commits failed because of a row version.
func (c TableCounters) Conflicts() int { return c.conflicts }

// RowsRead returns how many rows reads and scans returned.
func (c TableCounters) RowsRead() int { return c.rowsRead }

// BytesRead returns the bytes of keys and values that reads and scans returned,
// without their encoding.
func (c TableCounters) BytesRead() int { return c.bytesRead }

// BytesWritten returns the bytes of keys and values of applied writes, without
// their encoding.
func (c TableCounters) BytesWritten() int { return c.bytesWritten }

func (c *TableCounters) read(row storer.Row) {
	c.rowsRead++
	c.bytesRead += len(row.Key()) + len(row.Value())
}

// NewTable returns an empty table.
func NewTable(opts ...Option) *Table {
	s := newSettings(opts)
	return &Table{
		link:   newLink(s),
		rows:   make(map[string]storer.Row),
		reads:  newPacer(s.readRate),
		writes: newPacer(s.writeRate),
	}
}

// Inject adds a fault: Down, Slow or AnswerLost.
func (t *Table) Inject(f Fault) error {
	switch f.(type) {
	case Down, Slow, AnswerLost:
		t.link.inject(f)
		return nil
	default:
		return &UnsupportedFaultError{fake: "table", fault: f}
	}
}

// Clear ends all faults.
func (t *Table) Clear() { t.link.clear() }

// Counters returns a copy of the table's counters.
func (t *Table) Counters() TableCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counters
}

// Get returns a row.
func (t *Table) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := t.begin(ctx, &t.reads); err != nil {
		return storer.Row{}, fmt.Errorf("read row %q: %w: %w", key, storer.ErrUnavailable, err)
	}
	row, ok := t.row(key)
	if err := t.link.respond(ctx); err != nil {
		return storer.Row{}, fmt.Errorf("read row %q: %w: %w", key, storer.ErrUnavailable, err)
	}
	if !ok {
		return storer.Row{}, fmt.Errorf("row %q: %w", key, storer.ErrNotFound)
	}
	return row, nil
}

func (t *Table) row(key string) (storer.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.reads++
	row, ok := t.rows[key]
	if ok {
		t.counters.read(row)
	}
	return row, ok
}

// Scan returns rows in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := t.begin(ctx, &t.reads); err != nil {
		return nil, fmt.Errorf("scan rows under %q: %w: %w", prefix, storer.ErrUnavailable, err)
	}
	rows := t.scan(prefix, after, limit)
	if err := t.link.respond(ctx); err != nil {
		return nil, fmt.Errorf("scan rows under %q: %w: %w", prefix, storer.ErrUnavailable, err)
	}
	return rows, nil
}

func (t *Table) scan(prefix, after string, limit int) []storer.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.reads++
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && after >= prefix {
		i++
	}
	var rows []storer.Row
	for _, key := range t.keys[i:] {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, t.rows[key])
		t.counters.read(t.rows[key])
	}
	return rows
}

// Commit applies all writes or none.
func (t *Table) Commit(ctx context.Context, writes ...storer.Write) error {
	if err := t.begin(ctx, &t.writes); err != nil {
		if t.link.deliveredLate(err) {
			_ = t.apply(writes)
		}
		return fmt.Errorf("commit: %w: %w", platformWriteError(err), err)
	}
	err := t.apply(writes)
	if lost := t.link.respondToWrite(ctx); lost != nil {
		return fmt.Errorf("commit: %w: %w", storer.ErrUncertain, lost)
	}
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// begin delivers a request to the table and waits until its rate allows it.
func (t *Table) begin(ctx context.Context, p *pacer) error {
	if err := t.link.deliver(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	wait := p.reserve(time.Now())
	t.mu.Unlock()
	if wait == 0 {
		return nil
	}
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return fmt.Errorf("wait in the table's queue: %w: %w", errAbandoned, err)
	}
	return nil
}

func (t *Table) apply(writes []storer.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if t.rows[w.Key()].Version() != w.Expected() {
			t.counters.conflicts++
			return storer.NewConflictError(w.Key())
		}
	}
	for _, w := range writes {
		t.write(w)
	}
	t.counters.commits++
	return nil
}

func (t *Table) write(w storer.Write) {
	switch w := w.(type) {
	case storer.Put:
		if w.Expected() == 0 {
			i, _ := slices.BinarySearch(t.keys, w.Key())
			t.keys = slices.Insert(t.keys, i, w.Key())
		}
		t.rows[w.Key()] = storer.NewRow(w.Key(), slices.Clone(w.Value()), w.Expected()+1)
		t.counters.rows++
		t.counters.bytesWritten += len(w.Key()) + len(w.Value())
	case storer.Delete:
		if i, found := slices.BinarySearch(t.keys, w.Key()); found {
			t.keys = slices.Delete(t.keys, i, i+1)
		}
		delete(t.rows, w.Key())
		t.counters.rows++
	case storer.Check:
	}
}
