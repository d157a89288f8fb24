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

// commonEndpoint holds the fields common to all endpoints.
type commonEndpoint struct {
	name          string
	address       string
	region        string
	dataCentre    string
	checksFencing bool
}

func (e *commonEndpoint) Name() string        { return e.name }
func (e *commonEndpoint) Address() string     { return e.address }
func (e *commonEndpoint) Region() string      { return e.region }
func (e *commonEndpoint) DataCentre() string  { return e.dataCentre }
func (e *commonEndpoint) ChecksFencing() bool { return e.checksFencing }
func (e *commonEndpoint) endpoint()           {}

// EngineEndpoint is a model engine.
type EngineEndpoint struct {
	commonEndpoint
	base  string
	slots int
	batch int
}

// Base returns the base model that the engine runs.
func (e *EngineEndpoint) Base() string { return e.base }

// Slots returns how many adapters the engine holds at once.
func (e *EngineEndpoint) Slots() int { return e.slots }

// Batch returns how many jobs the engine runs in one batch.
func (e *EngineEndpoint) Batch() int { return e.batch }

// ServiceEndpoint is an instance of a plain service.
type ServiceEndpoint struct {
	commonEndpoint
	service string
}

// Service returns the name of the service.
func (e *ServiceEndpoint) Service() string { return e.service }

// Adapter is an adapter that the bundle offers.
type Adapter struct {
	name        string
	base        string
	versions    []string
	regions     []string
	shares      []share
	totalWeight int
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

// OfferedIn reports whether the bundle offers the adapter in the region.
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

// PickVersion returns the version for a request that does not name one. The
// hash of the request selects it according to the weights of the traffic split.
// It returns false if the bundle has no traffic split for the adapter.
func (a *Adapter) PickVersion(hash uint64) (string, bool) {
	if a.totalWeight == 0 {
		return "", false
	}
	n := int(hash % uint64(a.totalWeight))
	for _, s := range a.shares {
		if n < s.weight {
			return s.version, true
		}
		n -= s.weight
	}
	return "", false
}

// ServiceCall is one call that a plain service offers.
type ServiceCall struct {
	method     string
	segments   []string
	idempotent bool
}

// Idempotent reports whether the call may run more than once.
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

// Call returns the call that matches a method and path.
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

// Weights holds the weights of the cost terms of placement.
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

// Limits holds the limits of the whole deployment.
type Limits struct {
	storeRate     float64
	storeInFlight int
	retryShare    float64
}

// StoreRate returns the largest rate of loads from the weight store, per
// second.
func (l Limits) StoreRate() float64 { return l.storeRate }

// StoreInFlight returns how many concurrent loads the weight store serves at
// full speed.
func (l Limits) StoreInFlight() int { return l.storeInFlight }

// RetryShare returns the share of requests that may be retries.
func (l Limits) RetryShare() float64 { return l.retryShare }

// Snapshot is a bundle in the form that requests use. It is immutable, so that
// any number of requests may use it without a lock. It stores its adapters by
// part, so that successive snapshots share the parts that did not change.
type Snapshot struct {
	*head
	epoch        uint64
	manifest     Manifest // empty if the snapshot was built from a document
	parts        [AdapterParts]*adapterIndex
	adapterCount int
}

// head is the decoded head of a bundle.
type head struct {
	version   string
	services  map[string]*Service
	engines   map[string][]*EngineEndpoint
	endpoints map[string]Endpoint
	weights   Weights
	limits    Limits
	levels    []ServiceLevel
	regions   []Region
	declared  declaredNames
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

// ServiceLevel is one service level objective of the burn rate report.
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

// Objective returns the required share of good events.
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

// Rebuild builds the snapshot of a bundle from its parts. It shares unchanged
// parts with the previous snapshot, which may be nil. It checks every part that
// it decodes, and all references if the head changed. This is equivalent to
// checking the whole document, because a given name always belongs to the same
// part.
func Rebuild(previous *Snapshot, epoch uint64, m Manifest, lookup Lookup) (*Snapshot, error) {
	if previous != nil && len(previous.manifest.hashes) == 0 {
		previous = nil // built from a document, so the hashes of its parts are unknown
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

// hasPart reports whether part i of a manifest is the same in the snapshot,
// which may be nil.
func (s *Snapshot) hasPart(i int, m Manifest) bool {
	return s != nil && s.manifest.Hash(i) == m.Hash(i)
}

func (s *Snapshot) rebuildPart(c *checker, previous *Snapshot, i int, sameHead bool, lookup Lookup) error {
	if previous.hasPart(i, s.manifest) {
		index := previous.parts[i]
		if !sameHead {
			index.checkReferences(c, s.declared)
		}
		s.setPart(i, index)
		return nil
	}
	p, err := lookupPart(s.manifest, i, lookup)
	if err != nil {
		return err
	}
	c.adapters(s.declared, p.Adapters)
	c.traffic(p.Adapters, p.Traffic)
	s.setPart(i, newAdapterIndex(p))
	return nil
}

func (s *Snapshot) setPart(i int, index *adapterIndex) {
	s.parts[i] = index
	s.adapterCount += len(index.byName)
}

func newHead(doc *Document) *head {
	h := &head{
		version:   doc.Version,
		services:  make(map[string]*Service, len(doc.Services)),
		engines:   make(map[string][]*EngineEndpoint, len(doc.Bases)),
		endpoints: make(map[string]Endpoint, len(doc.Endpoints)),
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
		declared: declaredNames{bases: set{}, regions: set{}},
	}
	for _, b := range doc.Bases {
		h.declared.bases[b.Name] = true
	}
	for _, r := range doc.Regions {
		h.declared.regions[r.Name] = true
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
			a.totalWeight += sh.Weight
		}
	}
	return index
}

func (x *adapterIndex) checkReferences(c *checker, declared declaredNames) {
	for _, a := range x.byName {
		c.adapterReferences("adapter "+a.name, declared, a.base, a.regions)
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
		p := commonEndpoint{
			name:          d.Name,
			address:       d.Address,
			region:        d.Region,
			dataCentre:    d.DataCentre,
			checksFencing: d.ChecksFencing,
		}
		if d.Kind == KindEngine {
			e := &EngineEndpoint{commonEndpoint: p, base: d.Base, slots: d.Slots, batch: d.Batch}
			h.engines[d.Base] = append(h.engines[d.Base], e)
			h.endpoints[d.Name] = e
			continue
		}
		e := &ServiceEndpoint{commonEndpoint: p, service: d.Service}
		if svc, ok := h.services[d.Service]; ok {
			svc.endpoints = append(svc.endpoints, e)
		}
		h.endpoints[d.Name] = e
	}
}

// Values of the field kind of an endpoint.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Epoch returns the epoch at which the bundle was accepted.
func (s *Snapshot) Epoch() uint64 { return s.epoch }

// Manifest returns the manifest that the snapshot was rebuilt from. It is empty
// if the snapshot was built from a document.
func (s *Snapshot) Manifest() Manifest { return s.manifest }

// Regions returns the regions of the deployment; the slice must not be changed.
func (s *Snapshot) Regions() []Region { return s.regions }

// ServiceLevels returns the service level objectives; the slice must not be
// changed.
func (s *Snapshot) ServiceLevels() []ServiceLevel { return s.levels }

// AllAdapters iterates over all adapters, in no particular order.
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

// Version returns the version of the bundle, a name chosen by the operators.
func (s *Snapshot) Version() string { return s.version }

// Adapter returns an adapter by name.
func (s *Snapshot) Adapter(name string) (*Adapter, bool) {
	a, ok := s.parts[partOf(name)].byName[name]
	return a, ok
}

// AdapterCount returns how many adapters the bundle offers.
func (s *Snapshot) AdapterCount() int { return s.adapterCount }

// Service returns a plain service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Engines returns the engines that run a base model; the slice must not be
// changed.
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
	e, ok := s.endpoints[name]
	return e, ok
}

// Weights returns the weights of the cost terms of placement.
func (s *Snapshot) Weights() Weights { return s.weights }

// Limits returns the deployment's limits.
func (s *Snapshot) Limits() Limits { return s.limits }
