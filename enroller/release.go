package enroller

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// releaseReports is for how many reports an engine has no entry until its owner gives it
	// up. The entry of an engine that cannot report for some seconds and goes on is removed
	// after three.
	releaseReports = 25
	// defaultReportInterval is the time between two reports if none is set.
	defaultReportInterval = 1200 * time.Millisecond
	// deletionMemory is how long a deletion is remembered after the row has gone, because an
	// older copy of the table may still show the row.
	deletionMemory = time.Minute
)

// release is an engine of this host that has no entry. Its owner row is deleted only once
// this host has sent no order for takeoverDelay, so that whoever claims an engine without a
// row need not wait.
type release struct {
	missing  time.Duration // on the enroller's clock; since when the engine has no entry
	stopped  time.Duration // on the enroller's clock; since when it gets no orders; 0 if it does
	deleting bool          // a deletion was sent and may have been applied
}

// stops reports whether the engine gets no orders.
func (r release) stops() bool { return r.stopped != 0 }

// Release gives up the engines of this host that have had no entry for releaseReports: it
// stops their orders, and deletes their rows later. It takes those back that have returned.
func (e *Enroller) Release(ctx context.Context, live func(engine string) bool) {
	v := e.View()
	if !e.mayClaim(v) {
		return
	}
	next := e.rememberedDeletions(v)
	var deletions, returned []string
	for engine, owner := range v.owners {
		if owner.host != e.self.name {
			continue
		}
		old, known := (*e.releases.Load())[engine]
		switch {
		case live(engine) && !old.deleting:
			continue
		case live(engine):
			returned = append(returned, engine)
		case !known:
			old.missing = e.clock()
		default:
			old = e.advance(engine, old)
		}
		if !live(engine) && old.deleting && len(deletions) < maxClaims {
			deletions = append(deletions, engine)
		}
		next[engine] = old
	}
	e.setReleases(next)
	e.deleteOwnerships(ctx, v, deletions)
	e.takeBack(ctx, v, returned)
}

// rememberedDeletions returns the releases whose rows have gone lately.
func (e *Enroller) rememberedDeletions(v *View) map[string]release {
	next := make(map[string]release)
	for engine, r := range *e.releases.Load() {
		if _, listed := v.owners[engine]; !listed && r.deleting && e.clock()-r.stopped < deletionMemory {
			next[engine] = r
		}
	}
	return next
}

// advance returns the next state of the release of an engine without an entry.
func (e *Enroller) advance(engine string, r release) release {
	now := e.clock()
	switch {
	case !r.stops() && now-r.missing >= releaseReports*e.reportInterval:
		r.stopped = now
		e.log.Info("engine-released", logger.With(logger.KeyEndpoint, engine), logger.With(logger.KeyAge, (now-r.missing).Milliseconds()))
	case r.stops() && now-r.stopped >= e.timing.takeoverDelay:
		r.deleting = true
	}
	return r
}

// setReleases publishes the releases before any write that follows from them.
func (e *Enroller) setReleases(next map[string]release) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releases.Store(&next)
}

// forgetRelease lets orders to an engine go on.
func (e *Enroller) forgetRelease(engine string) {
	next := maps.Clone(*e.releases.Load())
	delete(next, engine)
	e.setReleases(next)
}

// deleteOwnerships deletes the rows of engines that this host gives up. After an error the
// deletion counts as done and as not done.
func (e *Enroller) deleteOwnerships(ctx context.Context, v *View, engines []string) {
	var writes []storer.Write
	for _, engine := range engines {
		writes = append(writes, storer.NewDelete(ownerPrefix+engine, v.owners[engine].version))
	}
	version, ok := e.commitRelease(ctx, writes)
	if !ok {
		return
	}
	var removals []storer.Change
	for _, w := range writes {
		removals = append(removals, storer.NewRemoval(w.Key(), version))
	}
	e.Apply(removals)
}

// takeBack confirms the ownership of engines that have returned while their rows were being
// deleted. A row that is written anew cannot be deleted by the pending deletion.
func (e *Enroller) takeBack(ctx context.Context, v *View, engines []string) {
	value, err := encodeRow(ownerDocument{Host: e.self.name})
	if err != nil {
		e.log.Error("claim-not-encoded", logger.Err(err))
		return
	}
	for _, engine := range engines {
		key := ownerPrefix + engine
		version, ok := e.commitRelease(ctx, []storer.Write{storer.NewPut(key, value, v.owners[engine].version)})
		if !ok {
			continue
		}
		e.Apply([]storer.Change{storer.NewChange(storer.NewRow(key, value, version))})
		e.forgetRelease(engine)
	}
}

// commitRelease writes rows of engines that are given up or taken back, and reports whether
// the store has confirmed it.
func (e *Enroller) commitRelease(ctx context.Context, writes []storer.Write) (storer.Version, bool) {
	if len(writes) == 0 {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, e.writeLimit())
	defer cancel()
	version, err := e.store.Commit(ctx, writes...)
	var conflict *storer.RowConflict
	if errors.As(err, &conflict) {
		e.Apply(conflict.Changes())
	}
	if err != nil {
		e.log.Warn("release-uncertain", logger.With(logger.KeyCount, len(writes)), logger.Err(err))
	}
	return version, err == nil
}
