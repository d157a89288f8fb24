package enroller

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Restored reports that the store has been restored from an older copy, whose rows
// Replace passes next. Hosts learn of it at different times, so that for a while one
// may own an engine by a row that is lost while the copy names another owner. Orders
// go on only to engines that this host has owned without interruption.
func (e *Enroller) Restored() {
	e.update(func(v *View) { v.awaitHosts(e.self.name) })
	e.mu.Lock()
	view := e.view.Load()
	clear(e.kept)
	for engine := range view.owners {
		if _, ok := e.owns(view, engine); ok {
			e.kept[engine] = true
		}
	}
	e.awaitSettled()
	e.mu.Unlock()
	select {
	case e.restored <- struct{}{}:
	default: // a signal is already pending
	}
}

// awaitSettled sets the time from which no other host acts on rows that the store has
// lost: without a renewal that it still has, a host gives orders until its lease ends.
// The caller must hold mu.
func (e *Enroller) awaitSettled() {
	e.settledAt = e.clock() + e.timing.lease + e.timing.takeoverDelay
}

// eraUnsettled reports whether any host may not know yet that the store has been
// restored: its row is of an earlier era, and its lease may be valid. The copy may lack its
// latest renewals.
func (e *Enroller) eraUnsettled(v *View, era uint64) bool {
	for _, h := range v.hosts {
		if h.doc.Eras == 0 || h.doc.Eras > era {
			continue // a host that knows no rows owns nothing
		}
		if v.storeClockZero.IsZero() || time.Since(v.writtenAt(h)) <= e.timing.lease+e.timing.guard+storer.MaxLost {
			return true
		}
	}
	return false
}

// delayRestoredOwnerships delays the orders to the engines that this host owns by rows
// that a process before it wrote. The caller must hold mu.
func (e *Enroller) delayRestoredOwnerships(v *View) {
	for engine, owner := range v.owners {
		e.applyRestored(engine, owner.host)
	}
}

// applyRestored delays the orders to an engine that a row names this host the owner of,
// unless this host has owned it without interruption. The caller must hold mu.
func (e *Enroller) applyRestored(engine, host string) {
	switch {
	case e.clock() >= e.settledAt:
	case host != e.self.name:
		delete(e.kept, engine)
	case !e.kept[engine]:
		e.setEarliestOrders([]string{engine}, e.settledAt)
	}
}

// knownEras returns the number of eras of the store up to that of the rows that have been
// read, or 0 if none have.
func (v *View) knownEras() uint64 {
	if v.version == 0 {
		return 0
	}
	return v.version.Era() + 1
}

// takeNewer makes up for a row that was read from a restored copy of the store. The host
// counts as renewed now. If old is a later state of the same process, it is kept: the
// process writes its row again.
func (h *Host) takeNewer(old *Host, v *View) {
	if h.doc.Process == old.doc.Process && h.doc.Sequence < old.doc.Sequence {
		h.doc = old.doc
	}
	if !v.storeClockZero.IsZero() {
		h.storeOutage = max(time.Since(v.writtenAt(h)), 0)
	}
}

// reclaim claims those of the engines that this host owned when the store was restored
// and that have no owner in the copy, and reports whether there are any.
func (e *Enroller) reclaim(ctx context.Context, v *View, engines []Engine) bool {
	list := e.keptWithoutOwner(v, engines)
	if len(list) == 0 {
		return false
	}
	value, err := encodeRow(ownerDocument{Host: e.self.name})
	if err != nil {
		e.log.Error("claim-not-encoded", logger.Err(err))
		return true
	}
	writes := make([]storer.Write, 0, len(list))
	for _, engine := range list {
		writes = append(writes, storer.NewPut(ownerPrefix+engine, value, 0))
	}
	if e.commitClaim(ctx, list, writes, 0) {
		e.forgetKept(list)
	}
	return true
}

func (e *Enroller) keptWithoutOwner(v *View, engines []Engine) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock() >= e.settledAt {
		return nil
	}
	var list []string
	for _, engine := range engines {
		if _, owned := v.owners[engine.ID()]; !owned && e.kept[engine.ID()] && len(list) < maxClaims {
			list = append(list, engine.ID())
		}
	}
	return list
}

func (e *Enroller) forgetKept(engines []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, engine := range engines {
		delete(e.kept, engine)
	}
}
