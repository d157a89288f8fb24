package archiver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
)

// Beginning returns whether a stream may begin at a version.
func (a *Archiver) Beginning(service, version string) pinner.Beginning {
	now := time.Now()
	storing := !a.queue.late(now) && !a.failedWithin(now, settleTime)
	return a.pinner.Beginning(service, version, storing, now)
}

// Record records that a stream of a service began at a version, if the absence of a record
// would not say so. It returns nil once the store has the record or, while the base version
// does not serve, enough other hosts have it. It waits a moment for both. If it returns an
// error, the record may come to be known none the less.
func (a *Archiver) Record(ctx context.Context, service, stream, version string) error {
	began := replicator.NewRecord(service, stream, version)
	now := time.Now()
	switch a.pinner.Recording(service, version, now).(type) {
	case pinner.NotRecorded:
		return nil
	case pinner.Shared:
		a.replicas.Share(began)
		return nil
	}
	if a.pinner.Young(service, version, now) {
		return a.awaitAll(ctx, began)
	}
	if a.pinner.BaseServes(service) {
		return a.awaitStored(ctx, began)
	}
	return a.awaitOne(ctx, a.enqueue(began).stored, a.replicas.Replicate(began))
}

// awaitStored returns nil once a record is stored, after a grace time for other hosts, which
// know it if the store comes back from an older copy.
func (a *Archiver) awaitStored(ctx context.Context, began replicator.Record) error {
	r, replicated := a.enqueue(began), a.replicas.Replicate(began)
	if err := r.await(ctx); err != nil {
		return err
	}
	select {
	case <-replicated:
	case <-time.After(storeGrace):
	}
	return nil
}

// enqueue has a record stored. If the queue is full, the record never is.
func (a *Archiver) enqueue(began replicator.Record) *record {
	r := newRecord(began)
	if err := a.queue.add(r); err != nil {
		a.log.Warn("records-not-stored", logger.With(logger.KeyService, began.Service()), logger.Err(err))
	}
	return r
}

// awaitAll returns nil once all hosts know the record, and with it a version that they may
// not have read of yet. It is stored, too.
func (a *Archiver) awaitAll(ctx context.Context, began replicator.Record) error {
	r := a.enqueue(began)
	if a.pinner.BaseServes(began.Service()) {
		if err := r.await(ctx); err != nil {
			return err
		}
	}
	select {
	case err := <-a.replicas.ReplicateToAll(began):
		switch {
		case errors.Is(err, replicator.ErrAlone):
			return a.awaitOne(ctx, r.stored, nil)
		case err != nil:
			return fmt.Errorf("replicate a record to all hosts: %w", err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("replicate a record to all hosts: %w", context.Cause(ctx))
	}
}

// awaitOne returns nil once a record is stored or kept by other hosts, after a grace time
// for the other of the two.
func (a *Archiver) awaitOne(ctx context.Context, stored <-chan struct{}, replicated <-chan error) error {
	var grace <-chan time.Time
	kept := false
	for stored != nil || replicated != nil {
		select {
		case <-stored:
			stored, kept = nil, true
		case err := <-replicated:
			replicated, kept = nil, kept || err == nil
		case <-grace:
			return nil
		case <-ctx.Done():
			if kept {
				return nil
			}
			return fmt.Errorf("record software version of a stream: %w", context.Cause(ctx))
		}
		if kept && grace == nil {
			grace = time.After(storeGrace)
		}
	}
	return nil
}

// Resolve returns where a stream that began with the given call may go on.
func (a *Archiver) Resolve(ctx context.Context, service, stream string) pinner.Verdict {
	if !a.pinner.NeedsLookup(service, a.Reading(), time.Now()) {
		return pinner.Anywhere{}
	}
	record := a.lookUp(ctx, service, stream)
	return a.pinner.Decide(service, record, a.Reading(), time.Now())
}

// lookUp asks the hosts that may keep the record of a stream and the store.
func (a *Archiver) lookUp(ctx context.Context, service, stream string) pinner.Record {
	if stream == "" {
		return pinner.Unread{} // the caller does not name the stream
	}
	key := replicator.Key(service, stream)
	if r, ok := a.queue.find(key); ok {
		return pinner.NewRecorded(r.Version())
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	stored := make(chan pinner.Answer, 1)
	go func() { stored <- a.read(ctx, service, key) }() // ends with ctx
	hosts, store := a.collect(ctx, a.replicas.Find(ctx, service, key), stored)
	record := a.pinner.Assess(hosts, store)
	a.log.Info("stream-looked-up", logger.Request(stream), logger.With(logger.KeyService, service),
		logger.With(logger.KeyOutcome, fmt.Sprintf("%T", record)), logger.With(logger.KeyReason, describe(hosts, store)))
	return record
}

// collect returns the answers of the hosts and of the store. It returns early if a record
// is found. Once all hosts have answered, it waits for the store for a grace time only if
// they prove that there is no record.
func (a *Archiver) collect(ctx context.Context, answers, stored <-chan pinner.Answer) (hosts []pinner.Answer, store pinner.Answer) {
	store = pinner.NewAbsent(pinner.Unknown{})
	var grace <-chan time.Time
	for answers != nil || stored != nil {
		select {
		case answer, ok := <-answers:
			if !ok {
				answers = nil
				if _, open := a.pinner.Assess(hosts, store).(pinner.Unread); !open {
					grace = time.After(storeGrace)
				}
				continue
			}
			hosts = append(hosts, answer)
			if _, found := answer.(pinner.Found); found {
				return hosts, store
			}
		case store = <-stored:
			stored = nil
			if _, found := store.(pinner.Found); found {
				return hosts, store
			}
		case <-grace:
			return hosts, store
		case <-ctx.Done():
			return hosts, store
		}
	}
	return hosts, store
}

// describe returns the answers for the log, the store's last.
func describe(hosts []pinner.Answer, store pinner.Answer) string {
	text := ""
	for _, a := range append(hosts, store) {
		switch a := a.(type) {
		case pinner.Found:
			text += "found "
		case pinner.Absent:
			text += fmt.Sprintf("%T ", a.Coverage())
		}
	}
	return text
}

// read reads the record of a stream at the store.
func (a *Archiver) read(ctx context.Context, service, key string) pinner.Answer {
	row, found, err := a.records.Get(ctx, key)
	now := time.Now()
	a.pinner.ReachEra(a.records.Era(), now) // the answer may be the first one after a restore
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return pinner.NewAbsent(pinner.Unknown{}) // the hosts' answers were enough
	case err != nil:
		a.failedAt.Store(now.UnixNano())
		return pinner.NewAbsent(pinner.Unknown{})
	case !found && a.failedWithin(now, settleTime):
		return pinner.NewAbsent(pinner.Incomplete{}) // hosts may still store what they could not before
	case !found:
		return pinner.NewAbsent(a.pinner.StoreCoverage(service, now))
	}
	doc, err := encoder.Unmarshal[recordDocument](row.Value())
	if err != nil {
		a.log.Warn("row-not-read", logger.With(logger.KeyService, service), logger.Err(err))
		return pinner.NewAbsent(pinner.Unknown{})
	}
	return pinner.NewFound(doc.Version)
}

// failedWithin reports whether a call to the store has failed within a span before now.
func (a *Archiver) failedWithin(now time.Time, span time.Duration) bool {
	return now.Sub(time.Unix(0, a.failedAt.Load())) <= span
}
