package reporter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Defaults of a reporter that is given no settings.
const (
	defaultRetention = 45 * 24 * time.Hour // one and a half budget periods
	defaultFlush     = time.Minute
)

const (
	// namedPerMinute is how many adapters a node counts by name at a time. At 560
	// nodes the report then still covers several thousand adapters.
	namedPerMinute = 8
	// settleTime is how long a minute that has ended may still be counted in: a
	// request loads the minute and adds to it shortly afterwards.
	settleTime = 30 * time.Second
	// tick is how often the time and the bundle are looked at.
	tick = time.Second
	// maxPending bounds the hours kept while the object store is down. Two days
	// are far longer than the outages that the platform has.
	maxPending = 48
	// flushTimeout bounds one write, so that a slow store delays only the history.
	flushTimeout = 10 * time.Second
	// closeTimeout bounds the last write of a node that stops.
	closeTimeout = 5 * time.Second
	// pruneInterval is how often a node removes its expired objects.
	pruneInterval = time.Hour
)

// ErrNotStored reports counts that a closing reporter could not store.
var ErrNotStored = eris.New("service level counts are not stored")

// Reporter counts events and stores the counts. Counting takes no lock.
type Reporter struct {
	node      string
	region    string
	bundles   resolver.Source
	objects   storer.Objects
	log       *logger.Logger
	retention time.Duration
	interval  time.Duration

	current    atomic.Pointer[minute]
	candidates candidates
	lost       atomic.Int64

	mu       sync.Mutex // guards settling and hours; no request takes it
	settling []*retired
	hours    map[time.Time]*hour

	sequence uint64 // of objects; guarded by mu
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

// retired is a minute that requests may still be adding to.
type retired struct {
	*minute
	at time.Time
}

// Option sets an optional property of a Reporter.
type Option func(*Reporter)

// WithRetention sets how long objects are kept.
func WithRetention(d time.Duration) Option { return func(r *Reporter) { r.retention = d } }

// WithInterval sets the time between writes to the object store.
func WithInterval(d time.Duration) Option { return func(r *Reporter) { r.interval = d } }

// WithLogger logs failed writes.
func WithLogger(l *logger.Logger) Option {
	return func(r *Reporter) { r.log = l.Component("reporter") }
}

// New starts a reporter for a node. The caller must call Close.
func New(node, region string, bundles resolver.Source, objects storer.Objects, opts ...Option) *Reporter {
	r := &Reporter{
		node:      node,
		region:    region,
		bundles:   bundles,
		objects:   objects,
		log:       logger.Nop(),
		retention: defaultRetention,
		interval:  defaultFlush,
		hours:     make(map[time.Time]*hour),
	}
	for _, opt := range opts {
		opt(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.current.Store(newMinute(startOfMinute(time.Now()), r.levels(), nil))
	r.work.Go(func() { r.rotateAlways(ctx) })
	r.work.Go(func() { r.flushAlways(ctx) })
	return r
}

// Dropped returns how many counts were dropped because the object store was down
// for too long or an hour had too many series.
func (r *Reporter) Dropped() int64 { return r.lost.Load() }

// Close stores what is counted and ends the goroutines. Events that come later
// are not counted.
func (r *Reporter) Close() error {
	r.cancel()
	r.work.Wait()
	r.mu.Lock()
	last := r.current.Swap(newMinute(time.Time{}, nil, nil))
	r.settling = append(r.settling, &retired{minute: last})
	r.collect(time.Time{})
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return r.flush(ctx)
}

// LoadWaitObserver hears how long requests wait for their adapter to be loaded.
type LoadWaitObserver interface {
	// ObserveLoadWait counts one request that waited d. A request whose adapter is
	// resident counts with zero; "" stands for an adapter that is not known.
	ObserveLoadWait(adapter string, d time.Duration)
}

var _ LoadWaitObserver = (*Reporter)(nil)

// ObserveLoadWait counts the load stall of one request.
func (r *Reporter) ObserveLoadWait(adapter string, d time.Duration) {
	if adapter == "" {
		adapter = unnamed
	}
	r.measure(bundler.MeasureLoadStall, adapter, d)
}

// unnamed is no name that an adapter can have, so that it is counted with the
// other adapters and not with the services.
const unnamed = "?"

// measure judges a duration by the thresholds of all levels of a measure.
func (r *Reporter) measure(measure, adapter string, d time.Duration) {
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == measure {
			m.add(i, m.column(adapter), within(d <= m.levels[i].threshold))
		}
	}
}

// exceeded counts a wait that ended without a result. It is bad for the levels
// whose threshold it passed; for the others nothing is known.
func (r *Reporter) exceeded(measure, adapter string, d time.Duration) {
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == measure && d > m.levels[i].threshold {
			m.add(i, m.column(adapter), bad)
		}
	}
}

// ended counts the end of a request.
func (r *Reporter) ended(adapter string, v verdict) {
	if adapter != "" {
		r.candidates.note(adapter)
	}
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == bundler.MeasureSuccess {
			m.add(i, m.column(adapter), v)
		}
	}
}

func within(holds bool) verdict {
	if holds {
		return good
	}
	return bad
}

func startOfMinute(t time.Time) time.Time { return t.UTC().Truncate(time.Minute) }

// levels returns the levels of the bundle in force.
func (r *Reporter) levels() []Level {
	s := r.bundles.Load().Current()
	if s == nil {
		return nil
	}
	return newLevels(s.ServiceLevels())
}

func (r *Reporter) rotateAlways(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.rotate(now)
		}
	}
}

// rotate starts a new minute if the time or the bundle asks for it, and collects
// the minutes that have settled.
func (r *Reporter) rotate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, levels := startOfMinute(now), r.levels()
	if m := r.current.Load(); !m.current(start, levels) {
		names := m.names
		if !m.start.Equal(start) {
			names = r.candidates.top(namedPerMinute)
		}
		r.current.Store(newMinute(start, levels, names))
		r.settling = append(r.settling, &retired{minute: m, at: now})
	}
	r.collect(now.Add(-settleTime))
}

// collect moves minutes that ended before a time into their hours; the zero time
// stands for all. The caller holds mu.
func (r *Reporter) collect(before time.Time) {
	r.settling = slices.DeleteFunc(r.settling, func(m *retired) bool {
		if !before.IsZero() && m.at.After(before) {
			return false
		}
		for _, s := range m.samples() {
			if !r.hourOf(s.minute).add(s) {
				r.lost.Add(int64(s.total()))
			}
		}
		return true
	})
}

func (r *Reporter) hourOf(t time.Time) *hour {
	start := t.Truncate(time.Hour)
	h, ok := r.hours[start]
	if !ok {
		h = newHour(start)
		r.hours[start] = h
	}
	return h
}

// flushAlways writes at a time within the interval that depends on the node's
// name, so that the nodes do not all write at once.
func (r *Reporter) flushAlways(ctx context.Context) {
	offset := time.Duration(xxhash.Sum64String(r.node) % uint64(r.interval))
	timer := time.NewTimer(offset)
	defer timer.Stop()
	var pruned time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := r.flush(ctx); err != nil {
			r.log.Warn("flush-failed", logger.Err(err))
		} else if time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			if _, err := Prune(ctx, r.objects, prefix+r.node+"/", pruned.Add(-r.retention)); err != nil {
				r.log.Warn("prune-failed", logger.Err(err))
			}
		}
		timer.Reset(r.interval)
	}
}

// encoded is an hour ready to be written.
type encoded struct {
	hour *hour
	key  objectKey
	body []byte
}

// flush writes every hour that has new counts, oldest first. It stops at the
// first failure; the counts stay for the next time.
func (r *Reporter) flush(ctx context.Context) error {
	for _, start := range r.pending(time.Now()) {
		e, err := r.encode(start)
		if err != nil {
			return err
		}
		if err := r.write(ctx, e); err != nil {
			return fmt.Errorf("hour %s: %w: %w", start.Format(hourFormat), ErrNotStored, err)
		}
	}
	return nil
}

// pending returns the hours to write. It forgets those that are written and over,
// and the oldest ones when there are too many.
func (r *Reporter) pending(now time.Time) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []time.Time
	for _, start := range slices.SortedFunc(maps.Keys(r.hours), time.Time.Compare) {
		over := now.Sub(start) > time.Hour+time.Minute+2*settleTime
		switch {
		case r.hours[start].dirty:
			starts = append(starts, start)
		case over:
			delete(r.hours, start)
		}
	}
	for len(starts) > maxPending {
		r.lost.Add(r.hours[starts[0]].total())
		delete(r.hours, starts[0])
		starts = starts[1:]
	}
	return starts
}

// encode marks the hour as written; write takes that back if it fails.
func (r *Reporter) encode(start time.Time) (*encoded, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hours[start]
	body, err := encodeHour(r.region, h)
	if err != nil {
		return nil, fmt.Errorf("encode hour %s: %w", start.Format(hourFormat), err)
	}
	h.dirty = false
	// Every try has its own sequence number, because an earlier try whose answer
	// was lost may have stored other bytes.
	r.sequence++
	return &encoded{hour: h, key: objectKey{node: r.node, hour: start, run: h.run, sequence: r.sequence}, body: body}, nil
}

func (r *Reporter) write(ctx context.Context, e *encoded) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := r.objects.Put(ctx, e.key.String(), e.body); err != nil {
		r.mu.Lock()
		e.hour.dirty = true
		r.mu.Unlock()
		return fmt.Errorf("store counts: %w", err)
	}
	r.removeReplaced(ctx, e)
	return nil
}

// removeReplaced removes the object that the new one replaces. If that fails, a
// reader still takes only the newest, and the object goes when it expires.
func (r *Reporter) removeReplaced(ctx context.Context, e *encoded) {
	old := e.hour.stored
	e.hour.stored = e.key.String()
	d, ok := r.objects.(Deleter)
	if !ok || old == "" {
		return
	}
	if err := d.Delete(ctx, old); err != nil && !errors.Is(err, storer.ErrNotFound) {
		r.log.Warn("replaced-object-kept", logger.Err(err))
	}
}
