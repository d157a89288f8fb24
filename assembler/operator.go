package assembler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/storer"
)

// operatorTable applies the rows of the operator's table and keeps them for the other hosts of
// the data centre. Rows come from the follower, from reads for calls with unknown keys, and
// from copies of other hosts, in any order.
type operatorTable struct {
	handler  operatorHandler
	mirror   *mirrorer.Mirror
	announce func() // is called after a later row was applied

	mu       sync.Mutex    // serialises changes
	complete atomic.Uint64 // version of the table up to which all rows were applied
	latest   atomic.Uint64 // version of the latest row
}

var _ follower.Handler = (*operatorTable)(nil)

func newOperatorTable(h *Host, announce func()) *operatorTable {
	return &operatorTable{handler: operatorHandler{h}, mirror: mirrorer.New(follower.Handlers{}), announce: announce}
}

// Complete implements poller.Rows.
func (t *operatorTable) Complete() storer.Version { return storer.Version(t.complete.Load()) }

// Latest implements poller.Rows.
func (t *operatorTable) Latest() storer.Version { return storer.Version(t.latest.Load()) }

// Restored implements follower.Handler.
func (t *operatorTable) Restored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mirror.Restored()
}

// Replace implements follower.Handler. A row that names an earlier version than the known one, or
// that is missing, does not replace it: a restored store may have lost what is in force, and the
// operator writes it again.
func (t *operatorTable) Replace(rows []storer.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.handler.applyRows(rows) // logged; the other rows are applied
	t.mirror.Replace(platform.MergeOperatorRows(t.mirror.Rows(), rows))
	t.recordLatest(rows)
}

// Apply implements follower.Handler.
func (t *operatorTable) Apply(changes []storer.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.apply(changes) // logged; the other rows are applied
}

// Contact implements follower.Handler.
func (t *operatorTable) Contact(v storer.Version, clock, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordContact(v, clock, age)
	t.handler.host.observeEra(v)
}

// advance applies the changes since the version that Complete has returned. The error is that
// of a row that cannot be decoded.
func (t *operatorTable) advance(changes storer.Changes) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.apply(changes.List()); err != nil {
		return err
	}
	t.recordContact(changes.Version(), changes.Clock(), changes.Age())
	return nil
}

// apply applies the changes that another read has not brought yet. It requires mu.
func (t *operatorTable) apply(changes []storer.Change) error {
	known := max(t.Complete(), t.Latest())
	var fresh []storer.Change
	for _, c := range changes {
		if c.Version() > known {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	err := t.handler.applyRows(fresh)
	t.mirror.Apply(fresh)
	t.recordLatest(fresh)
	return err
}

// recordLatest requires mu.
func (t *operatorTable) recordLatest(rows []storer.Change) {
	latest := t.Latest()
	for _, c := range rows {
		latest = max(latest, c.Version())
	}
	if latest > t.Latest() {
		t.latest.Store(uint64(latest))
		t.announce()
	}
}

// recordContact requires mu.
func (t *operatorTable) recordContact(v storer.Version, clock, age time.Duration) {
	v = max(v, t.Complete())
	t.complete.Store(uint64(v))
	t.mirror.Contact(v, clock, age)
}
