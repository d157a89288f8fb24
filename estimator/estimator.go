package estimator

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending is the number of samples of an engine that are kept for its owner.
	maxPending = 16
	// idleTime is how long an engine without samples is remembered.
	idleTime = 2 * time.Minute
	// maxEngines bounds the number of engines that are remembered.
	maxEngines = 4096
	// notableChange is the relative change of the time of a prompt token that is
	// reported as a Change.
	notableChange = 0.25
)

// Change is a change of an estimate that affects decisions.
type Change struct {
	engine   string
	from, to Estimate
}

// Engine returns the engine's id.
func (c Change) Engine() string { return c.engine }

// From returns the previous estimate.
func (c Change) From() Estimate { return c.from }

// To returns the new estimate.
func (c Change) To() Estimate { return c.to }

// Estimator estimates the engines that a host calls or owns. Estimates are read
// without a lock.
type Estimator struct {
	defaults Estimate
	onChange func(Change)
	engines  sync.Map // id → *engine
	services sync.Map // name → *engine
	count    atomic.Int64
}

// engine is the record of one engine, or of all engines of a service.
type engine struct {
	mu       sync.Mutex
	speed    speed
	current  atomic.Pointer[Estimate]
	reported Estimate // at the last Change
	own      []Sample // newest samples of this host's own calls, at most maxPending
	pending  int      // how many of own, the newest ones, the engine's owner has not received
	jobs     Sample   // latest Occupancy that the owner has not received, or nil
}

// New returns an estimator. It calls onChange, which may be nil, after each change of
// an engine's estimate that affects decisions.
func New(defaults Estimate, onChange func(Change)) *Estimator {
	return &Estimator{defaults: defaults, onChange: onChange}
}

// Observe records a sample of a call of this host, and keeps it for the engine's
// owner.
func (x *Estimator) Observe(id, service string, s Sample, now time.Time) {
	if !valid(s) {
		return
	}
	x.record(id, service, now, s)
	if e := load(&x.engines, id); e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s.(type) {
		case Occupancy:
			e.jobs = s
			return
		case Slowdown:
			return // over before the next request to the owner
		}
		if len(e.own) == maxPending {
			e.own = slices.Delete(e.own, 0, 1)
		}
		e.own = append(e.own, s)
		e.pending = min(e.pending+1, maxPending)
	}
}

// Learn records samples of calls of other hosts.
func (x *Estimator) Learn(id, service string, samples []Sample, now time.Time) {
	x.record(id, service, now, slices.DeleteFunc(slices.Clone(samples), func(s Sample) bool { return !valid(s) })...)
}

func (x *Estimator) record(id, service string, now time.Time, samples ...Sample) {
	if len(samples) == 0 {
		return
	}
	x.service(service).add(now, samples)
	e := x.engine(id, now)
	if e == nil {
		return
	}
	if change, ok := e.add(now, samples); ok && x.onChange != nil {
		change.engine = id
		x.onChange(change)
	}
}

func load(m *sync.Map, key string) *engine {
	if v, ok := m.Load(key); ok {
		return v.(*engine)
	}
	return nil
}

func (x *Estimator) service(name string) *engine {
	if e := load(&x.services, name); e != nil {
		return e
	}
	v, _ := x.services.LoadOrStore(name, &engine{})
	return v.(*engine)
}

// engine returns the record of an engine, or nil if there are too many.
func (x *Estimator) engine(id string, now time.Time) *engine {
	if e := load(&x.engines, id); e != nil {
		return e
	}
	if x.count.Load() >= maxEngines {
		x.Prune(now)
		if x.count.Load() >= maxEngines {
			return nil
		}
	}
	v, loaded := x.engines.LoadOrStore(id, &engine{})
	if !loaded {
		x.count.Add(1)
	}
	return v.(*engine)
}

// Prune removes the engines that have had no sample for a while.
func (x *Estimator) Prune(now time.Time) {
	x.engines.Range(func(id, v any) bool {
		e := v.(*engine)
		e.mu.Lock()
		idle := now.Sub(e.speed.last) > idleTime
		e.mu.Unlock()
		if idle {
			x.engines.Delete(id)
			x.count.Add(-1)
		}
		return true
	})
}

// add records samples and returns the change of the estimate if it is notable.
func (e *engine) add(now time.Time, samples []Sample) (Change, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, s := range samples {
		changed = e.speed.add(s, now) || changed
	}
	if !changed {
		return Change{}, false
	}
	next := e.speed.current
	e.current.Store(&next)
	was := e.reported
	if !next.Sure() || math.Abs(float64(next.promptToken-was.promptToken)) <= notableChange*float64(was.promptToken) {
		return Change{}, false
	}
	e.reported = next
	return Change{from: was, to: next}, true
}

// Estimate returns the estimate for an engine of a service. What too few calls of the
// engine show is taken from the service, and else from the defaults.
func (x *Estimator) Estimate(id, service string) Estimate {
	own, pool := current(&x.engines, id), current(&x.services, service)
	est := x.defaults
	for _, known := range []Estimate{pool, own} {
		if known.promptToken > 0 && known.Sure() {
			est.promptToken, est.spread = known.promptToken, known.spread
		}
		if known.outputToken > 0 {
			est.outputToken, est.pause = known.outputToken, known.pause
		}
	}
	est.samples, est.jobs, est.jobsAt, est.slowAt = own.samples, own.jobs, own.jobsAt, own.slowAt
	return est
}

func current(m *sync.Map, key string) Estimate {
	if e := load(m, key); e != nil {
		if p := e.current.Load(); p != nil {
			return *p
		}
	}
	return Estimate{}
}

// Pending returns the samples of this host's calls that the engine's owner has not
// received yet, and counts them as received. The loss of a few does not matter.
func (x *Estimator) Pending(id string) []Sample {
	e := load(&x.engines, id)
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := slices.Clone(e.own[len(e.own)-min(e.pending, len(e.own)):])
	e.pending = 0
	if e.jobs != nil {
		list = append(list, e.jobs)
		e.jobs = nil
	}
	return list
}

// Resend makes Pending return all samples that are kept for an engine again, because
// its owner knows too little about it. It was restarted or is a new one.
func (x *Estimator) Resend(id string) {
	if e := load(&x.engines, id); e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pending = len(e.own)
	}
}
