package supplier

import (
	"context"
	"slices"
	"time"
)

const (
	maxLoadAttempts = 2
	// divertedTime is how long an adapter whose load was declined counts as loaded on
	// another engine. After it, all hosts know where it is from the engines' entries.
	divertedTime = 3 * time.Second
	// minIdleTime is how long an adapter must be unused before it is evicted.
	minIdleTime = time.Second
	// lateLoadShare is the expected remaining time of a load that is late, as a share
	// of the expected time of a load.
	lateLoadShare = 0.5
	// maxLoadTime is the time after which a load counts as failed.
	maxLoadTime = 2 * time.Second
	// inheritedLoadTime is the expected remaining time of a load that an earlier owner
	// ordered.
	inheritedLoadTime = 500 * time.Millisecond
)

// scheduleLoad loads an adapter at once or queues its load behind others.
func (w *engineWorker) scheduleLoad(ctx context.Context, req ReserveRequest) ReserveResponse {
	now := time.Now()
	if at, ok := w.state.divertedAt[req.model]; ok && now.Sub(at) < divertedTime && !req.lastResort {
		return NewLoadsQueued(w.loadWait(len(w.queue)))
	}
	delete(w.state.divertedAt, req.model)
	position := slices.IndexFunc(w.queue, func(q ReserveRequest) bool { return q.model == req.model })
	switch {
	case position >= 0:
		w.queue[position].minVersion = max(w.queue[position].minVersion, req.minVersion)
	case (len(w.queue) == 0 || w.state.warm(req.model)) && w.canStartLoad(req.model):
		version, expected, refusal := w.load(ctx, req)
		if refusal != "" {
			return NewDeclined(refusal, retryDeclined)
		}
		return w.reserve(req, version, now, time.Now().Add(expected))
	default:
		position = len(w.queue)
	}
	wait := w.loadWait(position)
	if position == len(w.queue) {
		if wait > req.maxLoadWait {
			w.state.divertedAt[req.model] = now
			return NewLoadsQueued(wait)
		}
		w.queue = append(w.queue, req)
	}
	return w.reserve(req, max(req.minVersion, w.supplier.fleet.Current().NamedVersion(req.model)), now, now.Add(wait))
}

// loadWait returns the expected time until the load at a position of the queue has
// ended.
func (w *engineWorker) loadWait(position int) time.Duration {
	wait := time.Duration(position+1) * w.supplier.loads.Cold()
	if due, ok := w.state.nextDue(); ok {
		wait += max(time.Until(due), 0)
	}
	return wait
}

// makeRoom evicts idle adapters until an adapter slot is free, and reports whether
// one is.
func (w *engineWorker) makeRoom(ctx context.Context, base string) bool {
	spec := w.supplier.engineSpec(w.endpoint.Service())
	if spec == nil {
		return false
	}
	for w.state.occupiedSlots() >= spec.AdapterCapacity(base) {
		m, last, ok := w.state.leastRecentlyUsed()
		if !ok || time.Since(last) < minIdleTime {
			return false
		}
		result := w.order(ctx, unloadOrder(m))
		switch result.(type) {
		case InForce:
			delete(w.state.resident, m)
			delete(w.state.lastUsed, m)
			w.state.lastResident[m], w.state.unloadedAt[m] = time.Now(), time.Now()
			w.endpoint.Observe(m, 0, false)
		case Accepted:
			// The engine carries out no other order until the adapter's jobs have ended.
			w.state.unloading[m] = true
			w.endpoint.Observe(m, 0, false)
			return false
		default:
			return false
		}
	}
	return true
}

// load orders the load of an adapter and returns the version and the expected
// duration, or the reason why it is not loaded. The engine replaces a version only
// after the jobs that use it have ended.
func (w *engineWorker) load(ctx context.Context, req ReserveRequest) (version int64, expected time.Duration, refusal string) {
	named := max(req.minVersion, w.supplier.fleet.Current().NamedVersion(req.model))
	for range maxLoadAttempts {
		_, replacing := w.state.resident[req.model]
		if !w.makeRoom(ctx, req.model.Base()) {
			return 0, 0, "all places are in use"
		}
		cold := replacing || !w.state.warm(req.model)
		expected = w.supplier.loads.Warm()
		if cold {
			expected = w.supplier.loads.Cold()
		}
		w.state.uncertain[req.model] = true
		result := w.order(ctx, loadOrder(req.model, named))
		if result != nil {
			delete(w.state.uncertain, req.model)
		}
		now := time.Now()
		switch result.(type) {
		case Accepted:
			w.state.loading[req.model] = pendingLoad{version: named, due: now.Add(expected), cold: cold}
			w.state.loadAcceptedAt[req.model] = now
			w.supplier.loads.Accepted()
			return named, expected, ""
		case InForce:
			w.state.resident[req.model] = named
			w.state.loadAcceptedAt[req.model] = now
			return named, 0, ""
		case Conflict:
			// The recorded state was out of date; there may be no free slot.
		case nil:
			return 0, 0, "order has no answer"
		default:
			return 0, 0, "engine refused the order"
		}
	}
	return 0, 0, "engine has accepted other orders"
}
