package registrar

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/quarantiner"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// keyPrefix precedes the part in the key of its row.
	keyPrefix = "quarantine/"
	// rowLifetime is how long a row is kept without a renewal. It is deleted up to
	// deleteSpread later, so that not all hosts try at once.
	rowLifetime  = 10 * time.Minute
	deleteSpread = time.Minute
	// maxRenewals ends a quarantine after an hour or more, so that a part is tried
	// again although calls with it keep coming.
	maxRenewals = 12
	// otherHosts is how long the hosts that lost a call with a part have to store it
	// before others do.
	otherHosts = 2 * time.Second
	// deletionMemory is how long a deletion is remembered.
	deletionMemory = storer.MaxLost
	// maxWrites limits the writes of one synchronisation.
	maxWrites    = 8
	writeTimeout = 1500 * time.Millisecond
)

// Quarantine holds the parts in quarantine at this host.
type Quarantine interface {
	Holds() []screener.Hold
	Hold(part router.PromptPart, signatures []quarantiner.Signature)
	Release(part router.PromptPart)
	// TakeReleased returns the parts whose rows this host has to delete.
	TakeReleased() []router.PromptPart
}

// document is the value of a row.
type document struct {
	Renewals   int                     `cbor:"1,keyasint,omitempty"`
	Signatures []quarantiner.Signature `cbor:"2,keyasint,omitempty"`
}

type row struct {
	version  storer.Version
	renewals int
	seen     time.Time // when this version was first read
	deleteAt time.Time
}

// Registrar keeps the rows of parts in quarantine. It implements follower.Handler for
// their table.
type Registrar struct {
	quarantine Quarantine
	store      storer.Committer
	log        *logger.Logger
	mu         sync.Mutex
	rows       map[router.PromptPart]row
	obsolete   map[router.PromptPart]bool      // rows to delete
	deleted    map[router.PromptPart]time.Time // when the deletion of a row was read
	restored   bool                            // the next rows are from a restored copy of the store
}

// New returns a registrar that writes to the table store.
func New(q Quarantine, store storer.Committer, log *logger.Logger) *Registrar {
	return &Registrar{
		quarantine: q, store: store, log: log.Component("registrar"),
		rows: make(map[router.PromptPart]row), obsolete: make(map[router.PromptPart]bool),
		deleted: make(map[router.PromptPart]time.Time),
	}
}

// Contact implements follower.Handler.
func (*Registrar) Contact(storer.Version, time.Duration, time.Duration) {}

// Restored implements follower.Handler. A row that the store has lost is written again,
// and one that had been deleted is deleted again.
func (r *Registrar) Restored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = true
	clear(r.rows)
}

// Replace applies all rows of the table.
func (r *Registrar) Replace(changes []storer.Change) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Key()] = true
	}
	var gone []storer.Change
	r.mu.Lock()
	for part, old := range r.rows {
		if key := keyPrefix + string(part); !listed[key] {
			gone = append(gone, storer.NewRemoval(key, old.version))
		}
	}
	r.mu.Unlock()
	r.Apply(append(gone, changes...))
	r.mu.Lock()
	r.restored = false
	r.mu.Unlock()
}

// Apply applies changes of rows. Rows of other kinds are left out.
func (r *Registrar) Apply(changes []storer.Change) {
	for _, c := range changes {
		if part, ok := strings.CutPrefix(c.Key(), keyPrefix); ok {
			r.apply(router.PromptPart(part), c)
		}
	}
}

func (r *Registrar) apply(part router.PromptPart, c storer.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.rows[part]
	switch {
	case known && c.Version() < old.version, known && c.Version() == old.version && !c.Removed():
		return
	case c.Removed():
		delete(r.rows, part)
		delete(r.obsolete, part)
		r.deleted[part] = time.Now()
		if known {
			r.quarantine.Release(part)
			r.log.Info("part-released", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "row deleted"))
		}
		return
	}
	doc, err := encoder.Unmarshal[document](c.Value())
	if err != nil {
		r.log.Warn("row-not-read", logger.With(logger.KeyParts, part), logger.Err(err))
		return
	}
	now := time.Now()
	spread := time.Duration(rand.Int64N(int64(deleteSpread)))
	r.rows[part] = row{version: c.Version(), renewals: doc.Renewals, seen: now, deleteAt: now.Add(rowLifetime + spread)}
	if _, was := r.deleted[part]; was && r.restored {
		r.obsolete[part] = true
		r.log.Info("row-obsolete", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "deleted before the store was restored"))
		return
	}
	delete(r.deleted, part)
	r.quarantine.Hold(part, doc.Signatures)
	if !known {
		r.log.Info("part-quarantined", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "row"))
	}
}

// Synchronise writes the rows that the quarantine of this host requires.
func (r *Registrar) Synchronise(ctx context.Context) {
	for _, w := range r.plan(time.Now(), r.quarantine.Holds(), r.quarantine.TakeReleased()) {
		if err := r.write(ctx, w); err != nil {
			r.log.Warn("quarantine-not-stored", logger.Err(err))
		}
	}
}

// plan returns the writes that are due.
func (r *Registrar) plan(now time.Time, holds []screener.Hold, released []router.PromptPart) []storer.Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range released {
		r.obsolete[part] = true
	}
	var writes []storer.Write
	for _, h := range holds {
		stored, ok := r.rows[h.Part()]
		switch {
		case !ok && (h.Lost() || now.Sub(h.Since()) > otherHosts):
			writes = append(writes, put(h.Part(), document{Signatures: h.Signatures()}, 0))
		case ok && h.Refused().After(stored.seen) && now.Sub(stored.seen) > rowLifetime/2 && stored.renewals < maxRenewals:
			writes = append(writes, put(h.Part(), document{Renewals: stored.renewals + 1, Signatures: h.Signatures()}, stored.version))
		}
	}
	maps.DeleteFunc(r.deleted, func(_ router.PromptPart, at time.Time) bool { return now.Sub(at) > deletionMemory })
	for part := range r.obsolete {
		if _, ok := r.rows[part]; !ok {
			delete(r.obsolete, part)
		}
	}
	for part, stored := range r.rows {
		if r.obsolete[part] || now.After(stored.deleteAt) {
			writes = append(writes, storer.NewDelete(keyPrefix+string(part), stored.version))
		}
	}
	return writes[:min(len(writes), maxWrites)]
}

func put(part router.PromptPart, doc document, expected storer.Version) storer.Write {
	value, err := encoder.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("encode row of a prompt part: %v", err)) // a number can always be encoded
	}
	return storer.NewPut(keyPrefix+string(part), value, expected)
}

// write commits one write and applies its result. If another host was first, the row
// that it wrote is applied.
func (r *Registrar) write(ctx context.Context, w storer.Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := r.store.Commit(ctx, w)
	var conflict *storer.RowConflict
	switch {
	case errors.As(err, &conflict):
		r.Apply(conflict.Changes())
	case err != nil:
		return fmt.Errorf("commit row: %w", err)
	default:
		r.applyWrite(w, version)
	}
	return nil
}

func (r *Registrar) applyWrite(w storer.Write, version storer.Version) {
	switch w := w.(type) {
	case storer.Put:
		r.Apply([]storer.Change{storer.NewChange(storer.NewRow(w.Key(), w.Value(), version))})
	case storer.Delete:
		r.Apply([]storer.Change{storer.NewRemoval(w.Key(), version)})
	}
}

// Parts returns the parts that have a row, in order.
func (r *Registrar) Parts() []router.PromptPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.rows))
}
