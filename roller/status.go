package roller

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Status describes the current and the last prepared bundle, and the epochs
// that the nodes report.
type Status struct {
	accepted bundler.Record
	next     bundler.Record
	nodes    []Node
}

// Accepted returns the record of the bundle in force. Its epoch is zero before
// the first roll-out.
func (s *Status) Accepted() bundler.Record { return s.accepted }

// Next returns the record that was prepared last.
func (s *Status) Next() bundler.Record { return s.next }

// Nodes returns all nodes, sorted by region and name.
func (s *Status) Nodes() []Node { return s.nodes }

// Converged reports whether every live node serves the accepted epoch.
func (s *Status) Converged() bool {
	for _, n := range s.nodes {
		if n.live && n.inForce != s.accepted.Epoch() {
			return false
		}
	}
	return true
}

// Status reads the rows and lists the nodes. It does not retry failed reads, so
// that an operator sees at once that the table is down.
func (r *Roller) Status(ctx context.Context) (*Status, error) {
	current, err := r.readOnce(ctx, bundler.KeyCurrent)
	if err != nil {
		return nil, err
	}
	next, err := r.readOnce(ctx, bundler.KeyNext)
	if err != nil {
		return nil, err
	}
	nodes, err := r.nodes.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list nodes: %w", err)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		if c := strings.Compare(a.region, b.region); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	return &Status{accepted: current.record, next: next.record, nodes: nodes}, nil
}

// History returns up to limit accepted records, newest first. Epochs may have
// gaps where a roll-out was withdrawn or replaced.
func (r *Roller) History(ctx context.Context, limit int) ([]bundler.Record, error) {
	current, err := r.read(ctx, bundler.KeyCurrent)
	if err != nil {
		return nil, err
	}
	var records []bundler.Record
	for below := current.record.Epoch() + 1; below > 1 && len(records) < limit; {
		// Scan returns rows in ascending order, so the epochs are read in
		// windows, the highest window first.
		from := below - min(below-1, uint64(limit))
		rows, err := r.table.Scan(ctx, bundler.HistoryPrefix, bundler.HistoryKey(from-1), int(below-from))
		if err != nil {
			return nil, fmt.Errorf("scan history: %w", err)
		}
		for _, row := range slices.Backward(rows) {
			record, err := bundler.DecodeRecord(row.Value())
			if err != nil {
				return nil, err
			}
			if record.Epoch() < below {
				records = append(records, record)
			}
		}
		below = from
	}
	return records[:min(limit, len(records))], nil
}
