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

// Defaults of the options.
const (
	defaultRetention     = 45 * 24 * time.Hour // one and a half budget periods
	defaultFlushInterval = time.Minute
)

const (
	// namedAdapters is the number of adapters that a node counts by name in a
	// minute. With 560 nodes, reports still cover several thousand adapters.
	namedAdapters = 8
	// settleDelay is how long events may still be added to a minute that has ended:
	// a request loads the pointer to the minute and adds to it shortly afterwards.
	settleDelay = 30 * time.Second
	// rotateInterval is the time between checks for a new minute or bundle.
	rotateInterval = time.Second
	// maxPendingHours bounds the hours that are kept while the object store is down.
	// Two days are far longer than the outages of the platform.
	maxPendingHours = 48
	// flushTimeout bounds the write of one object, so that a slow store delays only
	// the history.
	flushTimeout = 10 * time.Second
	// closeTimeout bounds the final writes of a node that stops.
	closeTimeout = 5 * time.Second
	// pruneInterval is the time between deletions of a node's expired objects.
	pruneInterval = time.Hour
)

// ErrNotStored reports counts that could not be stored.
var ErrNotStored = eris.New("service level counts are not stored")

// Reporter counts the events of a node and stores the counts. Counting an event
// takes no lock.
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
	dropped    atomic.Int64

	mu       sync.Mutex // guards settling and hours; not taken by requests
	settling []*settlingMinute
	hours    map[time.Time]*hour

	sequence   uint64 // of objects; guarded by mu
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// settlingMinute is a replaced minute that requests may still be adding to.
type settlingMinute struct {
	*minute
	at time.Time
}

// Option sets an optional property of a Reporter.
type Option func(*Reporter)

// WithRetention sets how long stored objects are kept.
func WithRetention(d time.Duration) Option { return func(r *Reporter) { r.retention = d } }

// WithInterval sets the time between writes to the object store.
func WithInterval(d time.Duration) Option { return func(r *Reporter) { r.interval = d } }

// WithLogger sets the logger for failures to store or delete objects.
func WithLogger(l *logger.Logger) Option {
	return func(r *Reporter) { r.log = l.Component("reporter") }
}

// New returns a running reporter for a node. The caller must call Close.
func New(node, region string, bundles resolver.Source, objects storer.Objects, opts ...Option) *Reporter {
	r := &Reporter{
		node:      node,
		region:    region,
		bundles:   bundles,
		objects:   objects,
		log:       logger.Nop(),
		retention: defaultRetention,
		interval:  defaultFlushInterval,
		hours:     make(map[time.Time]*hour),
	}
	for _, opt := range opts {
		opt(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.current.Store(newMinute(startOfMinute(time.Now()), r.levels(), nil))
	r.goroutines.Go(func() { r.rotateLoop(ctx) })
	r.goroutines.Go(func() { r.flushLoop(ctx) })
	return r
}

// Dropped returns how many counts were dropped because the object store was down
// for too long or an hour had too many series.
func (r *Reporter) Dropped() int64 { return r.dropped.Load() }

// Close stops the goroutines and stores all counts. Later events are not counted.
func (r *Reporter) Close() error {
	r.cancel()
	r.goroutines.Wait()
	r.mu.Lock()
	last := r.current.Swap(newMinute(time.Time{}, nil, nil))
	r.settling = append(r.settling, &settlingMinute{minute: last})
	r.collectSettled(time.Time{})
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return r.flush(ctx)
}

// LoadWaitObserver receives the time that requests wait for their adapter to be
// loaded.
type LoadWaitObserver interface {
	// ObserveLoadWait records that one request waited d, or 0 if its adapter was
	// resident. The adapter is "" if it is not known.
	ObserveLoadWait(adapter string, d time.Duration)
}

var _ LoadWaitObserver = (*Reporter)(nil)

// ObserveLoadWait implements LoadWaitObserver.
func (r *Reporter) ObserveLoadWait(adapter string, d time.Duration) {
	if adapter == "" {
		adapter = unknownAdapter
	}
	r.recordDuration(bundler.MeasureLoadStall, adapter, d)
}

// unknownAdapter replaces an unknown adapter's name, so that it is counted with
// the other adapters and not with the services. No adapter can have this name.
const unknownAdapter = "?"

// recordDuration compares a duration with the thresholds of all levels of a
// measure and counts a good or bad event for each.
func (r *Reporter) recordDuration(measure, adapter string, d time.Duration) {
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == measure {
			m.add(i, m.column(adapter), outcomeOf(d <= m.levels[i].threshold))
		}
	}
}

// recordUnfinishedWait counts a wait that ended without a result. It is bad for
// levels whose threshold it exceeded; for other levels it is not counted, because
// it is unknown how long the wait would have been.
func (r *Reporter) recordUnfinishedWait(measure, adapter string, d time.Duration) {
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == measure && d > m.levels[i].threshold {
			m.add(i, m.column(adapter), bad)
		}
	}
}

// recordEnd counts the end of a request for all levels of the measure success.
func (r *Reporter) recordEnd(adapter string, o outcome) {
	if adapter != "" {
		r.candidates.record(adapter)
	}
	m := r.current.Load()
	for i := range m.levels {
		if m.levels[i].measure == bundler.MeasureSuccess {
			m.add(i, m.column(adapter), o)
		}
	}
}

func outcomeOf(ok bool) outcome {
	if ok {
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

func (r *Reporter) rotateLoop(ctx context.Context) {
	ticker := time.NewTicker(rotateInterval)
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

// rotate starts a new minute if the time or the levels of the bundle have
// changed, and collects the minutes that have settled.
func (r *Reporter) rotate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, levels := startOfMinute(now), r.levels()
	if m := r.current.Load(); !m.matches(start, levels) {
		names := m.names
		if !m.start.Equal(start) {
			names = r.candidates.top(namedAdapters)
		}
		r.current.Store(newMinute(start, levels, names))
		r.settling = append(r.settling, &settlingMinute{minute: m, at: now})
	}
	r.collectSettled(now.Add(-settleDelay))
}

// collectSettled adds the minutes that were replaced before a time to their
// hours, or all of them if the time is zero. The caller must hold mu.
func (r *Reporter) collectSettled(before time.Time) {
	r.settling = slices.DeleteFunc(r.settling, func(m *settlingMinute) bool {
		if !before.IsZero() && m.at.After(before) {
			return false
		}
		for _, s := range m.samples() {
			if !r.hourOf(s.minute).add(s) {
				r.dropped.Add(int64(s.total()))
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

// flushLoop writes the counts once per interval. Its offset in the interval
// depends on the node's name, so that the nodes do not all write at once.
func (r *Reporter) flushLoop(ctx context.Context) {
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

// encodedHour is an encoded hour with the key to store it under.
type encodedHour struct {
	hour *hour
	key  objectKey
	body []byte
}

// flush writes every hour that has new counts, oldest first. It stops at the
// first failure; the remaining counts are kept for the next flush.
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

// pending returns the start of each hour to write. It discards hours that are
// complete and written, and the oldest ones if there are more than
// maxPendingHours.
func (r *Reporter) pending(now time.Time) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []time.Time
	for _, start := range slices.SortedFunc(maps.Keys(r.hours), time.Time.Compare) {
		complete := now.Sub(start) > time.Hour+time.Minute+2*settleDelay
		switch {
		case r.hours[start].dirty:
			starts = append(starts, start)
		case complete:
			delete(r.hours, start)
		}
	}
	for len(starts) > maxPendingHours {
		r.dropped.Add(r.hours[starts[0]].total())
		delete(r.hours, starts[0])
		starts = starts[1:]
	}
	return starts
}

// encode encodes an hour and marks it as written. If the write fails, write
// reverts the mark.
func (r *Reporter) encode(start time.Time) (*encodedHour, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hours[start]
	body, err := encodeHour(r.region, h)
	if err != nil {
		return nil, fmt.Errorf("encode hour %s: %w", start.Format(hourFormat), err)
	}
	h.dirty = false
	// Every attempt has its own sequence number, because an earlier attempt whose
	// response was lost may have stored other bytes.
	r.sequence++
	return &encodedHour{hour: h, key: objectKey{node: r.node, hour: start, run: h.run, sequence: r.sequence}, body: body}, nil
}

func (r *Reporter) write(ctx context.Context, e *encodedHour) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := r.objects.Put(ctx, e.key.String(), e.body); err != nil {
		r.mu.Lock()
		e.hour.dirty = true
		r.mu.Unlock()
		return fmt.Errorf("store counts: %w", err)
	}
	r.deleteReplaced(ctx, e)
	return nil
}

// deleteReplaced deletes the object that the new one replaces. If that fails,
// readers still use only the newest object, and the old one is deleted when it
// expires.
func (r *Reporter) deleteReplaced(ctx context.Context, e *encodedHour) {
	old := e.hour.storedKey
	e.hour.storedKey = e.key.String()
	d, ok := r.objects.(Deleter)
	if !ok || old == "" {
		return
	}
	if err := d.Delete(ctx, old); err != nil && !errors.Is(err, storer.ErrNotFound) {
		r.log.Warn("replaced-object-kept", logger.Err(err))
	}
}
