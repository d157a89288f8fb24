package enroller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	// joinDelay is how long a host waits after joining before it claims
	// engines, so that hosts that start together see each other first.
	joinDelay = 3 * time.Second
	// joinWindow is how much later than this host's own join a host that
	// started at the same time may first be seen.
	joinWindow = 2500 * time.Millisecond
	// maxClaims limits the number of engines claimed, or rows deleted, in one
	// transaction. A claim that checks the rows of many former owners has fewer, as a
	// storer.Batch takes no more.
	maxClaims = 40
	// staleAfter is how long the row of a host that stopped renewing it is
	// kept.
	staleAfter = 5 * time.Minute
)

// claims limits the claims of a host after the store has rejected one.
type claims struct {
	limit     int           // engines of the next claim; 0 for maxClaims
	delay     time.Duration // since the latest rejection
	notBefore time.Duration // on the enroller's clock
}

// Bounds of the time until the next claim after the store has rejected one.
const (
	minClaimDelay = time.Second
	maxClaimDelay = time.Minute
)

func (c claims) size() int {
	if c.limit == 0 {
		return maxClaims
	}
	return c.limit
}

// reject makes the next claim smaller, and delays it more each time: one that is rejected
// would be rejected again.
func (c *claims) reject(engines int, now time.Duration) {
	c.limit = max(engines/2, 1)
	c.delay = min(max(2*c.delay, minClaimDelay), maxClaimDelay)
	c.notBefore = now + c.delay
}

// Engine is an engine that needs an owner.
type Engine interface {
	ID() string
	DataCentre() string
	Region() string
}

// Claim takes ownership of the engines that have no owner and for which this
// host is the first choice. Live owners keep their engines, so that few engines
// change hands.
func (e *Enroller) Claim(ctx context.Context, engines []Engine) {
	v := e.View()
	if e.clock() < e.claims.notBefore || !e.mayClaim(v) || e.reclaim(ctx, v, engines) {
		return
	}
	batch := storer.NewBatch(e.store)
	var taken []string
	var earliest time.Duration
	checked := make(map[string]bool)
	candidates := e.newCandidates(v)
	for _, engine := range engines {
		owner, owned := v.owners[engine.ID()]
		if owned && !e.vacant(v, owner) || !candidates.isFirstChoice(e.self, engine) {
			continue
		}
		value, err := encodeRow(ownerDocument{Host: e.self.name, Takeover: owned})
		if err != nil {
			e.log.Error("claim-not-encoded", logger.Err(err))
			return
		}
		group := []storer.Write{storer.NewPut(ownerPrefix+engine.ID(), value, owner.version)}
		if old := v.hosts[owner.host]; old != nil && !checked[owner.host] {
			group = append(group, storer.NewCheck(HostPrefix+owner.host, old.version))
		}
		if len(taken) == e.claims.size() || !batch.Add(group...) {
			break // the others are claimed at the next call
		}
		checked[owner.host] = true
		if owned {
			earliest = max(earliest, e.earliestOrder(v.hosts[owner.host]))
		}
		taken = append(taken, engine.ID())
	}
	if len(taken) > 0 {
		e.mu.Lock()
		earliest = max(earliest, e.settledAt)
		e.mu.Unlock()
		e.commitClaim(ctx, taken, batch.Writes(), earliest)
	}
}

// earliestOrder returns the time on the enroller's clock from which the
// successor of an owner may send orders: takeoverDelay after the last order
// that the owner can have sent. The owner stops sending before it marks its row
// as leaving, or when its lease expires.
func (e *Enroller) earliestOrder(owner *Host) time.Duration {
	if owner == nil {
		return e.clock() + e.timing.takeoverDelay
	}
	last := owner.changedAt
	if !owner.doc.Leaving {
		last = last.Add(e.timing.lease)
	}
	return e.clock() + e.timing.takeoverDelay - time.Since(last)
}

// mayClaim reports whether this host may claim engines: it is not leaving,
// joined at least joinDelay ago, has a valid lease and is in contact with the
// store.
func (e *Enroller) mayClaim(v *View) bool {
	e.mu.Lock()
	joined := e.joinedAt
	e.mu.Unlock()
	return !e.leaving.Load() && !joined.IsZero() && time.Since(joined) >= joinDelay &&
		time.Since(v.lastContact) <= contactTimeout && e.clock() < time.Duration(e.leaseEnd.Load())
}

// vacant reports whether an owner is leaving, has no row, or has not renewed
// its row for longer than the lease and the guard.
func (e *Enroller) vacant(v *View, o Owner) bool {
	if o.host == e.self.name {
		return false
	}
	h := v.hosts[o.host]
	if h == nil || h.doc.Leaving {
		return true
	}
	return time.Since(h.changedAt) > e.timing.lease+e.timing.guard
}

// candidates holds the names of the live hosts that may own engines.
type candidates struct {
	all          []string
	byDataCentre map[string][]string
	byRegion     map[string][]string
}

// newCandidates omits hosts that joined long after this one and are still
// within their joinDelay.
func (e *Enroller) newCandidates(v *View) candidates {
	e.mu.Lock()
	late := e.joinedAt.Add(joinWindow)
	e.mu.Unlock()
	c := candidates{byDataCentre: make(map[string][]string), byRegion: make(map[string][]string)}
	for name, h := range v.hosts {
		if h.doc.Leaving || !v.Alive(h) || h.processSeen.After(late) && time.Since(h.processSeen) < joinDelay {
			continue
		}
		c.all = append(c.all, name)
		c.byDataCentre[h.doc.DataCentre] = append(c.byDataCentre[h.doc.DataCentre], name)
		c.byRegion[h.doc.Region] = append(c.byRegion[h.doc.Region], name)
	}
	return c
}

// isFirstChoice reports whether self should own an engine, which is the host
// with the highest rendezvous hash among the live hosts of the engine's data
// centre or, if there are none, of its region or else of the deployment.
func (c candidates) isFirstChoice(self LocalHost, engine Engine) bool {
	group := c.all
	if local := c.byDataCentre[engine.DataCentre()]; len(local) > 0 {
		group = local
	} else if near := c.byRegion[engine.Region()]; len(near) > 0 {
		group = near
	}
	if !slices.Contains(group, self.name) {
		return false
	}
	own := rendezvousHash(engine.ID(), self.name)
	for _, name := range group {
		if rendezvousHash(engine.ID(), name) > own {
			return false
		}
	}
	return true
}

// commitClaim claims engines, to which orders may be given from earliest on, and reports
// whether it is known which host owns them now.
func (e *Enroller) commitClaim(ctx context.Context, engines []string, writes []storer.Write, earliest time.Duration) (known bool) {
	ctx, cancel := context.WithTimeout(ctx, e.writeLimit())
	defer cancel()
	// The delay must be in place before the claim can become visible in the view.
	e.delayOrders(engines, earliest)
	version, err := e.store.Commit(ctx, writes...)
	var conflict *storer.RowConflict
	switch {
	case errors.As(err, &conflict):
		e.Apply(conflict.Changes())
		e.log.Info("claim-lost", logger.With(logger.KeyCount, len(engines)), logger.Err(err))
		return true
	case errors.Is(err, storer.ErrTooLarge), errors.Is(err, storer.ErrRejected):
		e.claims.reject(len(engines), e.clock())
		e.log.Error("claim-rejected", logger.With(logger.KeyCount, len(engines)), logger.Err(err))
		return false
	case err != nil:
		// If the claim was committed, the change feed of the table delivers it.
		e.log.Warn("claim-uncertain", logger.With(logger.KeyCount, len(engines)), logger.Err(err))
		return false
	}
	e.claims = claims{}
	changes := make([]storer.Change, 0, len(engines))
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			changes = append(changes, storer.NewChange(storer.NewRow(put.Key(), put.Value(), version)))
		}
	}
	e.Apply(changes)
	e.log.Info("engines-claimed", logger.With(logger.KeyCount, len(engines)), logger.With(logger.KeyToken, uint64(version)))
	return true
}

func (e *Enroller) delayOrders(engines []string, earliest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setEarliestOrders(engines, earliest)
}

// setEarliestOrders sets the time before which this host sends no order to the
// given engines. The caller must hold e.mu.
func (e *Enroller) setEarliestOrders(engines []string, earliest time.Duration) {
	next := maps.Clone(*e.earliestOrders.Load())
	for _, id := range engines {
		next[id] = earliest
	}
	e.earliestOrders.Store(&next)
}

// DeleteStaleRows deletes the rows of hosts that have not been renewed for staleAfter.
func (e *Enroller) DeleteStaleRows(ctx context.Context) {
	v := e.View()
	if !e.mayClaim(v) {
		return
	}
	var writes []storer.Write
	for name, h := range v.hosts {
		if name != e.self.name && time.Since(h.changedAt) > staleAfter && len(writes) < maxClaims {
			writes = append(writes, storer.NewDelete(HostPrefix+name, h.version))
		}
	}
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.writeLimit())
	defer cancel()
	if _, err := e.store.Commit(ctx, writes...); err != nil {
		e.log.Warn("rows-not-removed", logger.Err(err))
	}
}
