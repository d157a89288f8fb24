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
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// keyPrefix precedes the service in the key of its row in the table of the hosts.
	keyPrefix = "software/"
	// lookupTimeout limits the time of one lookup.
	lookupTimeout = time.Second
	// storeGrace is how much longer a call waits for the store once other hosts have
	// answered, and for other hosts once the store has.
	storeGrace = 300 * time.Millisecond
	// settleTime is how long after the store has answered again records may be missing
	// that hosts could not store before.
	settleTime = 2 * time.Second
	// writeTimeout limits the time of one write.
	writeTimeout = 1500 * time.Millisecond
	// listTimeout limits the time of a read of all records, of which there may be many pages.
	listTimeout = 10 * time.Second
)

// Records is the table of the records of streams. Its rows are read one by one.
type Records interface {
	storer.Committer
	// Get returns a row, or false if there is none.
	Get(ctx context.Context, key string) (storer.Row, bool, error)
	// Era returns the latest era of the store's answers, from any table.
	Era() uint64
	Snapshot(ctx context.Context) (storer.Changes, error)
}

// Replicas are the records that other hosts keep in their memory.
type Replicas interface {
	// Replicate has other hosts keep a record. The channel receives nil once enough do.
	Replicate(r replicator.Record) <-chan error
	// ReplicateToAll has all other hosts keep a record. The channel receives nil once they do.
	ReplicateToAll(r replicator.Record) <-chan error
	// Share has other hosts keep a record soon.
	Share(r replicator.Record)
	// Find asks the hosts that may keep a record. Each gives one answer.
	Find(ctx context.Context, service, key string) <-chan pinner.Answer
	// Responsible returns the records that this host has to store again after a restore.
	Responsible() []replicator.Record
}

// stateDocument is the value of the row of a service.
type stateDocument struct {
	Base  string `cbor:"1,keyasint"`
	Mixed bool   `cbor:"2,keyasint,omitempty"`
	Era   uint64 `cbor:"3,keyasint,omitempty"` // latest era of which no record is missing
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
	replicas Replicas
	restated restatement

	failedAt    atomic.Int64              // Unix nanoseconds of the last failed call to the store
	endpointsAt atomic.Pointer[time.Time] // when the endpoints were read last
	statesAt    atomic.Pointer[time.Time] // when the rows of services were read last
	stamps      map[string]time.Time      // when a record was first listed, by key; used by DeleteOld only
	mu          sync.Mutex
	rows        map[string]storer.Version // by service
}

// New returns an archiver. Hosts is the table of the hosts, and lifetime the time after
// which a stream is over.
func New(p *pinner.Pinner, hosts storer.Committer, records Records, replicas Replicas, lifetime time.Duration, log *logger.Logger) *Archiver {
	a := &Archiver{
		pinner: p, hosts: hosts, records: records, replicas: replicas, lifetime: lifetime, log: log.Component("archiver"),
		rows: make(map[string]storer.Version), stamps: make(map[string]time.Time),
	}
	a.endpointsAt.Store(&time.Time{})
	a.statesAt.Store(&time.Time{})
	a.queue = newQueue(a.store)
	return a
}

// Run stores records until ctx is done.
func (a *Archiver) Run(ctx context.Context) { a.queue.run(ctx) }

// Contact implements follower.Handler.
func (a *Archiver) Contact(v storer.Version, _, age time.Duration) {
	now := time.Now()
	a.pinner.ReachEra(v.Era(), now)
	at := now.Add(-age)
	a.statesAt.Store(&at)
}

// EndpointsRead records that the table of the endpoints has been read as it was some time
// ago.
func (a *Archiver) EndpointsRead(age time.Duration) {
	at := time.Now().Add(-age)
	a.endpointsAt.Store(&at)
}

// Reading returns when the tables were read last.
func (a *Archiver) Reading() pinner.Reading {
	return pinner.NewReading(*a.endpointsAt.Load(), *a.statesAt.Load())
}

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
	a.pinner.ReachEra(c.Version().Era(), time.Now())
	a.pinner.Store(service, pinner.NewState(doc.Base, doc.Mixed).InEra(doc.Era))
	a.log.Info("software-state", logger.With(logger.KeyService, service), logger.With(logger.KeySoftware, doc.Base),
		logger.With(logger.KeyHeld, doc.Mixed), logger.With(logger.KeyEra, doc.Era))
}

// Synchronise writes the rows of services whose state has changed, and deletes the
// records of streams that are over. One host at a time should call it.
func (a *Archiver) Synchronise(ctx context.Context) {
	now := time.Now()
	for _, service := range a.pinner.Services() {
		state, due := a.pinner.Plan(service, a.Reading(), now)
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
	value, err := encoder.Marshal(stateDocument{Base: state.Base(), Mixed: state.Mixed(), Era: state.Era()})
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
