package archiver

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// keyPrefix precedes the service in the key of its row in the table of the hosts.
	keyPrefix = "software/"
	// lookupTimeout limits the time of one lookup.
	lookupTimeout = time.Second
	// settleTime is how long after the store has answered again records may be missing
	// that hosts could not store before.
	settleTime = 2 * time.Second
	// writeTimeout limits the time of one write.
	writeTimeout = 1500 * time.Millisecond
)

// Records is the table of the records of streams. Its rows are read one by one.
type Records interface {
	storer.Committer
	// Get returns a row, or false if there is none.
	Get(ctx context.Context, key string) (storer.Row, bool, error)
	Snapshot(ctx context.Context) (storer.Changes, error)
}

// stateDocument is the value of the row of a service.
type stateDocument struct {
	Base  string `cbor:"1,keyasint"`
	Mixed bool   `cbor:"2,keyasint,omitempty"`
}

// Archiver keeps the rows of services and the records of streams. It implements
// follower.Handler for the table of the hosts.
type Archiver struct {
	pinner   *pinner.Pinner
	hosts    storer.Committer
	lifetime time.Duration
	log      *logger.Logger
	queue    *queue
	records  Records

	restoredAt atomic.Int64         // Unix nanoseconds; 0 if the store has not been restored
	failedAt   atomic.Int64         // Unix nanoseconds of the last failed call to the store
	stamps     map[string]time.Time // when a record was first listed, by key; used by DeleteOld only
	mu         sync.Mutex
	rows       map[string]storer.Version // by service
}

// New returns an archiver. Hosts is the table of the hosts, and lifetime the time after
// which a stream is over.
func New(p *pinner.Pinner, hosts storer.Committer, records Records, lifetime time.Duration, log *logger.Logger) *Archiver {
	a := &Archiver{
		pinner: p, hosts: hosts, records: records, lifetime: lifetime, log: log.Component("archiver"),
		rows: make(map[string]storer.Version), stamps: make(map[string]time.Time),
	}
	a.queue = newQueue(a.store)
	return a
}

// Run stores records until ctx is done.
func (a *Archiver) Run(ctx context.Context) { a.queue.run(ctx) }

// Restored implements follower.Handler. The store may have lost records.
func (a *Archiver) Restored() { a.restoredAt.Store(time.Now().UnixNano()) }

// Contact implements follower.Handler.
func (*Archiver) Contact(storer.Version, time.Duration, time.Duration) {}

// Replace implements follower.Handler.
func (a *Archiver) Replace(rows []storer.Change) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key()] = true
	}
	a.mu.Lock()
	for service := range a.rows {
		if !listed[keyPrefix+service] {
			delete(a.rows, service)
			a.pinner.Forget(service)
		}
	}
	a.mu.Unlock()
	a.Apply(rows)
}

// Apply implements follower.Handler. Rows of other kinds are left out.
func (a *Archiver) Apply(changes []storer.Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range changes {
		if service, ok := strings.CutPrefix(c.Key(), keyPrefix); ok && c.Version() > a.rows[service] {
			a.apply(service, c)
		}
	}
}

// apply requires mu.
func (a *Archiver) apply(service string, c storer.Change) {
	if c.Removed() {
		delete(a.rows, service)
		a.pinner.Forget(service)
		return
	}
	doc, err := encoder.Unmarshal[stateDocument](c.Value())
	if err != nil {
		a.log.Warn("row-not-read", logger.With(logger.KeyService, service), logger.Err(err))
		return
	}
	a.rows[service] = c.Version()
	a.pinner.Store(service, pinner.NewState(doc.Base, doc.Mixed))
	a.log.Info("software-state", logger.With(logger.KeyService, service), logger.With(logger.KeySoftware, doc.Base),
		logger.With(logger.KeyHeld, doc.Mixed))
}

// Synchronise writes the rows of services whose state has changed, and deletes the
// records of streams that are over. One host at a time should call it.
func (a *Archiver) Synchronise(ctx context.Context) {
	now := time.Now()
	for _, service := range a.pinner.Services() {
		state, due := a.pinner.Plan(service, now)
		if !due {
			continue
		}
		if err := a.write(ctx, service, state); err != nil {
			a.log.Warn("software-state-not-stored", logger.With(logger.KeyService, service), logger.Err(err))
		}
	}
}

func (a *Archiver) write(ctx context.Context, service string, state pinner.State) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := encoder.Marshal(stateDocument{Base: state.Base(), Mixed: state.Mixed()})
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	a.mu.Lock()
	expected := a.rows[service]
	a.mu.Unlock()
	key := keyPrefix + service
	version, err := a.hosts.Commit(ctx, storer.NewPut(key, value, expected))
	var conflict *storer.RowConflict
	switch {
	case errors.As(err, &conflict):
		a.Apply(conflict.Changes())
		return nil
	case err != nil:
		return fmt.Errorf("commit row: %w", err)
	}
	a.Apply([]storer.Change{storer.NewChange(storer.NewRow(key, value, version))})
	return nil
}

// Record stores that a stream of a service began at a version, unless that need not be
// stored. It returns when the record is stored or ctx is done; in the latter case it goes
// on to try.
func (a *Archiver) Record(ctx context.Context, service, stream, version string) error {
	if !a.pinner.NeedsRecord(service, version) {
		return nil
	}
	if err := a.queue.add(ctx, newRecord(service, stream, version)); err != nil {
		return fmt.Errorf("record software version of a stream: %w", err)
	}
	return nil
}

// Resolve returns where a stream that began with the given call may go on.
func (a *Archiver) Resolve(ctx context.Context, service, stream string) pinner.Verdict {
	if !a.pinner.NeedsLookup(service, time.Now()) {
		return pinner.Anywhere{}
	}
	return a.pinner.Decide(service, a.lookUp(ctx, service, stream), time.Now())
}

func (a *Archiver) lookUp(ctx context.Context, service, stream string) pinner.Record {
	if stream == "" {
		return pinner.Unread{} // the caller does not name the stream
	}
	if r, ok := a.queue.find(service, stream); ok {
		return pinner.NewRecorded(r.version)
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	row, found, err := a.records.Get(ctx, recordKey(service, stream))
	switch {
	case err != nil:
		a.failedAt.Store(time.Now().UnixNano())
		return pinner.Unread{}
	case !found && !a.complete(time.Now()):
		return pinner.Unread{}
	case !found:
		return pinner.Unrecorded{}
	}
	doc, err := encoder.Unmarshal[recordDocument](row.Value())
	if err != nil {
		a.log.Warn("row-not-read", logger.Request(stream), logger.Err(err))
		return pinner.Unread{}
	}
	return pinner.NewRecorded(doc.Version)
}

// complete reports whether the store has the records of all streams that may go on.
func (a *Archiver) complete(now time.Time) bool {
	since := func(at *atomic.Int64) time.Duration { return now.Sub(time.Unix(0, at.Load())) }
	return since(&a.restoredAt) > a.lifetime && since(&a.failedAt) > settleTime
}
