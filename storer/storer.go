package storer

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of the platform services.
var (
	// ErrNotFound reports a row or object that does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict reports a commit with a failed condition. Nothing was written.
	ErrConflict = eris.New("row version conflict")
	// ErrUnavailable reports a request that had no effect because the service is
	// down.
	ErrUnavailable = eris.New("service unavailable")
	// ErrUncertain reports a write that may or may not have been applied.
	ErrUncertain = eris.New("write may or may not have been applied")
	// ErrTooLarge reports a commit that was not sent, because it has more entries or bytes
	// than the service takes.
	ErrTooLarge = eris.New("commit is too large")
	// ErrRejected reports a commit that the service does not accept. It had no effect, and
	// would be rejected again.
	ErrRejected = eris.New("commit was rejected")
)

// ConflictError reports the row whose version did not match.
type ConflictError struct {
	key string
}

// NewConflictError returns a conflict on the row with the given key.
func NewConflictError(key string) *ConflictError { return &ConflictError{key: key} }

// Key returns the row's key.
func (e *ConflictError) Key() string { return e.key }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has another version", e.key)
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Version is the version of a row. In a Table, it counts the writes of the row. In a
// Feed, it is the version of the whole table as of the row's last write. Zero stands
// for a row that does not exist.
//
// A store that is restored from a copy gives numbers out again, so that a number names a
// state only together with the era, which rises with each restore. A Version holds both,
// the era in the high bits: any version of a later era is greater than one of an earlier
// era.
type Version uint64

// versionNumberBits is enough for a thousand commits a second over 30 years. A version of
// one of the first 8,192 eras is exact also where numbers are floats of 64 bits.
const versionNumberBits = 40

const maxVersionNumber = 1<<versionNumberBits - 1

// NewVersion returns the version with a number of an era.
func NewVersion(era, number uint64) Version {
	return Version(era<<versionNumberBits | min(number, maxVersionNumber))
}

// Era returns how often the store had been restored when it gave the version out.
func (v Version) Era() uint64 { return uint64(v) >> versionNumberBits }

// Number returns the number of the version within its era.
func (v Version) Number() uint64 { return uint64(v) & maxVersionNumber }

// Row is a row of the table.
type Row struct {
	key     string
	value   []byte
	version Version
}

// NewRow returns a row. The caller must not modify value afterwards.
func NewRow(key string, value []byte, version Version) Row {
	return Row{key: key, value: value, version: version}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value. The caller must not modify it.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version.
func (r Row) Version() Version { return r.version }

// Write is one operation of a commit: Put, Delete or Check.
type Write interface {
	// Key returns the key of the row.
	Key() string
	// Expected returns the version that the row must have for the commit to succeed.
	Expected() Version
	write()
}

type condition struct {
	key      string
	expected Version
}

func (c condition) Key() string       { return c.key }
func (c condition) Expected() Version { return c.expected }
func (condition) write()              {}

// Put stores the value of a row.
type Put struct {
	condition
	value []byte
}

// NewPut returns a write that stores value if the row has the expected version.
func NewPut(key string, value []byte, expected Version) Put {
	return Put{condition: condition{key: key, expected: expected}, value: value}
}

// Value returns the value to store.
func (p Put) Value() []byte { return p.value }

// Delete removes a row.
type Delete struct{ condition }

// NewDelete returns a write that removes the row if it has the expected version.
func NewDelete(key string, expected Version) Delete {
	return Delete{condition{key: key, expected: expected}}
}

// Check writes nothing. It is a condition on the version of a row.
type Check struct{ condition }

// NewCheck returns a condition on a row.
func NewCheck(key string, expected Version) Check {
	return Check{condition{key: key, expected: expected}}
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and come after
	// the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It fails with a ConflictError, with
	// ErrUnavailable when nothing was written, or with ErrUncertain.
	Commit(ctx context.Context, writes ...Write) error
}

// Objects is the object store. Objects are immutable: a repeated Put of a key must
// store the same bytes.
type Objects interface {
	Put(ctx context.Context, key string, body []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// Host is an entry in the host list.
type Host struct {
	name    string
	leaving bool
}

// NewHost returns an entry of the host list.
func NewHost(name string, leaving bool) Host { return Host{name: name, leaving: leaving} }

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Leaving reports whether the host is about to stop.
func (h Host) Leaving() bool { return h.leaving }

// Hosts is the platform's list of live and leaving hosts. It lags behind the actual
// state.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// GetAll returns all rows under prefix. It reads them page by page.
func GetAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var (
		all   []Row
		after string
	)
	for {
		rows, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, fmt.Errorf("scan rows under %q: %w", prefix, err)
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key()
	}
}

// scanPage is the number of rows per request. The lease rows of 560 nodes fit into
// one page. If each node needed a second page every second, that would be 560 more
// reads per second.
const scanPage = 1000
