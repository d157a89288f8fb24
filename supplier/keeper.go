package supplier

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	orderTimeout  = 400 * time.Millisecond // two trips between regions and some queueing
	reportTimeout = 600 * time.Millisecond
	reportLag     = 300 * time.Millisecond // a report is up to so old
	maxOrderTries = 3
	maxLoadTries  = 2
	// maxArrivals is how many adapters may be on their way to one engine.
	maxArrivals = 4
	// maxCold is how many of them may come from the weight store. Loads slow each
	// other down, so one after the other is there sooner than all at once.
	maxCold = 1
	// maxLoadWait is how long a load may wait for others.
	maxLoadWait = 900 * time.Millisecond
	// minIdle is how long an adapter must be unused before it makes room.
	minIdle      = time.Second
	promptRate   = 20.0                  // tokens that an engine reads in a millisecond
	promptMargin = 1.15                  // leaves time for streams between two prompts
	stepTime     = 10 * time.Millisecond // of the streams between two prompts
	tokenTime    = 14 * time.Millisecond // of one token, prompts of other calls included
	// unlimitedSlots stands for an engine whose slots are not configured.
	unlimitedSlots = 1 << 20
	warmLoad       = 35 * time.Millisecond  // of an adapter that the engine's host still has
	lateLoad       = 150 * time.Millisecond // of one that was not there when it was due
	slowLoad       = 2 * time.Second        // a load that takes longer has failed
	unknownLoad    = 500 * time.Millisecond // of one that an earlier owner ordered
	baseRetry      = 3 * time.Second        // between two orders for a base model
	tendInterval   = 500 * time.Millisecond
	retryDeclined  = 400 * time.Millisecond
)

// asked is a Want that waits for its answer.
type asked struct {
	want  Want
	reply chan Supply
}

// keeper looks after one engine process.
type keeper struct {
	supplier *Supplier
	endpoint *tracker.Endpoint
	stock    *stock
	asks     chan asked
	queue    []Want // loads that wait for others to arrive
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

// grant gives a call a place if its model is there, without waiting for orders on
// their way.
func (k *keeper) grant(w Want) (Supply, bool) {
	now := time.Now()
	k.touch(append(w.used, w.model), now)
	ready := k.ready.Load()
	if ready == nil || w.missing {
		return nil, false
	}
	version, ok := (*ready)[w.model]
	if !ok || version < w.version {
		return nil, false
	}
	return k.plan(w, version, now, now), true
}

// plan gives a call its turn from a time on.
func (k *keeper) plan(w Want, version int64, now, earliest time.Time) Supply {
	slots := unlimitedSlots
	if settings := k.supplier.settings(k.endpoint.Service()); settings != nil && settings.Slots() > 0 {
		slots = settings.Slots()
	}
	reading := time.Duration(float64(w.tokens)/promptRate*float64(time.Millisecond)*promptMargin) + stepTime
	generating := time.Duration(w.output) * tokenTime
	start, ok := k.calendar.reserve(now, earliest, earliest.Add(w.patience), reading, generating, slots)
	if !ok {
		return NewDeclined("engine has too many calls", start.Sub(now))
	}
	return NewGranted(version, start.Sub(now))
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
		named := k.supplier.fleet.Current().Named(m)
		if m.Adapter() != "" && held < named && now.Sub(k.stock.used[m]) < replaceIfUsed {
			k.answer(ctx, NewWant(k.endpoint.ID(), m, AtLeast(named)))
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
	_, left, ok := k.supplier.rights.Right(k.endpoint.ID())
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
		k.endpoint.Learn(m, v, true)
	}
	return true
}

func (k *keeper) log(event string, fields ...logger.Field) {
	k.supplier.log.Info(event, append(fields, logger.With(logger.KeyEndpoint, k.endpoint.ID()))...)
}

func (k *keeper) answer(ctx context.Context, w Want) Supply {
	now := time.Now()
	k.takeUsed()
	k.stock.settle(now)
	if !k.may() {
		return Unowned{}
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

// schedule loads an adapter now or after those before it.
func (k *keeper) schedule(ctx context.Context, w Want) Supply {
	now := time.Now()
	position := slices.IndexFunc(k.queue, func(q Want) bool { return q.model == w.model })
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
	return k.plan(w, max(w.version, k.supplier.fleet.Current().Named(w.model)), now, now.Add(wait))
}

func (k *keeper) stockedBase(base string) bool {
	_, ok := k.stock.held[connector.NewModel(base, "", "")]
	return ok
}

// makeRoom unloads idle adapters until there is a place.
func (k *keeper) makeRoom(ctx context.Context, base string) bool {
	settings := k.supplier.settings(k.endpoint.Service())
	if settings == nil {
		return false
	}
	for k.stock.places() >= settings.AdapterRoom(base) {
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
			k.endpoint.Learn(m, 0, false)
		case Accepted:
			// The engine carries out no other order until its jobs have ended.
			k.stock.leaving[m] = true
			k.endpoint.Learn(m, 0, false)
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
func (k *keeper) load(ctx context.Context, w Want) (version int64, took time.Duration, refusal string) {
	named := max(w.version, k.supplier.fleet.Current().Named(w.model))
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

func (k *keeper) loadBase(ctx context.Context, base string) {
	if time.Since(k.baseAt) < baseRetry || !k.read(ctx) || k.hasBase() {
		return
	}
	k.baseAt = time.Now()
	k.order(ctx, func(f connector.Fence) connector.Order { return connector.NewLoadModel(f, base) })
}

// making builds an order for a fencing token.
type making func(f connector.Fence) connector.Order

func unloading(m connector.Model) making {
	return func(f connector.Fence) connector.Order { return connector.NewUnloadAdapter(f, m) }
}

func loading(m connector.Model, version int64) making {
	if version > 0 {
		m = connector.NewModel(m.Base(), m.Adapter(), strconv.FormatInt(version, 10))
	}
	return func(f connector.Fence) connector.Order { return connector.NewLoadAdapter(f, m) }
}

// order sends an order and returns its verdict, or nil if it is not known. An
// order without an answer is sent again with the same expected sequence: at most
// one of the two can take effect.
func (k *keeper) order(ctx context.Context, make making) Verdict {
	for try := range maxOrderTries {
		token, left, ok := k.supplier.rights.Right(k.endpoint.ID())
		if !ok {
			return Rejected{}
		}
		limited, cancel := context.WithTimeout(ctx, min(orderTimeout, left))
		o := make(connector.NewFence(token, time.Now().Add(left)))
		began := time.Now()
		verdict, err := k.supplier.engines.Order(limited, k.endpoint, o, k.stock.sequence)
		cancel()
		k.note(o, verdict, err, token, try, time.Since(began))
		switch v := verdict.(type) {
		case Accepted:
			k.stock.sequence++
			k.stock.ordered = time.Now()
			clear(k.stock.doubtful)
			return v
		case InForce:
			if _, unload := o.(connector.UnloadAdapter); unload {
				k.stock.sequence++
				k.stock.ordered = time.Now()
			}
			return v
		case Conflict:
			// The sequence differs: an order without an answer took effect, or the
			// known one is old.
			if sleeper.Sleep(ctx, reportLag) != nil || !k.read(ctx) {
				return nil
			}
			if k.fulfilled(o) {
				return InForce{}
			}
			return v
		case Rejected:
			return v
		}
		if err != nil && ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// fulfilled reports whether the stock is as an order wants it.
func (k *keeper) fulfilled(o connector.Order) bool {
	switch o := o.(type) {
	case connector.LoadAdapter:
		m := connector.NewModel(o.Model().Base(), o.Model().Adapter(), "")
		held, ok := k.stock.held[m]
		wanted, err := strconv.ParseInt(o.Model().Version(), 10, 64)
		return ok && (err != nil || held >= wanted) // no version: any will do
	case connector.UnloadAdapter:
		_, ok := k.stock.held[o.Model()]
		return !ok
	case connector.LoadModel:
		return k.stockedBase(o.Base())
	default:
		return false
	}
}

func (k *keeper) note(o connector.Order, v Verdict, err error, token uint64, try int, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyToken, token), logger.With(logger.KeySequence, k.stock.sequence),
		logger.With(logger.KeyAttempt, try), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyHeld, k.stock.places()),
	}
	if err != nil {
		fields = append(fields, logger.Err(err))
	}
	event, model := describe(o)
	fields = append(fields, logger.With(logger.KeyModel, model), logger.With(logger.KeyOutcome, outcome(v, err)))
	k.log(event, fields...)
}

func describe(o connector.Order) (event, model string) {
	switch o := o.(type) {
	case connector.LoadAdapter:
		return "adapter-load-ordered", o.Model().Base() + "/" + o.Model().String()
	case connector.UnloadAdapter:
		return "adapter-unload-ordered", o.Model().Base() + "/" + o.Model().Adapter()
	case connector.LoadModel:
		return "base-load-ordered", o.Base()
	default:
		return "order-sent", ""
	}
}

func outcome(v Verdict, err error) string {
	switch v := v.(type) {
	case Accepted:
		return "accepted"
	case InForce:
		return "in-force"
	case Conflict:
		return "conflict"
	case Rejected:
		return "rejected-" + strconv.Itoa(v.status)
	default:
		if errors.Is(err, ErrNotSent) {
			return "not-sent"
		}
		return "no-answer"
	}
}
