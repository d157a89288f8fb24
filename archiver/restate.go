package archiver

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
)

// restatement holds which records are stored in the latest era of the store.
type restatement struct {
	mu     sync.Mutex
	era    uint64
	stored map[string]bool // by key
}

// add records that the store has records in an era.
func (r *restatement) add(era uint64, batch []*record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reach(era)
	if era < r.era {
		return
	}
	for _, one := range batch {
		r.stored[one.Key()] = true
	}
}

// reach requires mu.
func (r *restatement) reach(era uint64) {
	if era > r.era || r.stored == nil {
		r.era, r.stored = era, make(map[string]bool)
	}
}

// missing returns the records that are not known to be stored in an era.
func (r *restatement) missing(era uint64, records []replicator.Record) []replicator.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reach(era)
	var list []replicator.Record
	for _, one := range records {
		if era < r.era || !r.stored[one.Key()] {
			list = append(list, one)
		}
	}
	return list
}

// clear forgets what is stored.
func (r *restatement) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = nil
}

// Restored implements follower.Handler. The store may have lost records, which hosts store
// again.
func (a *Archiver) Restored() { a.storeAgain(a.unstored()) }

// Restate stores the records again that a restore of the store may have lost. It has to be
// called until no record is missing, because other hosts may end and leave theirs to this one.
func (a *Archiver) Restate() {
	if a.pinner.AwaitsRestatement(time.Now()) {
		a.storeAgain(a.unstored())
		return
	}
	a.restated.clear()
}

// RestatedEra returns the latest era of the store if that has all records that this host has
// to store, and 0 otherwise.
func (a *Archiver) RestatedEra() uint64 {
	era := a.records.Era()
	if len(a.unstored()) > 0 || a.records.Era() != era {
		return 0
	}
	return era
}

// unstored returns the records that this host has to store and that are not known to be in
// the store in its latest era.
func (a *Archiver) unstored() []replicator.Record {
	now := time.Now()
	var list []replicator.Record
	for _, r := range a.replicas.Responsible() {
		if _, ok := a.pinner.Recording(r.Service(), r.Version(), now).(pinner.Stored); ok {
			list = append(list, r)
		}
	}
	return a.restated.missing(a.records.Era(), list)
}

func (a *Archiver) storeAgain(records []replicator.Record) {
	for _, r := range records {
		if err := a.queue.add(newRecord(r)); err != nil {
			a.log.Warn("records-not-stored", logger.Err(err))
			return
		}
	}
}
