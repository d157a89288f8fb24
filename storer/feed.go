package storer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost reports that the changes after a version are no longer available.
// A follower has to read the whole table again.
var ErrHistoryLost = eris.New("history of the table is no longer available")

// Change is a row that was written or removed.
type Change struct {
	Row
	removed bool
}

// NewChange returns a written row.
func NewChange(r Row) Change { return Change{Row: r} }

// NewRemoval returns the removal of a row.
func NewRemoval(key string, v Version) Change {
	return Change{Row: Row{key: key, version: v}, removed: true}
}

// Removed reports whether the row was removed.
func (c Change) Removed() bool { return c.removed }

// MaxLost is the longest time whose writes a store loses when it is restored from a copy.
const MaxLost = time.Minute

// Changes holds the rows that changed up to a version.
type Changes struct {
	list    []Change
	version Version
	clock   time.Duration
	age     time.Duration
}

// NewChanges returns changes, which must be in the order in which they were
// committed. Clock is the store's monotonic clock at the time of its response, or 0
// if it has none.
func NewChanges(list []Change, v Version, clock time.Duration) Changes {
	return Changes{list: list, version: v, clock: clock}
}

// Clock returns the store's monotonic clock at the time of its response, or 0.
func (c Changes) Clock() time.Duration { return c.clock }

// Aged returns the changes as those of a copy that agreed with the store a time ago.
func (c Changes) Aged(age time.Duration) Changes {
	c.age = age
	return c
}

// Age returns how long ago the store confirmed the changes; 0 for an answer of its own.
func (c Changes) Age() time.Duration { return c.age }

// List returns the changes. The caller must not modify the slice.
func (c Changes) List() []Change { return c.list }

// Version returns the version of the table up to which the changes are complete.
func (c Changes) Version() Version { return c.version }

// Feed is a table whose changes can be followed.
type Feed interface {
	// Snapshot returns all rows as of one version.
	Snapshot(ctx context.Context) (Changes, error)
	// Follow returns the changes after a version as soon as there is one, or no
	// changes after wait. It fails with ErrHistoryLost if the changes after the
	// version are no longer available.
	Follow(ctx context.Context, after Version, wait time.Duration) (Changes, error)
}

// Committer applies conditional writes.
type Committer interface {
	// Commit applies all writes or none and returns the new version of the rows. It
	// fails like Table.Commit, with ErrTooLarge if the writes exceed a Batch, or with
	// ErrRejected.
	Commit(ctx context.Context, writes ...Write) (Version, error)
}

// RowConflict reports a commit with a failed condition and holds the current rows.
type RowConflict struct {
	*ConflictError
	changes []Change
}

// NewRowConflict returns a conflict on key with the current state of the rows that
// the commit had conditions on.
func NewRowConflict(key string, changes []Change) *RowConflict {
	return &RowConflict{ConflictError: NewConflictError(key), changes: changes}
}

// Changes returns the current state of the rows.
func (e *RowConflict) Changes() []Change { return e.changes }
