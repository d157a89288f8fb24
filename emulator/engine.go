package emulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// Engine is a fake of an inference engine. Its tokens depend only on the
// adapter version, the prompt, the seed and the index, so that a stream can be
// resumed at any engine.
type Engine struct {
	settings *settings
	link     *link
	store    *WeightStore
	stepLoop sync.WaitGroup // the goroutine of loop

	mu           sync.Mutex
	restarts     int
	downUntil    time.Time
	closed       bool
	stop         chan struct{} // closed by Close
	base         string
	loadingBase  bool // a base model is being loaded
	role         connector.Role
	fencingToken uint64
	resident     map[connector.Model]bool // false while the version is loading
	running      []*stream
	queued       []*stream // in the order in which they start
	stepping     bool
	crashDelays  map[string]time.Duration // restart delays by prompt marker
	cache        *prefixCache
	lag          time.Duration
	snapshots    []snapshot
	counters     EngineCounters
}

// EngineCounters counts the work of an engine since its creation. Restarts do
// not reset it.
type EngineCounters struct {
	batch          int
	steps          int
	tokens         int
	loads          int
	unloads        int
	brokenByUnload int
	crashes        int
}

// Steps returns how many steps produced a token.
func (c EngineCounters) Steps() int { return c.steps }

// Tokens returns how many tokens were produced.
func (c EngineCounters) Tokens() int { return c.tokens }

// Batch returns how many jobs run together.
func (c EngineCounters) Batch() int { return c.batch }

// BatchEfficiency returns the share of batch slots that produced a token, over
// all steps that produced at least one.
func (c EngineCounters) BatchEfficiency() float64 {
	if c.steps == 0 {
		return 0
	}
	return float64(c.tokens) / float64(c.steps*c.batch)
}

// Loads returns how many loads succeeded.
func (c EngineCounters) Loads() int { return c.loads }

// Unloads returns how many adapters were unloaded by order.
func (c EngineCounters) Unloads() int { return c.unloads }

// BrokenByUnload returns how many streams broke because their adapter was
// unloaded. It stays zero if no adapter in use is evicted.
func (c EngineCounters) BrokenByUnload() int { return c.brokenByUnload }

// Crashes returns how often a job crashed the engine.
func (c EngineCounters) Crashes() int { return c.crashes }

// NewEngine returns an engine with empty slots that loads from store.
func NewEngine(store *WeightStore, opts ...Option) *Engine {
	s := newSettings(opts)
	e := &Engine{
		settings:    s,
		link:        newLink(s),
		store:       store,
		stop:        make(chan struct{}),
		base:        s.base,
		resident:    make(map[connector.Model]bool),
		crashDelays: make(map[string]time.Duration),
		cache:       newPrefixCache(s),
		lag:         s.lag,
		counters:    EngineCounters{batch: s.batch},
	}
	e.recordState()
	return e
}

// Token returns the text of the token at an index.
func Token(m connector.Model, prompt string, seed uint64, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", m, prompt, seed, index))
	return fmt.Sprintf("%s-%04x ", m.Adapter(), h&0xffff)
}

// Inject adds a fault: Down, Slow, AnswerLost, Crossed, RestartCold, CrashOn or
// Lag.
func (e *Engine) Inject(f Fault) error {
	switch f := f.(type) {
	case Down:
		e.link.inject(f)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.breakAll()
	case Slow, AnswerLost, Crossed:
		e.link.inject(f)
	case RestartCold:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.restart(f.delay)
	case CrashOn:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crashDelays[f.marker] = f.delay
	case Lag:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lag = f.by
	default:
		return &UnsupportedFaultError{fake: "engine", fault: f}
	}
	return nil
}

// Clear ends all faults. A restart that has begun is completed.
func (e *Engine) Clear() {
	e.link.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.crashDelays)
	e.lag = e.settings.lag
}

// Close breaks all streams and waits for the engine's goroutine.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		close(e.stop)
		e.breakAll()
	}
	e.mu.Unlock()
	e.stepLoop.Wait()
}

// Counters returns a copy of the engine's counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Instance returns the current instance id.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance()
}

func (e *Engine) instance() string { return fmt.Sprintf("%s#%d", e.settings.name, e.restarts+1) }

// Role returns the current role.
func (e *Engine) Role() connector.Role {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Resident returns the adapter versions that are loaded now, regardless of the
// report lag.
func (e *Engine) Resident() []connector.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded()
}

func (e *Engine) loaded() []connector.Model {
	models := make([]connector.Model, 0, len(e.resident))
	for m, ready := range e.resident {
		if ready {
			models = append(models, m)
		}
	}
	return models
}

// check returns an error if the engine does not accept requests. The caller
// holds the mutex.
func (e *Engine) check() error {
	if e.closed {
		return fmt.Errorf("engine %s is closed: %w", e.settings.name, connector.ErrRefused)
	}
	if time.Now().Before(e.downUntil) {
		return fmt.Errorf("engine %s is restarting: %w", e.settings.name, connector.ErrRefused)
	}
	return nil
}

// restart replaces the engine by a new instance that is unavailable for delay.
// The fencing token is reset, because engines do not persist it. The caller
// holds the mutex.
func (e *Engine) restart(delay time.Duration) {
	e.breakAll()
	e.restarts++
	e.downUntil = time.Now().Add(delay)
	e.fencingToken = 0
	e.base = e.settings.base
	e.loadingBase = false
	e.role = connector.RoleBoth
	clear(e.resident)
	e.cache.clear()
	e.snapshots = nil
	e.recordState()
}

// breakAll breaks all running and queued streams. The caller holds the mutex.
func (e *Engine) breakAll() {
	for _, s := range e.running {
		s.finish(connector.ErrBroken)
	}
	for _, s := range e.queued {
		s.finish(connector.ErrBroken)
	}
	e.running = nil
	e.queued = nil
	e.recordState()
}

// Order carries out an order and returns when it is complete. An order past its
// deadline is not sent.
func (e *Engine) Order(ctx context.Context, order connector.Order) error {
	if deadlinePassed(order) {
		return fmt.Errorf("order deadline exceeded: %w", connector.ErrRefused)
	}
	return e.receiveOrder(ctx, order)
}

func deadlinePassed(order connector.Order) bool {
	d := order.Deadline()
	return !d.IsZero() && !time.Now().Before(d)
}

// orderReceiver is an engine that carries out an order that was sent before its
// deadline, however late it arrives.
type orderReceiver interface {
	receiveOrder(ctx context.Context, order connector.Order) error
}

func (e *Engine) receiveOrder(ctx context.Context, order connector.Order) error {
	if err := e.link.deliver(ctx); err != nil {
		if e.link.deliveredLate(err) {
			_ = e.executeLate(order)
		}
		return fmt.Errorf("send order: %w: %w", endpointSendError(err), err)
	}
	if err := e.accept(order); err != nil {
		return err
	}
	if err := e.execute(ctx, order); err != nil {
		return err
	}
	if err := e.link.respondToWrite(ctx); err != nil {
		return fmt.Errorf("wait for the response to the order: %w: %w", connector.ErrBroken, err)
	}
	return nil
}

// executeLate carries out an order whose sender has given up. Loads are
// abandoned, because no sender waits for them.
func (e *Engine) executeLate(order connector.Order) error {
	if err := e.accept(order); err != nil {
		return err
	}
	switch order.(type) {
	case connector.UnloadAdapter, connector.ChangeRole:
		return e.execute(context.Background(), order)
	default:
		return nil
	}
}

// accept checks the fencing token of an order and records it.
func (e *Engine) accept(order connector.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(); err != nil {
		return err
	}
	if e.settings.fencing && order.Token() < e.fencingToken {
		return fmt.Errorf("fencing token %d is below %d: %w", order.Token(), e.fencingToken, connector.ErrFenced)
	}
	e.fencingToken = max(e.fencingToken, order.Token())
	return nil
}

func (e *Engine) execute(ctx context.Context, order connector.Order) error {
	switch o := order.(type) {
	case connector.LoadModel:
		return e.loadModel(ctx, o.Base())
	case connector.LoadAdapter:
		return e.loadAdapter(ctx, o.Model())
	case connector.UnloadAdapter:
		e.unload(o.Model())
		return nil
	case connector.ChangeRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.role = o.Role()
		return nil
	default:
		return fmt.Errorf("unknown order %T: %w", order, connector.ErrRefused)
	}
}

// loadModel replaces the base model and empties all slots.
func (e *Engine) loadModel(ctx context.Context, base string) error {
	e.mu.Lock()
	e.breakAll()
	clear(e.resident)
	e.cache.clear()
	e.loadingBase = true
	instance := e.restarts
	e.recordState()
	e.mu.Unlock()
	err := sleeper.Sleep(ctx, e.settings.modelLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarts != instance {
		return fmt.Errorf("engine restarted during the load of model %s: %w", base, connector.ErrBroken)
	}
	e.loadingBase = false
	if err != nil {
		return fmt.Errorf("load model %s: %w: %w", base, connector.ErrBroken, err)
	}
	e.base = base
	return nil
}

// loadAdapter reserves a slot before it reads the weights.
func (e *Engine) loadAdapter(ctx context.Context, m connector.Model) error {
	instance, needed, err := e.reserveSlot(m)
	if err != nil || !needed {
		return err
	}
	err = e.store.Load(ctx, m)
	if err != nil && !errors.Is(err, connector.ErrLoadFailed) {
		err = fmt.Errorf("%w: %w", connector.ErrBroken, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarts != instance || e.closed {
		return fmt.Errorf("engine restarted during the load of %s: %w", m, connector.ErrBroken)
	}
	if _, taken := e.resident[m]; !taken {
		return fmt.Errorf("%s was unloaded during its load: %w", m, connector.ErrLoadFailed)
	}
	if err != nil {
		delete(e.resident, m)
		return err
	}
	e.resident[m] = true
	e.counters.loads++
	e.recordState()
	return nil
}

func (e *Engine) reserveSlot(m connector.Model) (instance int, needed bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ready, taken := e.resident[m]
	switch {
	case taken && ready:
		return 0, false, nil
	case taken:
		return 0, false, fmt.Errorf("%s is being loaded: %w", m, connector.ErrRefused)
	case e.loadingBase:
		return 0, false, fmt.Errorf("a base model is being loaded: %w", connector.ErrRefused)
	case e.base != "" && m.Base() != e.base:
		return 0, false, fmt.Errorf("%s needs base %q, not %q: %w", m, m.Base(), e.base, connector.ErrRefused)
	case len(e.resident) >= e.settings.slots:
		return 0, false, fmt.Errorf("all %d adapter slots are in use: %w", e.settings.slots, connector.ErrRefused)
	}
	e.resident[m] = false
	return e.restarts, true, nil
}

// unload frees the slot of an adapter and breaks the streams that use it.
func (e *Engine) unload(m connector.Model) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.resident[m]; !ok {
		return
	}
	delete(e.resident, m)
	e.counters.unloads++
	e.running = e.breakStreamsOf(e.running, m)
	e.queued = e.breakStreamsOf(e.queued, m)
	e.recordState()
}

func (e *Engine) breakStreamsOf(streams []*stream, m connector.Model) []*stream {
	var kept []*stream
	for _, s := range streams {
		if s.job.Model() != m {
			kept = append(kept, s)
			continue
		}
		s.finish(connector.ErrBroken)
		e.counters.brokenByUnload++
	}
	return kept
}

// snapshot is the state of an engine since a point in time.
type snapshot struct {
	since   time.Time
	loaded  []connector.Model
	running map[connector.Model]int
	queued  int
}

// recordState takes a snapshot for delayed reports and drops the snapshots that
// are too old for any report. The caller holds the mutex.
func (e *Engine) recordState() {
	now := time.Now()
	m := snapshot{since: now, loaded: e.loaded(), running: make(map[connector.Model]int, len(e.running)), queued: len(e.queued)}
	for _, s := range e.running {
		m.running[s.job.Model()]++
	}
	if n := len(e.snapshots); n > 0 && e.snapshots[n-1].since.Equal(now) {
		e.snapshots = e.snapshots[:n-1]
	}
	e.snapshots = append(e.snapshots, m)
	drop := 0
	for drop+1 < len(e.snapshots) && !e.snapshots[drop+1].since.After(now.Add(-e.lag)) {
		drop++
	}
	e.snapshots = e.snapshots[drop:]
}

// Report returns the state of the engine as of one report lag ago.
func (e *Engine) Report(ctx context.Context) (connector.Report, error) {
	if err := e.link.deliver(ctx); err != nil {
		return connector.Report{}, fmt.Errorf("request report: %w: %w", connector.ErrRefused, err)
	}
	r, err := e.report()
	if err != nil {
		return connector.Report{}, err
	}
	if err := e.link.respond(ctx); err != nil {
		return connector.Report{}, fmt.Errorf("wait for report: %w: %w", connector.ErrBroken, err)
	}
	return r, nil
}

func (e *Engine) report() (connector.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(); err != nil {
		return connector.Report{}, err
	}
	now := time.Now()
	shown := e.snapshots[0]
	age := min(e.lag, now.Sub(shown.since))
	for _, m := range e.snapshots {
		if m.since.After(now.Add(-age)) {
			break
		}
		shown = m
	}
	prefixes := e.cache.publishedAt(now.Add(-age))
	return connector.NewReport(e.instance(), age, shown.loaded, maps.Clone(shown.running), shown.queued, e.settings.batch, prefixes), nil
}
