package supplier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	reportTimeout = 600 * time.Millisecond
	reportLag     = 300 * time.Millisecond // maximum age of a report
	// maxLoads limits the concurrent loads of one engine.
	maxLoads = 4
	// maxColdLoads limits the concurrent loads from the weight store. Loads slow each
	// other down, so that sequential loads end sooner than concurrent ones.
	maxColdLoads      = 1
	baseLoadInterval  = 3 * time.Second // minimum time between two orders to load a base model
	reconcileInterval = 500 * time.Millisecond
	retryDeclined     = 400 * time.Millisecond
)

// pendingRequest is a request with the channel for its response.
type pendingRequest struct {
	req   ReserveRequest
	reply chan ReserveResponse
}

// engineWorker manages one engine process. Its goroutine sends all orders to it.
type engineWorker struct {
	supplier *Supplier
	endpoint *tracker.Endpoint
	state    *engineState
	requests chan pendingRequest
	queue    []ReserveRequest // loads that are queued behind running ones
	cancel   context.CancelFunc
	calendar calendar
	usable   atomic.Pointer[map[connector.Model]int64] // versions that calls may use without a load

	recentUseMu   sync.Mutex
	recentUse     map[connector.Model]time.Time // uses that are not yet merged into the state
	baseOrderedAt time.Time                     // time of the last order to load a base model
	reportReadAt  time.Time                     // time of the last request for a report
}

func (w *engineWorker) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	loadDue := time.NewTimer(reconcileInterval)
	defer loadDue.Stop()
	w.reconcile(ctx)
	for {
		if due, ok := w.state.nextDue(); ok && len(w.queue) > 0 {
			loadDue.Reset(max(time.Until(due), 0))
		}
		w.publishUsable()
		select {
		case <-ctx.Done():
			return
		case p := <-w.requests:
			p.reply <- w.handle(ctx, p.req)
		case <-loadDue.C:
			w.startQueuedLoads(ctx)
		case <-ticker.C:
			w.startQueuedLoads(ctx)
			w.reconcile(ctx)
		}
	}
}

// publishUsable publishes the versions that calls may use without a request to the
// worker.
func (w *engineWorker) publishUsable() {
	w.state.completeLoads(time.Now())
	usable := make(map[connector.Model]int64, len(w.state.resident))
	for m, v := range w.state.resident {
		if !w.state.unloading[m] {
			usable[m] = v
		}
	}
	w.usable.Store(&usable)
}

// recordUse records that calls use models until now, which may be the expected end of
// a call.
func (w *engineWorker) recordUse(models []connector.Model, now time.Time) {
	w.recentUseMu.Lock()
	defer w.recentUseMu.Unlock()
	for _, m := range models {
		w.recentUse[m] = later(w.recentUse[m], now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mergeRecentUse moves the recorded uses to the state.
func (w *engineWorker) mergeRecentUse() {
	w.recentUseMu.Lock()
	defer w.recentUseMu.Unlock()
	for m, at := range w.recentUse {
		w.state.lastUsed[m] = later(w.state.lastUsed[m], at)
	}
	clear(w.recentUse)
}

// startQueuedLoads starts queued loads as far as the limits allow.
func (w *engineWorker) startQueuedLoads(ctx context.Context) {
	w.state.completeLoads(time.Now())
	for len(w.queue) > 0 && len(w.state.unloading) == 0 && w.canStartLoad(w.queue[0].model) {
		req := w.queue[0]
		w.queue = w.queue[1:]
		if _, _, refusal := w.load(ctx, req); refusal != "" {
			w.log("load-given-up", logger.With(logger.KeyReason, refusal),
				logger.With(logger.KeyModel, req.model.Base()+"/"+req.model.Adapter()))
		}
	}
}

// canStartLoad reports whether the limits allow a load to start now.
func (w *engineWorker) canStartLoad(m connector.Model) bool {
	all, cold := w.state.loadsInFlight()
	return all < maxLoads && (cold < maxColdLoads || w.state.warm(m))
}

// reconcile loads a base model if the engine holds none, and the named versions of
// resident adapters that were used recently.
func (w *engineWorker) reconcile(ctx context.Context) {
	if !w.mayOrder() || !w.ensureReport(ctx) {
		return
	}
	spec := w.supplier.engineSpec(w.endpoint.Service())
	if spec == nil {
		return
	}
	if bases := spec.Bases(); !w.anyBaseLoaded() && len(bases) > 0 {
		w.loadBase(ctx, bases[0].Name())
		return
	}
	now := time.Now()
	w.mergeRecentUse()
	w.state.completeLoads(now)
	for m, resident := range w.state.resident {
		named := w.supplier.fleet.Current().NamedVersion(m)
		if m.Adapter() != "" && resident < named && now.Sub(w.state.lastUsed[m]) < preloadIfUsedWithin {
			w.handle(ctx, NewReserveRequest(w.endpoint.ID(), m, WithMinVersion(named)))
		}
	}
}

// preloadIfUsedWithin is how recently an adapter must have been used for a new
// version to be loaded before a call requests it.
const preloadIfUsedWithin = 10 * time.Second

// anyBaseLoaded reports whether the engine holds a base model.
func (w *engineWorker) anyBaseLoaded() bool {
	for m := range w.state.resident {
		if m.Adapter() == "" {
			return true
		}
	}
	return false
}

// mayOrder reports whether the lease lasts long enough to send an order.
func (w *engineWorker) mayOrder() bool {
	_, remaining, ok := w.supplier.leases.Lease(w.endpoint.ID())
	return ok && remaining > orderTimeout/2
}

// ensureReport reads a report if none was read yet or unloads are pending, unless
// the last one was requested less than reportLag ago. It reports whether the state
// is based on a report.
func (w *engineWorker) ensureReport(ctx context.Context) bool {
	if w.state.reported && len(w.state.unloading) == 0 {
		return true
	}
	if time.Since(w.reportReadAt) < reportLag {
		return w.state.reported
	}
	return w.readReport(ctx)
}

// readReport updates the state from a report of the engine. It reports whether the
// state is based on a report, which may be an earlier one.
func (w *engineWorker) readReport(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	w.reportReadAt = time.Now()
	r, err := w.supplier.engines.Report(ctx, w.endpoint)
	if err != nil {
		w.log("report-failed", logger.Err(err))
		return w.state.reported
	}
	first := !w.state.reported
	w.state.applyReport(r, time.Now())
	if first {
		w.log("engine-report-read", logger.With(logger.KeySequence, r.sequence), logger.With(logger.KeyCount, len(r.resident)))
	}
	for m, v := range w.state.resident {
		w.endpoint.Observe(m, v, true)
	}
	return true
}

func (w *engineWorker) log(event string, fields ...logger.Field) {
	w.supplier.log.Info(event, append(fields, logger.With(logger.KeyEndpoint, w.endpoint.ID()))...)
}

// handle answers a request, and orders the load of its model if necessary.
func (w *engineWorker) handle(ctx context.Context, req ReserveRequest) ReserveResponse {
	now := time.Now()
	w.mergeRecentUse()
	w.state.completeLoads(now)
	if !w.mayOrder() {
		return w.reserveWithoutLease(ctx, req, now)
	}
	if !w.ensureReport(ctx) {
		return NewDeclined("engine does not answer its owner", retryDeclined)
	}
	if req.modelMissing {
		w.correctMissing(ctx, req, now)
	}
	version, resident := w.state.resident[req.model]
	if load, ok := w.state.loading[req.model]; ok && load.version >= req.minVersion {
		return w.reserve(req, load.version, now, load.due)
	}
	if resident && version >= req.minVersion && !w.state.unloading[req.model] {
		return w.reserve(req, version, now, now)
	}
	if len(w.state.unloading) > 0 {
		return NewDeclined("engine waits for jobs to end", retryDeclined)
	}
	if !w.baseLoaded(req.model.Base()) {
		w.loadBase(ctx, req.model.Base())
		return NewDeclined("weights of the base model are not loaded", baseLoadInterval)
	}
	if req.model.Adapter() == "" {
		return NewDeclined("another version of the base model is loaded", baseLoadInterval)
	}
	return w.scheduleLoad(ctx, req)
}

// reserveWithoutLease schedules a call for a model that the engine holds. Only orders need a lease.
func (w *engineWorker) reserveWithoutLease(ctx context.Context, req ReserveRequest, now time.Time) ReserveResponse {
	if req.modelMissing || !w.ensureReport(ctx) {
		return NotOwner{}
	}
	version, resident := w.state.resident[req.model]
	if !resident || version < req.minVersion || w.state.unloading[req.model] {
		return NotOwner{}
	}
	return w.reserve(req, version, now, now)
}

// correctMissing corrects the state after the engine refused a call because it does not
// hold the call's model: its load is late, or the state is out of date.
func (w *engineWorker) correctMissing(ctx context.Context, req ReserveRequest, now time.Time) {
	if _, loading := w.state.loading[req.model]; loading {
		return // another call has already shown that the load is late
	}
	accepted := now.Sub(w.state.loadAcceptedAt[req.model])
	switch {
	case accepted < maxLoadTime:
		w.supplier.loads.Late()
		remaining := time.Duration(lateLoadShare * float64(w.supplier.loads.Cold()))
		w.state.loading[req.model] = pendingLoad{version: max(req.minVersion, w.state.resident[req.model]), due: now.Add(remaining), cold: true}
	case accepted > reportLag:
		delete(w.state.resident, req.model) // the engine's refusal is newer than the state
		w.readReport(ctx)
	}
}

// baseLoaded reports whether the engine holds the given base model.
func (w *engineWorker) baseLoaded(base string) bool {
	_, ok := w.state.resident[connector.NewModel(base, "", "")]
	return ok
}

// loadBase loads a base model, unless a fresh report shows one on the engine.
func (w *engineWorker) loadBase(ctx context.Context, base string) {
	if time.Since(w.baseOrderedAt) < baseLoadInterval || !w.readReport(ctx) || w.anyBaseLoaded() {
		return
	}
	w.baseOrderedAt = time.Now()
	w.order(ctx, func(f connector.Fence) connector.Order { return connector.NewLoadModel(f, base) })
}
