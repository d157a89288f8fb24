package enroller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/storer"
)

// clockError bounds the error of the store's clock as hosts estimate it, which is the time
// that an answer of the store takes.
const clockError = time.Second

// MaxCopies is the number of eras for which the time of the copy is kept. More restores than
// that within the lifetime of a stream leave the records of streams unconfirmed until those
// streams are over.
const MaxCopies = 16

// CopiedAt returns, by the era that a restore of the store began, a time up to which the copy
// has all writes. Restores before this process started are missing.
func (e *Enroller) CopiedAt() map[uint64]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.copiedAt)
}

// observeCopy derives from rows of a later era than that of the latest contact how old the
// copy is that the store was restored from: it is newer than the renewals that it has. Those
// that the store may have taken since the restore do not count.
func (e *Enroller) observeCopy(rows []storer.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view.Load()
	if v.lastContact.IsZero() || v.storeClockZero.IsZero() {
		return
	}
	for _, r := range rows {
		era := r.Version().Era()
		if r.Removed() || era <= v.version.Era() || !strings.HasPrefix(r.Key(), HostPrefix) {
			continue
		}
		doc, err := encoder.Unmarshal[hostDocument](r.Value())
		if err != nil || doc.ClockMS == 0 {
			continue
		}
		at := v.storeClockZero.Add(time.Duration(doc.ClockMS)*time.Millisecond - clockError)
		if at.Before(v.confirmed.Add(-e.writeLimit()-clockError)) && at.After(e.copiedAt[era]) {
			e.copiedAt[era] = at
			e.dropOldCopies()
		}
	}
}

// dropOldCopies drops the times of the oldest eras. The caller must hold mu.
func (e *Enroller) dropOldCopies() {
	for len(e.copiedAt) > MaxCopies {
		delete(e.copiedAt, slices.Min(slices.Collect(maps.Keys(e.copiedAt))))
	}
}
