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
	reportLag     = 300 * time.Millisecond // a report is up to so old
	// maxArrivals is how many adapters may be on their way to one engine.
	maxArrivals = 4
	// maxCold is how many of them may come from the weight store. Loads slow each
	// other down, so one after the other is there sooner than all at once.
	maxCold       = 1
	baseRetry     = 3 * time.Second // between two orders for a base model
	tendInterval  = 500 * time.Millisecond
	retryDeclined = 400 * time.Millisecond
)

// asked is a Want that waits for its answer.
type asked struct {
	want  ReserveRequest
	reply chan ReserveResponse
}

// keeper looks after one engine process.
type keeper struct {
	supplier *Supplier
	endpoint *tracker.Endpoint
	stock    *stock
	asks     chan asked
	queue    []ReserveRequest // loads that wait for others to arrive
	cancel   context.CancelFunc
	calendar calendar
	ready    atomic.Pointer[map[connector.Model]int64] // what calls may use at once
	usedMu   sync.Mutex
	used     map[connector.Model]time.Time // uses that the stock does not know yet
	baseAt   time.Time                     // last order for a base model
	readAt   time.Time                     // last report
}

func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	arrival := time.NewTimer(tendInterval)
	defer arrival.Stop()
	k.tend(ctx)
	for {
		if due, ok := k.stock.nextDue(); ok && len(k.queue) > 0 {
			arrival.Reset(max(time.Until(due), 0))
		}
		k.publish()
		select {
		case <-ctx.Done():
			return
		case a := <-k.asks:
			a.reply <- k.answer(ctx, a.want)
		case <-arrival.C:
			k.pump(ctx)
		case <-ticker.C:
			k.pump(ctx)
			k.tend(ctx)
		}
	}
}

// publish makes known what calls may use without asking the goroutine.
func (k *keeper) publish() {
	k.stock.settle(time.Now())
	ready := make(map[connector.Model]int64, len(k.stock.held))
	for m, v := range k.stock.held {
		if !k.stock.leaving[m] {
			ready[m] = v
		}
	}
	k.ready.Store(&ready)
}

func (k *keeper) touch(models []connector.Model, now time.Time) {
	k.usedMu.Lock()
	defer k.usedMu.Unlock()
	for _, m := range models {
		k.used[m] = now
	}
}

// takeUsed hands the uses over to the stock.
func (k *keeper) takeUsed() {
	k.usedMu.Lock()
	defer k.usedMu.Unlock()
	for m, at := range k.used {
		k.stock.used[m] = at
	}
	clear(k.used)
}

// pump starts the loads that waited for others.
func (k *keeper) pump(ctx context.Context) {
	k.stock.settle(time.Now())
	for len(k.queue) > 0 && len(k.stock.leaving) == 0 && k.free(k.queue[0].model) {
		w := k.queue[0]
		k.queue = k.queue[1:]
		if _, _, refusal := k.load(ctx, w); refusal != "" {
			k.log("load-given-up", logger.With(logger.KeyReason, refusal),
				logger.With(logger.KeyModel, w.model.Base()+"/"+w.model.Adapter()))
		}
	}
}

// free reports whether a load may start now.
func (k *keeper) free(m connector.Model) bool {
	all, cold := k.stock.arriving()
	return all < maxArrivals && (cold < maxCold || k.stock.warm(m))
}

// tend loads what an engine must have: the weights of a base model, and the named
// versions of the adapters that it holds and that are in use.
func (k *keeper) tend(ctx context.Context) {
	if !k.may() || !k.learn(ctx) {
		return
	}
	settings := k.supplier.settings(k.endpoint.Service())
	if settings == nil {
		return
	}
	if bases := settings.Bases(); !k.hasBase() && len(bases) > 0 {
		k.loadBase(ctx, bases[0].Name())
		return
	}
	now := time.Now()
	k.takeUsed()
	k.stock.settle(now)
	for m, held := range k.stock.held {
		named := k.supplier.fleet.Current().NamedVersion(m)
		if m.Adapter() != "" && held < named && now.Sub(k.stock.used[m]) < replaceIfUsed {
			k.answer(ctx, NewReserveRequest(k.endpoint.ID(), m, WithMinVersion(named)))
		}
	}
}

// replaceIfUsed is how recently an adapter must have been used for a new version
// to be loaded before a call asks for it.
const replaceIfUsed = 10 * time.Second

func (k *keeper) hasBase() bool {
	for m := range k.stock.held {
		if m.Adapter() == "" {
			return true
		}
	}
	return false
}

func (k *keeper) may() bool {
	_, left, ok := k.supplier.rights.Lease(k.endpoint.ID())
	return ok && left > orderTimeout/2
}

// learn reads a report if nothing is known of the engine, or if orders are in
// doubt, and reports whether the stock is known.
func (k *keeper) learn(ctx context.Context) bool {
	if k.stock.known && len(k.stock.leaving) == 0 {
		return true
	}
	if time.Since(k.readAt) < reportLag {
		return k.stock.known
	}
	return k.read(ctx)
}

func (k *keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	k.readAt = time.Now()
	r, err := k.supplier.engines.Report(ctx, k.endpoint)
	if err != nil {
		k.log("report-failed", logger.Err(err))
		return k.stock.known
	}
	first := !k.stock.known
	k.stock.take(r, time.Now())
	if first {
		k.log("engine-read", logger.With(logger.KeySequence, r.sequence), logger.With(logger.KeyCount, len(r.held)))
	}
	for m, v := range k.stock.held {
		k.endpoint.Observe(m, v, true)
	}
	return true
}

func (k *keeper) log(event string, fields ...logger.Field) {
	k.supplier.log.Info(event, append(fields, logger.With(logger.KeyEndpoint, k.endpoint.ID()))...)
}

func (k *keeper) answer(ctx context.Context, w ReserveRequest) ReserveResponse {
	now := time.Now()
	k.takeUsed()
	k.stock.settle(now)
	if !k.may() {
		return NotOwner{}
	}
	if !k.learn(ctx) {
		return NewDeclined("engine does not answer its owner", retryDeclined)
	}
	if w.missing && now.Sub(k.stock.loaded[w.model]) < slowLoad {
		k.supplier.pace.late()
		// The load takes longer than was planned.
		k.stock.coming[w.model] = arrival{version: max(w.version, k.stock.held[w.model]), due: now.Add(lateLoad), cold: true}
	} else if w.missing && k.stock.coming[w.model].due.IsZero() && now.Sub(k.stock.loaded[w.model]) > reportLag {
		delete(k.stock.held, w.model) // the engine knows better
		k.read(ctx)
	}
	version, held := k.stock.held[w.model]
	if a, ok := k.stock.coming[w.model]; ok && a.version >= w.version {
		return k.plan(w, a.version, now, a.due)
	}
	if held && version >= w.version && !k.stock.leaving[w.model] {
		return k.plan(w, version, now, now)
	}
	if len(k.stock.leaving) > 0 {
		return NewDeclined("engine waits for jobs to end", retryDeclined)
	}
	if !k.stockedBase(w.model.Base()) {
		k.loadBase(ctx, w.model.Base())
		return NewDeclined("weights of the base model are not loaded", baseRetry)
	}
	if w.model.Adapter() == "" {
		return NewDeclined("another version of the base model is loaded", baseRetry)
	}
	return k.schedule(ctx, w)
}

func (k *keeper) stockedBase(base string) bool {
	_, ok := k.stock.held[connector.NewModel(base, "", "")]
	return ok
}

func (k *keeper) loadBase(ctx context.Context, base string) {
	if time.Since(k.baseAt) < baseRetry || !k.read(ctx) || k.hasBase() {
		return
	}
	k.baseAt = time.Now()
	k.order(ctx, func(f connector.Fence) connector.Order { return connector.NewLoadModel(f, base) })
}
