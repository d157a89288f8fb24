package tracker

import (
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// removalMemory is how long a process that was removed is remembered.
	removalMemory = storer.MaxLost
	// verifyReports is the time, in reports of a process, for which one that was removed
	// is not used although a restored copy of the store still lists it. The store removes
	// the entry of a process that is silent for three reports.
	verifyReports = 4
	// defaultReportInterval is the time between two reports if none is set.
	defaultReportInterval = 1200 * time.Millisecond
)

// removedProcess is a process that was removed.
type removedProcess struct {
	endpoint *Endpoint
	born     int64
	draining bool
	at       time.Time
}

// unverifiedEntry is an entry of a process that was removed, or said that it leaves, before the
// store was restored. After the latter only an entry that is written anew counts.
type unverifiedEntry struct {
	entry    Entry
	draining bool
	until    time.Time
}

// Option sets an optional property of a Tracker.
type Option func(*Tracker)

// WithReportInterval sets the time between two reports of a process to the store.
func WithReportInterval(d time.Duration) Option { return func(t *Tracker) { t.reportInterval = d } }

func (t *Tracker) verifyTime() time.Duration { return verifyReports * t.reportInterval }

// Restored reports that the store has been restored from an older copy, so that it may
// list processes that have left since, or that leave.
func (t *Tracker) Restored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restored = time.Now()
}

// forget removes a record. It requires mu.
func (t *Tracker) forget(id string, r *record) {
	delete(t.records, id)
	t.removed[id] = removedProcess{endpoint: r.endpoint, born: r.endpoint.entry.born, draining: r.draining, at: time.Now()}
}

// returned returns the endpoint of a process whose entry was removed lately and is there
// again. What calls have learned of it still holds: it may want no calls for a time, leave,
// or accept a limited rate. It requires mu.
func (t *Tracker) returned(e Entry) *Endpoint {
	if d, ok := t.removed[e.id]; ok && d.endpoint.entry.sameProcess(e) {
		return d.endpoint
	}
	return nil
}

// sameProcess reports whether two entries are of one process that has not changed.
func (e Entry) sameProcess(other Entry) bool {
	return e.id == other.id && e.born == other.born && e.address == other.address && e.service == other.service &&
		e.dataCentre == other.dataCentre && e.slots == other.slots && e.software == other.software
}

// list applies an entry that the store lists. For a time after a restore, an entry of a
// process that is known to have left, or to leave, is set aside. It requires mu.
func (t *Tracker) list(e Entry) Event {
	now := time.Now()
	d, left := t.removed[e.id]
	if r := t.records[e.id]; r != nil {
		d, left = removedProcess{born: r.endpoint.entry.born, draining: true}, r.draining
	}
	if now.Sub(t.restored) > t.verifyTime() || e.draining || !left || d.born != e.born {
		return t.upsert(e)
	}
	if _, known := t.unverified[e.id]; !known {
		t.unverified[e.id] = unverifiedEntry{entry: e, draining: d.draining, until: now.Add(t.verifyTime())}
	}
	return nil
}

// expireRemoved uses the entries that are listed for long enough to be those of live
// processes, forgets old removals, and returns the resulting events. It requires mu.
func (t *Tracker) expireRemoved(now time.Time) []Event {
	var events []Event
	for id, d := range t.unverified {
		if d.draining || now.Before(d.until) {
			continue
		}
		delete(t.unverified, id)
		if event := t.upsert(d.entry); event != nil {
			events = append(events, event)
		}
	}
	for id, d := range t.removed {
		if now.Sub(d.at) > removalMemory {
			delete(t.removed, id)
		}
	}
	return events
}
