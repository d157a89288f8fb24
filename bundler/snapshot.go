package bundler

import (
	"iter"
	"strings"
	"time"
)

// Endpoint is an engine or an instance of a plain service.
type Endpoint interface {
	Name() string
	Address() string
	Region() string
	DataCentre() string
	ChecksFencing() bool
	endpoint()
}

// place is what all endpoints share.
type place struct {
	name          string
	address       string
	region        string
	dataCentre    string
	checksFencing bool
}

func (p *place) Name() string        { return p.name }
func (p *place) Address() string     { return p.address }
func (p *place) Region() string      { return p.region }
func (p *place) DataCentre() string  { return p.dataCentre }
func (p *place) ChecksFencing() bool { return p.checksFencing }
func (p *place) endpoint()           {}

// EngineEndpoint is a model engine.
type EngineEndpoint struct {
	place
	base  string
	slots int
	batch int
}

// Base returns the base model that the engine runs.
func (e *EngineEndpoint) Base() string { return e.base }

// Slots returns how many adapters the engine holds.
func (e *EngineEndpoint) Slots() int { return e.slots }

// Batch returns how many jobs run together.
func (e *EngineEndpoint) Batch() int { return e.batch }

// ServiceEndpoint is an instance of a plain service.
type ServiceEndpoint struct {
	place
	service string
}

// Service returns the name of the service.
func (e *ServiceEndpoint) Service() string { return e.service }

// Adapter is an adapter as the bundle offers it.
type Adapter struct {
	name     string
	base     string
	versions []string
	regions  []string
	shares   []share
	total    int
}

type share struct {
	version string
	weight  int
}

// Name returns the adapter's name.
func (a *Adapter) Name() string { return a.name }

// Versions returns the offered versions; the slice must not be changed.
func (a *Adapter) Versions() []string { return a.versions }

// Base returns the base model.
func (a *Adapter) Base() string { return a.base }

// Offers reports whether the bundle offers the version.
func (a *Adapter) Offers(version string) bool {
	for _, v := range a.versions {
		if v == version {
			return true
		}
	}
	return false
}

// OfferedIn reports whether the adapter may run in the region.
func (a *Adapter) OfferedIn(region string) bool {
	if len(a.regions) == 0 {
		return true
	}
	for _, r := range a.regions {
		if r == region {
			return true
		}
	}
	return false
}

// PickVersion returns the version for a request that names none, chosen by the
// request's hash, and false if the bundle has no traffic shares for the adapter.
func (a *Adapter) PickVersion(hash uint64) (string, bool) {
	if a.total == 0 {
		return "", false
	}
	n := int(hash % uint64(a.total))
	for _, s := range a.shares {
		if n < s.weight {
			return s.version, true
		}
		n -= s.weight
	}
	return "", false
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	method     string
	segments   []string
	idempotent bool
}

// Idempotent reports whether the call may be repeated.
func (c *ServiceCall) Idempotent() bool { return c.idempotent }

func (c *ServiceCall) matches(method string, segments []string) bool {
	if c.method != method || len(c.segments) != len(segments) {
		return false
	}
	for i, s := range c.segments {
		if strings.HasPrefix(s, "{") {
			continue
		}
		if s != segments[i] {
			return false
		}
	}
	return true
}

// Service is a plain service.
type Service struct {
	name      string
	calls     []*ServiceCall
	endpoints []*ServiceEndpoint
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Endpoints returns the service's instances; the slice must not be changed.
func (s *Service) Endpoints() []*ServiceEndpoint { return s.endpoints }

// Call returns the call that a method and path stand for.
func (s *Service) Call(method, path string) (*ServiceCall, bool) {
	path, _, _ = strings.Cut(path, "?")
	segments := splitPath(path)
	for _, c := range s.calls {
		if c.matches(method, segments) {
			return c, true
		}
	}
	return nil, false
}

func splitPath(path string) []string {
	return strings.Split(strings.Trim(path, "/"), "/")
}

// Weights balances the measures against each other.
type Weights struct {
	loadStall       float64
	batchEfficiency float64
	crossRegion     float64
}

// LoadStall returns the weight of load stalls.
func (w Weights) LoadStall() float64 { return w.loadStall }

// BatchEfficiency returns the weight of batch efficiency.
func (w Weights) BatchEfficiency() float64 { return w.batchEfficiency }

// CrossRegion returns the cost of cross-region traffic in milliseconds of load
// stall per kilobyte.
func (w Weights) CrossRegion() float64 { return w.crossRegion }

// Limits bounds what the deployment takes on.
type Limits struct {
	storeRate     float64
	storeInFlight int
	retryShare    float64
}

// StoreRate returns the weight store's loads per second.
func (l Limits) StoreRate() float64 { return l.storeRate }

// StoreInFlight returns how many loads run at full speed.
func (l Limits) StoreInFlight() int { return l.storeInFlight }

// RetryShare returns the share of requests that may be retries.
func (l Limits) RetryShare() float64 { return l.retryShare }

// Snapshot is a bundle in the form that requests read. It never changes, so that
// any number of requests may hold it without a lock. Its adapters are held by
// part, so that successive snapshots share the parts that did not change.
type Snapshot struct {
	*head
	epoch    uint64
	manifest Manifest // without hashes if the snapshot was built from a document
	parts    [AdapterParts]*adapterIndex
	adapters int
}

// head is what the head part states.
type head struct {
	version  string
	services map[string]*Service
	engines  map[string][]*EngineEndpoint
	all      map[string]Endpoint
	weights  Weights
	limits   Limits
	levels   []ServiceLevel
	regions  []Region
	names    heads
}

// adapterIndex holds the adapters of one part.
type adapterIndex struct {
	byName map[string]*Adapter
}

// Region is a region of the deployment.
type Region struct {
	name        string
	dataCentres []string
}

// Name returns the region's name.
func (r Region) Name() string { return r.name }

// DataCentres returns the names of its data centres; the slice must not be
// changed.
func (r Region) DataCentres() []string { return r.dataCentres }

// ServiceLevel is one objective for the burn report.
type ServiceLevel struct {
	name      string
	measure   string
	threshold time.Duration
	objective float64
}

// Name returns the name of the objective.
func (l ServiceLevel) Name() string { return l.name }

// Measure returns one of the Measure constants.
func (l ServiceLevel) Measure() string { return l.measure }

// Threshold returns the largest good value; zero for MeasureSuccess.
func (l ServiceLevel) Threshold() time.Duration { return l.threshold }

// Objective returns the share of good events.
func (l ServiceLevel) Objective() float64 { return l.objective }

// NewSnapshot builds the snapshot of a checked document at an epoch.
func NewSnapshot(epoch uint64, doc *Document) *Snapshot {
	s := &Snapshot{epoch: epoch, head: newHead(doc)}
	parts := partition(doc)
	for i := range parts {
		s.setPart(i, newAdapterIndex(&parts[i]))
	}
	return s
}

// Rebuild builds the snapshot of a bundle from its parts, and shares with an
// earlier snapshot, which may be nil, the parts that are the same. It checks
// every part that it decodes, and all references if the head changed; the
// result is the same as that of a check of the whole document, because a name
// always falls in the same part.
func Rebuild(previous *Snapshot, epoch uint64, m Manifest, lookup Lookup) (*Snapshot, error) {
	if previous != nil && len(previous.manifest.hashes) == 0 {
		previous = nil // built from a document, so its parts have no hashes
	}
	s := &Snapshot{epoch: epoch, manifest: m}
	c := &checker{}
	sameHead := previous.hasPart(headPart, m)
	if sameHead {
		s.head = previous.head
	} else {
		doc, err := lookupHead(m, lookup)
		if err != nil {
			return nil, err
		}
		c.head(doc)
		s.head = newHead(doc)
	}
	for i := range AdapterParts {
		if err := s.rebuildPart(c, previous, i, sameHead, lookup); err != nil {
			return nil, err
		}
	}
	if len(c.faults) > 0 {
		return nil, &ParseError{faults: c.faults}
	}
	return s, nil
}

// hasPart reports whether part i of a manifest is that of the snapshot, which may
// be nil.
func (s *Snapshot) hasPart(i int, m Manifest) bool {
	return s != nil && s.manifest.Hash(i) == m.Hash(i)
}

func (s *Snapshot) rebuildPart(c *checker, previous *Snapshot, i int, sameHead bool, lookup Lookup) error {
	if previous.hasPart(i, s.manifest) {
		index := previous.parts[i]
		if !sameHead {
			index.checkReferences(c, s.names)
		}
		s.setPart(i, index)
		return nil
	}
	p, err := lookupPart(s.manifest, i, lookup)
	if err != nil {
		return err
	}
	c.adapters(s.names, p.Adapters)
	c.traffic(p.Adapters, p.Traffic)
	s.setPart(i, newAdapterIndex(p))
	return nil
}

func (s *Snapshot) setPart(i int, index *adapterIndex) {
	s.parts[i] = index
	s.adapters += len(index.byName)
}

func newHead(doc *Document) *head {
	h := &head{
		version:  doc.Version,
		services: make(map[string]*Service, len(doc.Services)),
		engines:  make(map[string][]*EngineEndpoint, len(doc.Bases)),
		all:      make(map[string]Endpoint, len(doc.Endpoints)),
		weights: Weights{
			loadStall:       doc.Weights.LoadStall,
			batchEfficiency: doc.Weights.BatchEfficiency,
			crossRegion:     doc.Weights.CrossRegion,
		},
		limits: Limits{
			storeRate:     doc.Limits.StoreLoadsPerSecond,
			storeInFlight: doc.Limits.StoreLoadsInFlight,
			retryShare:    doc.Limits.RetryShare,
		},
		names: heads{bases: set{}, regions: set{}},
	}
	for _, b := range doc.Bases {
		h.names.bases[b.Name] = true
	}
	for _, r := range doc.Regions {
		h.names.regions[r.Name] = true
		h.regions = append(h.regions, Region{name: r.Name, dataCentres: r.DataCentres})
	}
	for _, l := range doc.ServiceLevels {
		h.levels = append(h.levels, ServiceLevel{
			name:      l.Name,
			measure:   l.Measure,
			threshold: time.Duration(l.ThresholdMS * float64(time.Millisecond)),
			objective: l.Objective,
		})
	}
	h.addServices(doc)
	h.addEndpoints(doc)
	return h
}

func newAdapterIndex(p *adapterPart) *adapterIndex {
	index := &adapterIndex{byName: make(map[string]*Adapter, len(p.Adapters))}
	for _, a := range p.Adapters {
		index.byName[a.Name] = &Adapter{name: a.Name, base: a.Base, versions: a.Versions, regions: a.Regions}
	}
	for _, t := range p.Traffic {
		a, ok := index.byName[t.Adapter]
		if !ok {
			continue
		}
		for _, sh := range t.Shares {
			a.shares = append(a.shares, share{version: sh.Version, weight: sh.Weight})
			a.total += sh.Weight
		}
	}
	return index
}

func (x *adapterIndex) checkReferences(c *checker, names heads) {
	for _, a := range x.byName {
		c.references("adapter "+a.name, names, a.base, a.regions)
	}
}

func (h *head) addServices(doc *Document) {
	for _, d := range doc.Services {
		svc := &Service{name: d.Name}
		for _, c := range d.Calls {
			svc.calls = append(svc.calls, &ServiceCall{
				method:     c.Method,
				segments:   splitPath(c.Path),
				idempotent: c.Idempotent,
			})
		}
		h.services[d.Name] = svc
	}
}

func (h *head) addEndpoints(doc *Document) {
	for _, d := range doc.Endpoints {
		p := place{
			name:          d.Name,
			address:       d.Address,
			region:        d.Region,
			dataCentre:    d.DataCentre,
			checksFencing: d.ChecksFencing,
		}
		if d.Kind == KindEngine {
			e := &EngineEndpoint{place: p, base: d.Base, slots: d.Slots, batch: d.Batch}
			h.engines[d.Base] = append(h.engines[d.Base], e)
			h.all[d.Name] = e
			continue
		}
		e := &ServiceEndpoint{place: p, service: d.Service}
		if svc, ok := h.services[d.Service]; ok {
			svc.endpoints = append(svc.endpoints, e)
		}
		h.all[d.Name] = e
	}
}

// Kinds of endpoints in a document.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Epoch returns the epoch at which the bundle was accepted.
func (s *Snapshot) Epoch() uint64 { return s.epoch }

// Manifest returns the manifest that the snapshot was rebuilt from; it has no
// hashes if the snapshot was built from a document.
func (s *Snapshot) Manifest() Manifest { return s.manifest }

// Regions returns the regions of the deployment; the slice must not be changed.
func (s *Snapshot) Regions() []Region { return s.regions }

// ServiceLevels returns the objectives; the slice must not be changed.
func (s *Snapshot) ServiceLevels() []ServiceLevel { return s.levels }

// AllAdapters returns every adapter, in no particular order.
func (s *Snapshot) AllAdapters() iter.Seq[*Adapter] {
	return func(yield func(*Adapter) bool) {
		for _, p := range s.parts {
			for _, a := range p.byName {
				if !yield(a) {
					return
				}
			}
		}
	}
}

// Version returns the operators' name of the bundle.
func (s *Snapshot) Version() string { return s.version }

// Adapter returns an adapter by name.
func (s *Snapshot) Adapter(name string) (*Adapter, bool) {
	a, ok := s.parts[partOf(name)].byName[name]
	return a, ok
}

// AdapterCount returns how many adapters the bundle offers.
func (s *Snapshot) AdapterCount() int { return s.adapters }

// Service returns a plain service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Engines returns the engines of a base model; the slice must not be changed.
func (s *Snapshot) Engines(base string) []*EngineEndpoint { return s.engines[base] }

// EnginesIn returns the engines of a data centre, in the bundle's order.
func (s *Snapshot) EnginesIn(dataCentre string) []*EngineEndpoint {
	var in []*EngineEndpoint
	for _, engines := range s.engines {
		for _, e := range engines {
			if e.dataCentre == dataCentre {
				in = append(in, e)
			}
		}
	}
	return in
}

// Endpoint returns an endpoint by name.
func (s *Snapshot) Endpoint(name string) (Endpoint, bool) {
	e, ok := s.all[name]
	return e, ok
}

// Weights returns the weights of the measures.
func (s *Snapshot) Weights() Weights { return s.weights }

// Limits returns the deployment's limits.
func (s *Snapshot) Limits() Limits { return s.limits }
