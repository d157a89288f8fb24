package enroller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// settleTime is how long a host waits after joining before it claims engines,
	// so that hosts that start together see each other.
	settleTime = 3 * time.Second
	// togetherTime is how much later than this host one that started at the same time
	// may be seen first.
	togetherTime = 2500 * time.Millisecond
	// maxClaims bounds the rows of one transaction.
	maxClaims = 40
	// forgetAfter is how long the row of a silent host is kept.
	forgetAfter = 5 * time.Minute
)

// Engine is an engine that needs an owner.
type Engine interface {
	ID() string
	Zone() string
	Region() string
}

// Claim takes the engines that have no owner and that this host is the first
// choice for. Owners stay while they live, so that few engines change hands.
func (e *Enroller) Claim(ctx context.Context, engines []Engine) {
	v := e.View()
	if !e.settled(v) {
		return
	}
	writes := make([]storer.Write, 0, maxClaims)
	var taken []string
	var first time.Duration
	checked := make(map[string]bool)
	candidates := e.newCandidates(v)
	for _, engine := range engines {
		owner, owned := v.owners[engine.ID()]
		if owned && !e.vacant(v, owner) || !candidates.first(e.self, engine) {
			continue
		}
		value, err := encodeRow(ownerDocument{Host: e.self.name, Takeover: owned})
		if err != nil {
			e.log.Error("claim-not-encoded", logger.Err(err))
			return
		}
		writes = append(writes, storer.NewPut(ownerPrefix+engine.ID(), value, owner.version))
		if old := v.hosts[owner.host]; old != nil && !checked[owner.host] {
			checked[owner.host] = true
			writes = append(writes, storer.NewCheck(hostPrefix+owner.host, old.version))
		}
		if owned {
			first = max(first, e.firstOrder(v.hosts[owner.host]))
		}
		taken = append(taken, engine.ID())
		if len(taken) == maxClaims {
			break
		}
	}
	if len(taken) > 0 {
		e.commitClaim(ctx, taken, writes, first)
	}
}

// firstOrder returns when the successor of an owner may give its first order, on
// the clock: a rest after the last order that the owner may have given. That was
// before it said that it leaves, or before its lease ran out.
func (e *Enroller) firstOrder(owner *Host) time.Duration {
	if owner == nil {
		return e.clock() + e.times.rest
	}
	last := owner.changed
	if !owner.doc.Leaving {
		last = last.Add(e.times.lease)
	}
	return e.clock() + e.times.rest - time.Since(last)
}

func (e *Enroller) settled(v *View) bool {
	e.mu.Lock()
	joined := e.joined
	e.mu.Unlock()
	return !e.leaving.Load() && !joined.IsZero() && time.Since(joined) >= settleTime &&
		time.Since(v.contact) <= presumed && e.clock() < time.Duration(e.leaseEnd.Load())
}

// vacant reports whether an owner has given its engines up or is silent for longer
// than its lease.
func (e *Enroller) vacant(v *View, o Owner) bool {
	if o.host == e.self.name {
		return false
	}
	h := v.hosts[o.host]
	if h == nil || h.doc.Leaving {
		return true
	}
	return time.Since(h.changed) > e.times.lease+e.times.guard
}

// candidates are the live hosts that may own engines.
type candidates struct {
	all      []string
	byZone   map[string][]string
	byRegion map[string][]string
}

// newCandidates leaves out hosts that joined long after this one and do not claim
// yet.
func (e *Enroller) newCandidates(v *View) candidates {
	e.mu.Lock()
	late := e.joined.Add(togetherTime)
	e.mu.Unlock()
	c := candidates{byZone: make(map[string][]string), byRegion: make(map[string][]string)}
	for name, h := range v.hosts {
		if h.doc.Leaving || !v.Alive(h) || h.started.After(late) && time.Since(h.started) < settleTime {
			continue
		}
		c.all = append(c.all, name)
		c.byZone[h.doc.Zone] = append(c.byZone[h.doc.Zone], name)
		c.byRegion[h.doc.Region] = append(c.byRegion[h.doc.Region], name)
	}
	return c
}

// first reports whether self should own an engine: whether it is the first by hash
// among the live hosts of the engine's data centre, else of its region, else of all.
func (c candidates) first(self LocalHost, engine Engine) bool {
	group := c.all
	if local := c.byZone[engine.Zone()]; len(local) > 0 {
		group = local
	} else if near := c.byRegion[engine.Region()]; len(near) > 0 {
		group = near
	}
	if !slices.Contains(group, self.name) {
		return false
	}
	own := engineHash(engine, self.name)
	for _, name := range group {
		if engineHash(engine, name) > own {
			return false
		}
	}
	return true
}

func engineHash(engine Engine, host string) uint64 {
	return xxhash.Sum64String(engine.ID() + "\x00" + host)
}

func (e *Enroller) commitClaim(ctx context.Context, engines []string, writes []storer.Write, first time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, min(e.times.renew, renewTimeout))
	defer cancel()
	// The wait before the first order stands before the claim is known to hold.
	e.restUntil(engines, first)
	version, err := e.store.Commit(ctx, writes...)
	var conflict *storer.RowConflict
	switch {
	case errors.As(err, &conflict):
		e.Apply(conflict.Changes())
		e.log.Info("claim-lost", logger.With(logger.KeyCount, len(engines)), logger.Err(err))
		return
	case err != nil:
		// If the claim took effect, the table's feed shows it.
		e.log.Warn("claim-uncertain", logger.With(logger.KeyCount, len(engines)), logger.Err(err))
		return
	}
	changes := make([]storer.Change, 0, len(engines))
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			changes = append(changes, storer.NewChange(storer.NewRow(put.Key(), put.Value(), version)))
		}
	}
	e.Apply(changes)
	e.log.Info("engines-claimed", logger.With(logger.KeyCount, len(engines)), logger.With(logger.KeyToken, uint64(version)))
}

func (e *Enroller) restUntil(engines []string, first time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setRests(engines, first)
}

// setRests requires mu.
func (e *Enroller) setRests(engines []string, first time.Duration) {
	next := maps.Clone(*e.rests.Load())
	for _, id := range engines {
		next[id] = first
	}
	e.rests.Store(&next)
}

// DeleteStaleRows deletes the rows of hosts that have not been renewed for
// forgetAfter, and the owner rows of this host whose engines no longer exist.
func (e *Enroller) DeleteStaleRows(ctx context.Context, live func(engine string) bool) {
	v := e.View()
	if !e.settled(v) {
		return
	}
	var writes []storer.Write
	for name, h := range v.hosts {
		if name != e.self.name && time.Since(h.changed) > forgetAfter {
			writes = append(writes, storer.NewDelete(hostPrefix+name, h.version))
		}
	}
	for engine, o := range v.owners {
		if o.host == e.self.name && !live(engine) {
			writes = append(writes, storer.NewDelete(ownerPrefix+engine, o.version))
		}
	}
	if len(writes) == 0 {
		return
	}
	if _, err := e.store.Commit(ctx, writes[:min(len(writes), maxClaims)]...); err != nil {
		e.log.Warn("rows-not-removed", logger.Err(err))
	}
}
