package viewer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Residency is the loading state of an adapter version in an engine.
type Residency int

// Values of Residency.
const (
	Absent Residency = iota
	Loading
	Resident
)

// View is the state of one engine as last published by its owner. It is immutable.
type View struct {
	engine       string
	hash         uint64 // of the engine's name
	owner        string
	models       map[connector.Model]Residency
	hashes       []uint64 // of models, in any order
	slots        int
	batch        int
	running      int
	queued       int
	receivedAt   time.Time
	accepting    bool
	loadCapacity int
	evictionCost float64
	prefixes     *Prefixes
}

// Option sets an optional property of a View.
type Option func(*View)

// WithLoadCapacity sets how many more adapters the engine can load now, and the
// requests per second for the adapter that the next load would evict.
func WithLoadCapacity(loadCapacity int, evictionCost float64) Option {
	return func(v *View) { v.loadCapacity, v.evictionCost = loadCapacity, evictionCost }
}

// WithPrefixes adds the prompt prefixes that the engine has cached.
func WithPrefixes(p *Prefixes) Option {
	return func(v *View) { v.prefixes = p }
}

// Prefixes is an immutable set of hashes of prompt prefixes. A nil *Prefixes is an
// empty set.
type Prefixes struct {
	set  map[uint64]struct{}
	list []uint64
}

// NewPrefixes returns a set of hashes. The caller must not modify the slice
// afterwards.
func NewPrefixes(hashes []uint64) *Prefixes {
	p := &Prefixes{set: make(map[uint64]struct{}, len(hashes)), list: hashes}
	for _, h := range hashes {
		p.set[h] = struct{}{}
	}
	return p
}

// Has reports whether the set contains a hash.
func (p *Prefixes) Has(hash uint64) bool {
	if p == nil {
		return false
	}
	_, ok := p.set[hash]
	return ok
}

// Hashes returns the hashes in the set. The caller must not modify the slice.
func (p *Prefixes) Hashes() []uint64 {
	if p == nil {
		return nil
	}
	return p.list
}

// HashModel returns the hash of a model for ResidencyOf.
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

// NewView returns a view. The caller must not modify models afterwards. ReceivedAt
// is the time when this node received the state; accepting reports whether the
// engine accepts new requests.
func NewView(engine, owner string, models map[connector.Model]Residency, slots, batch, running, queued int, receivedAt time.Time, accepting bool, opts ...Option) *View {
	v := &View{
		engine:     engine,
		hash:       xxhash.Sum64String(engine),
		owner:      owner,
		models:     models,
		slots:      slots,
		batch:      batch,
		running:    running,
		queued:     queued,
		receivedAt: receivedAt,
		accepting:  accepting,
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

// Owner returns the name of the node that owns the engine, or "".
func (v *View) Owner() string { return v.owner }

// Residency returns the loading state of m in the engine.
func (v *View) Residency(m connector.Model) Residency { return v.models[m] }

// ResidencyOf is Residency for a model whose hash the caller has already computed.
// An engine has few slots, so scanning the hashes costs less than hashing the three
// strings of a map key.
func (v *View) ResidencyOf(hash uint64, m connector.Model) Residency {
	for _, h := range v.hashes {
		if h == hash {
			return v.models[m]
		}
	}
	return Absent
}

// Models returns the adapter versions that are loading or resident. The caller must
// not modify the map.
func (v *View) Models() map[connector.Model]Residency { return v.models }

// Slots returns how many adapters the engine can hold.
func (v *View) Slots() int { return v.slots }

// Batch returns the maximum number of jobs in a batch.
func (v *View) Batch() int { return v.batch }

// Running returns the number of running jobs.
func (v *View) Running() int { return v.running }

// Queued returns the number of jobs that wait at the owner.
func (v *View) Queued() int { return v.queued }

// ReceivedAt returns when the node received the view.
func (v *View) ReceivedAt() time.Time { return v.receivedAt }

// LoadCapacity returns how many more adapters the engine can load now, into free
// slots or by evicting unused adapters.
func (v *View) LoadCapacity() int { return v.loadCapacity }

// EvictionCost returns the requests per second for the adapter that the next load
// would evict. It is 0 while a slot is free.
func (v *View) EvictionCost() float64 { return v.evictionCost }

// Prefixes returns the cached prompt prefixes.
func (v *View) Prefixes() *Prefixes { return v.prefixes }

// Accepts reports whether the engine accepts new requests.
func (v *View) Accepts() bool { return v.accepting }

// Views is an immutable set of engines with their latest views. A new view of an
// engine replaces the old one with a single atomic store: copying the whole set for
// each new view would cost more than serving the requests.
type Views struct {
	byEngine map[string]*atomic.Pointer[View]
}

// Engine returns the latest view of an engine, or nil if the engine is not in the
// set.
func (v *Views) Engine(name string) *View {
	latest, ok := v.byEngine[name]
	if !ok {
		return nil
	}
	return latest.Load()
}

// Len returns the number of engines in the set.
func (v *Views) Len() int { return len(v.byEngine) }

// Viewer holds the latest views of all engines. Load takes no lock.
type Viewer struct {
	views atomic.Pointer[Views]
	mu    sync.Mutex // serialises writers
}

// New returns a viewer without engines.
func New() *Viewer {
	v := &Viewer{}
	v.views.Store(&Views{})
	return v
}

// Load returns the current set of engines.
func (v *Viewer) Load() *Views { return v.views.Load() }

// Update replaces the views of the given engines. The set is copied only if it lacks
// one of them.
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

// Remove removes engines from the set.
func (v *Viewer) Remove(engines ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := maps.Clone(v.views.Load().byEngine)
	for _, e := range engines {
		delete(next, e)
	}
	v.views.Store(&Views{byEngine: next})
}
