package tracker

import "time"

const (
	// departureMemory is how long a process that was removed is remembered. A store that
	// is restored loses the writes of a shorter time.
	departureMemory = time.Minute
	// doubtfulReports is the time, in reports of a process, for which one that was removed
	// is not used although a restored copy of the store still lists it. The store removes
	// the entry of a process that is silent for three reports.
	doubtfulReports = 4
	// defaultReportInterval is the time between two reports if none is set.
	defaultReportInterval = 1200 * time.Millisecond
)

// departure is a process that was removed.
type departure struct {
	born     int64
	draining bool
	at       time.Time
}

// doubt is an entry of a process that was removed, or said that it leaves, before the
// store was restored. After the latter only an entry that is written anew counts.
type doubt struct {
	entry    Entry
	draining bool
	until    time.Time
}

// Option sets an optional property of a Tracker.
type Option func(*Tracker)

// WithReportInterval sets the time between two reports of a process to the store.
func WithReportInterval(d time.Duration) Option { return func(t *Tracker) { t.reportInterval = d } }

func (t *Tracker) doubtTime() time.Duration { return doubtfulReports * t.reportInterval }

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
	t.departed[id] = departure{born: r.endpoint.entry.born, draining: r.draining, at: time.Now()}
}

// list applies an entry that the store lists. For a time after a restore, an entry of a
// process that is known to have left, or to leave, is set aside. It requires mu.
func (t *Tracker) list(e Entry) Event {
	now := time.Now()
	d, left := t.departed[e.id]
	if r := t.records[e.id]; r != nil {
		d, left = departure{born: r.endpoint.entry.born, draining: true}, r.draining
	}
	if now.Sub(t.restored) > t.doubtTime() || e.draining || !left || d.born != e.born {
		return t.upsert(e)
	}
	if _, known := t.doubtful[e.id]; !known {
		t.doubtful[e.id] = doubt{entry: e, draining: d.draining, until: now.Add(t.doubtTime())}
	}
	return nil
}

// expireDeparted uses the entries that are listed for long enough to be those of live
// processes, forgets old departures, and returns the resulting events. It requires mu.
func (t *Tracker) expireDeparted(now time.Time) []Event {
	var events []Event
	for id, d := range t.doubtful {
		if d.draining || now.Before(d.until) {
			continue
		}
		delete(t.doubtful, id)
		if event := t.upsert(d.entry); event != nil {
			events = append(events, event)
		}
	}
	for id, d := range t.departed {
		if now.Sub(d.at) > departureMemory {
			delete(t.departed, id)
		}
	}
	return events
}
