package supplier

import (
	"context"
	"slices"
	"time"
)

const (
	maxLoadTries = 2
	// maxLoadWait is how long a load may wait for others.
	maxLoadWait = 900 * time.Millisecond
	// minIdle is how long an adapter must be unused before it makes room.
	minIdle     = time.Second
	warmLoad    = 35 * time.Millisecond  // of an adapter that the engine's host still has
	lateLoad    = 150 * time.Millisecond // of one that was not there when it was due
	slowLoad    = 2 * time.Second        // a load that takes longer has failed
	unknownLoad = 500 * time.Millisecond // of one that an earlier owner ordered
)

// schedule loads an adapter now or after those before it.
func (k *keeper) schedule(ctx context.Context, w ReserveRequest) ReserveResponse {
	now := time.Now()
	position := slices.IndexFunc(k.queue, func(q ReserveRequest) bool { return q.model == w.model })
	switch {
	case position >= 0:
		k.queue[position].version = max(k.queue[position].version, w.version)
	case len(k.queue) == 0 && k.free(w.model):
		version, took, refusal := k.load(ctx, w)
		if refusal != "" {
			return NewDeclined(refusal, retryDeclined)
		}
		return k.plan(w, version, now, time.Now().Add(took))
	default:
		position = len(k.queue)
	}
	wait := time.Duration(position+1) * k.supplier.pace.load()
	if due, ok := k.stock.nextDue(); ok {
		wait += max(time.Until(due), 0)
	}
	if position == len(k.queue) {
		if wait > maxLoadWait {
			return NewDeclined("too many adapters are on their way", wait)
		}
		k.queue = append(k.queue, w)
	}
	return k.plan(w, max(w.version, k.supplier.fleet.Current().NamedVersion(w.model)), now, now.Add(wait))
}

// makeRoom unloads idle adapters until there is a place.
func (k *keeper) makeRoom(ctx context.Context, base string) bool {
	settings := k.supplier.settings(k.endpoint.Service())
	if settings == nil {
		return false
	}
	for k.stock.places() >= settings.AdapterCapacity(base) {
		m, last, ok := k.stock.idlest()
		if !ok || time.Since(last) < minIdle {
			return false
		}
		verdict := k.order(ctx, unloading(m))
		switch verdict.(type) {
		case InForce:
			delete(k.stock.held, m)
			delete(k.stock.used, m)
			k.stock.recent[m], k.stock.unloaded[m] = time.Now(), time.Now()
			k.endpoint.Observe(m, 0, false)
		case Accepted:
			// The engine carries out no other order until its jobs have ended.
			k.stock.leaving[m] = true
			k.endpoint.Observe(m, 0, false)
			return false
		default:
			return false
		}
	}
	return true
}

// load orders an adapter and returns its version and how long it takes, or why it
// is not loaded. A version that replaces another one waits for the jobs that run
// on that.
func (k *keeper) load(ctx context.Context, w ReserveRequest) (version int64, took time.Duration, refusal string) {
	named := max(w.version, k.supplier.fleet.Current().NamedVersion(w.model))
	for range maxLoadTries {
		_, replacing := k.stock.held[w.model]
		if !replacing && !k.makeRoom(ctx, w.model.Base()) {
			return 0, 0, "all places are in use"
		}
		cold := replacing || !k.stock.warm(w.model)
		took = warmLoad
		if cold {
			took = k.supplier.pace.load()
		}
		k.stock.doubtful[w.model] = true
		verdict := k.order(ctx, loading(w.model, named))
		if verdict != nil {
			delete(k.stock.doubtful, w.model)
		}
		now := time.Now()
		switch verdict.(type) {
		case Accepted:
			k.stock.coming[w.model] = arrival{version: named, due: now.Add(took), cold: cold}
			k.stock.loaded[w.model] = now
			k.supplier.pace.ordered()
			return named, took, ""
		case InForce:
			k.stock.held[w.model] = named
			k.stock.loaded[w.model] = now
			return named, 0, ""
		case Conflict:
			// The stock was not as it was believed to be; there may be no room.
		case nil:
			return 0, 0, "order has no answer"
		default:
			return 0, 0, "engine refused the order"
		}
	}
	return 0, 0, "engine has accepted other orders"
}
