package viewer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Residency tells how far an adapter version is on its way into an engine.
type Residency int

// Residencies of an adapter version.
const (
	Absent Residency = iota
	Loading
	Resident
)

// View is what its owner last said of one engine. It never changes.
type View struct {
	engine   string
	hash     uint64 // of the engine's name
	owner    string
	models   map[connector.Model]Residency
	hashes   []uint64 // of models, in any order
	slots    int
	batch    int
	running  int
	queued   int
	taken    time.Time
	accepted bool
	room     int
	eviction float64
	prefixes *Prefixes
}

// Option sets an optional property of a View.
type Option func(*View)

// WithLoadCapacity says how many more adapters the engine can load now and how many
// requests per second the adapter gets that would make room for the next one.
func WithLoadCapacity(room int, evictionCost float64) Option {
	return func(v *View) { v.room, v.eviction = room, evictionCost }
}

// WithPrefixes adds the prompt prefixes that the engine has cached.
func WithPrefixes(p *Prefixes) Option {
	return func(v *View) { v.prefixes = p }
}

// Prefixes is an immutable set of hashes of prompt prefixes. A nil set is empty.
type Prefixes struct {
	set  map[uint64]struct{}
	list []uint64
}

// NewPrefixes returns a set. The slice must not be changed afterwards.
func NewPrefixes(hashes []uint64) *Prefixes {
	p := &Prefixes{set: make(map[uint64]struct{}, len(hashes)), list: hashes}
	for _, h := range hashes {
		p.set[h] = struct{}{}
	}
	return p
}

// Has reports whether the set holds a hash.
func (p *Prefixes) Has(hash uint64) bool {
	if p == nil {
		return false
	}
	_, ok := p.set[hash]
	return ok
}

// Hashes returns the set; the slice must not be changed.
func (p *Prefixes) Hashes() []uint64 {
	if p == nil {
		return nil
	}
	return p.list
}

// HashModel returns the hash that ResidencyOf expects.
func HashModel(m connector.Model) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Base())
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Adapter())
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(m.Version())
	return d.Sum64()
}

// NewView returns a view. The map must not be changed afterwards. Accepted says
// whether the engine takes new work.
func NewView(engine, owner string, models map[connector.Model]Residency, slots, batch, running, queued int, taken time.Time, accepted bool, opts ...Option) *View {
	v := &View{
		engine:   engine,
		hash:     xxhash.Sum64String(engine),
		owner:    owner,
		models:   models,
		slots:    slots,
		batch:    batch,
		running:  running,
		queued:   queued,
		taken:    taken,
		accepted: accepted,
	}
	for _, opt := range opts {
		opt(v)
	}
	v.hashes = make([]uint64, 0, len(models))
	for m := range models {
		v.hashes = append(v.hashes, HashModel(m))
	}
	return v
}

// Engine returns the engine's name.
func (v *View) Engine() string { return v.engine }

// EngineHash returns the hash of the engine's name.
func (v *View) EngineHash() uint64 { return v.hash }

// Owner returns the node that owns the engine, or "".
func (v *View) Owner() string { return v.owner }

// Residency returns how far m is on its way into the engine.
func (v *View) Residency(m connector.Model) Residency { return v.models[m] }

// ResidencyOf is Residency for a model whose hash is known. An engine has few
// slots, so that a scan of the hashes costs less than hashing three strings.
func (v *View) ResidencyOf(hash uint64, m connector.Model) Residency {
	for _, h := range v.hashes {
		if h == hash {
			return v.models[m]
		}
	}
	return Absent
}

// Models returns every adapter version that is loading or resident; the map
// must not be changed.
func (v *View) Models() map[connector.Model]Residency { return v.models }

// Slots returns how many adapters the engine holds.
func (v *View) Slots() int { return v.slots }

// Batch returns how many jobs run together.
func (v *View) Batch() int { return v.batch }

// Running returns how many jobs run.
func (v *View) Running() int { return v.running }

// Queued returns how many jobs wait at the owner.
func (v *View) Queued() int { return v.queued }

// ReceivedAt returns when the node received the view.
func (v *View) ReceivedAt() time.Time { return v.taken }

// LoadCapacity returns how many more adapters the engine can load now, into free slots
// or in place of adapters that nobody uses.
func (v *View) LoadCapacity() int { return v.room }

// EvictionCost returns the requests per second for the adapter that makes room
// for the next load; it is 0 while a slot is free.
func (v *View) EvictionCost() float64 { return v.eviction }

// Prefixes returns the cached prompt prefixes.
func (v *View) Prefixes() *Prefixes { return v.prefixes }

// Accepts reports whether the engine takes new work.
func (v *View) Accepts() bool { return v.accepted }

// Views is an immutable set of engines. Each engine's latest view is replaced by
// one atomic store, because a copy of the whole set for each new view would cost
// more than the requests do.
type Views struct {
	byEngine map[string]*atomic.Pointer[View]
}

// Engine returns the latest view of an engine, or nil if the set has none.
func (v *Views) Engine(name string) *View {
	latest, ok := v.byEngine[name]
	if !ok {
		return nil
	}
	return latest.Load()
}

// Len returns the number of engines known.
func (v *Views) Len() int { return len(v.byEngine) }

// Viewer holds the latest views. Load takes no lock.
type Viewer struct {
	views atomic.Pointer[Views]
	mu    sync.Mutex // serialises writers
}

// New returns a viewer that knows no engine.
func New() *Viewer {
	v := &Viewer{}
	v.views.Store(&Views{})
	return v
}

// Load returns the engines that are known now.
func (v *Viewer) Load() *Views { return v.views.Load() }

// Update replaces the views of the given engines. The set is copied only for
// engines that it lacks.
func (v *Viewer) Update(views ...*View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.views.Load().byEngine
	var added []*View
	for _, view := range views {
		if latest, ok := known[view.engine]; ok {
			latest.Store(view)
			continue
		}
		added = append(added, view)
	}
	if len(added) > 0 {
		v.views.Store(&Views{byEngine: with(known, added)})
	}
}

func with(known map[string]*atomic.Pointer[View], added []*View) map[string]*atomic.Pointer[View] {
	next := make(map[string]*atomic.Pointer[View], len(known)+len(added))
	maps.Copy(next, known)
	for _, view := range added {
		latest := &atomic.Pointer[View]{}
		latest.Store(view)
		next[view.engine] = latest
	}
	return next
}

// Remove forgets engines.
func (v *Viewer) Remove(engines ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := maps.Clone(v.views.Load().byEngine)
	for _, e := range engines {
		delete(next, e)
	}
	v.views.Store(&Views{byEngine: next})
}
