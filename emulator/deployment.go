package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
)

// Names of the deployments.
const (
	Clearing = "clearing"
	Tender   = "tender"
)

// plan describes the size and the contents of a deployment.
type plan struct {
	regions          []string
	enginePrefix     string
	enginesPerRegion int
	service          string
	calls            []bundler.CallDocument
	base             string
	adapterPrefix    string
	loadRate         float64
	callerLatency    time.Duration
	weights          bundler.WeightsDocument
}

func planOf(name string) (plan, error) {
	switch name {
	case Clearing:
		return plan{
			regions:          []string{"lj", "mb", "kp"},
			enginePrefix:     "reading",
			enginesPerRegion: 3,
			service:          "ledger",
			calls: []bundler.CallDocument{
				{Method: http.MethodPost, Path: "/postings"},
				{Method: http.MethodGet, Path: "/balances/{account}", Idempotent: true},
			},
			base:          "cheque-base",
			adapterPrefix: "bank",
			loadRate:      2,
			callerLatency: 3 * time.Millisecond,
			weights:       bundler.WeightsDocument{LoadStall: 1, BatchEfficiency: 0.25, CrossRegion: 0.1},
		}, nil
	case Tender:
		return plan{
			regions:          []string{"superior", "erie", "ontario"},
			enginePrefix:     "drafting",
			enginesPerRegion: 4,
			service:          "orders",
			calls: []bundler.CallDocument{
				{Method: http.MethodPost, Path: "/orders"},
				{Method: http.MethodGet, Path: "/stock/{item}", Idempotent: true},
			},
			base:          "stone-base",
			adapterPrefix: "grower",
			loadRate:      3,
			callerLatency: time.Millisecond,
			weights:       bundler.WeightsDocument{LoadStall: 0.25, BatchEfficiency: 1, CrossRegion: 0.1},
		}, nil
	default:
		return plan{}, fmt.Errorf("deployment %q does not exist, only %q and %q", name, Clearing, Tender)
	}
}

// Latencies and lags of the deployments.
const (
	regionLatency   = 20 * time.Millisecond // one way
	reportLag       = 500 * time.Millisecond
	hostListLag     = 2 * time.Second
	cacheEventLag   = time.Second
	cacheEventGaps  = 0.05
	serviceTime     = 20 * time.Millisecond
	readsPerSecond  = 2000
	writesPerSecond = 500
	defaultAdapters = 3000
	// Every third engine ignores fencing tokens, because not all engines of the
	// deployments check them.
	nonFencingInterval = 3
	// Every tenth adapter has a second version.
	twoVersionInterval = 10
)

type deploymentSettings struct {
	adapters int
	seed     uint64
	engines  []Option
	services []Option
	platform []Option
}

// DeploymentOption sets a property of a deployment.
type DeploymentOption func(*deploymentSettings)

// WithAdapters sets how many adapters the bundle offers.
func WithAdapters(n int) DeploymentOption { return func(s *deploymentSettings) { s.adapters = n } }

// WithDeploymentSeed fixes the random choices of all fakes.
func WithDeploymentSeed(seed uint64) DeploymentOption {
	return func(s *deploymentSettings) { s.seed = seed }
}

// WithEngines adds options to each engine. Slots and batch are set with
// WithSlots and WithBatch.
func WithEngines(opts ...Option) DeploymentOption {
	return func(s *deploymentSettings) { s.engines = append(s.engines, opts...) }
}

// WithServices adds options to each service.
func WithServices(opts ...Option) DeploymentOption {
	return func(s *deploymentSettings) { s.services = append(s.services, opts...) }
}

// WithPlatform adds options to the table, the object store, the host list and
// the weight store.
func WithPlatform(opts ...Option) DeploymentOption {
	return func(s *deploymentSettings) { s.platform = append(s.platform, opts...) }
}

// Endpoint is one engine or service of a deployment.
type Endpoint struct {
	name    string
	region  string
	fencing bool
	engine  *Engine
	service *Service
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Region returns the endpoint's region.
func (e *Endpoint) Region() string { return e.region }

// DataCentre returns the endpoint's data centre.
func (e *Endpoint) DataCentre() string { return DataCentre(e.region) }

// Engine returns the engine, or nil for a service.
func (e *Endpoint) Engine() *Engine { return e.engine }

// Service returns the service, or nil for an engine.
func (e *Endpoint) Service() *Service { return e.service }

// DataCentre returns the only data centre of a region.
func DataCentre(region string) string { return region + "1" }

// Deployment is a set of fakes with the size of a user's deployment.
type Deployment struct {
	fakeSet
	name     string
	plan     plan
	settings *settings // of the engines, for the bundle
	models   []connector.Model
}

// NewDeployment returns the fakes of the deployment with the name Clearing or
// Tender.
func NewDeployment(name string, opts ...DeploymentOption) (*Deployment, error) {
	p, err := planOf(name)
	if err != nil {
		return nil, err
	}
	s := &deploymentSettings{adapters: defaultAdapters}
	for _, opt := range opts {
		opt(s)
	}
	platform := append([]Option{
		WithSeed(s.seed), WithRates(readsPerSecond, writesPerSecond), WithLoadRate(p.loadRate), WithLag(hostListLag),
	}, s.platform...)
	d := &Deployment{
		name:     name,
		plan:     p,
		settings: newSettings(s.engines),
		models:   p.models(s.adapters),
		fakeSet: fakeSet{
			table:   NewTable(platform...),
			objects: NewObjects(platform...),
			hosts:   NewHostList(platform...),
			weights: NewWeightStore(platform...),
		},
	}
	d.addEngines(s)
	d.addServices(s)
	return d, nil
}

func (p plan) models(adapters int) []connector.Model {
	models := make([]connector.Model, 0, adapters)
	for i := range adapters {
		for _, v := range versionsOf(i) {
			models = append(models, connector.NewModel(p.base, p.adapter(i), v))
		}
	}
	return models
}

func (p plan) adapter(i int) string { return fmt.Sprintf("%s-%05d", p.adapterPrefix, i) }

func versionsOf(i int) []string {
	if i%twoVersionInterval == 0 {
		return []string{"v1", "v2"}
	}
	return []string{"v1"}
}

func (d *Deployment) addEngines(s *deploymentSettings) {
	for _, region := range d.plan.regions {
		for i := range d.plan.enginesPerRegion {
			n := len(d.endpoints)
			name := fmt.Sprintf("%s-%s-%d", d.plan.enginePrefix, region, i+1)
			opts := []Option{
				WithName(name), WithSeed(s.seed + uint64(n) + 1), WithBase(d.plan.base), WithLag(reportLag),
				WithCacheEvents(cacheEventLag, cacheEventGaps),
			}
			fencing := n%nonFencingInterval != nonFencingInterval-1
			if fencing {
				opts = append(opts, WithFencing())
			}
			engine := NewEngine(d.weights, append(opts, s.engines...)...)
			d.endpoints = append(d.endpoints, &Endpoint{name: name, region: region, fencing: fencing, engine: engine})
		}
	}
}

func (d *Deployment) addServices(s *deploymentSettings) {
	for _, region := range d.plan.regions {
		name := fmt.Sprintf("%s-%s-1", d.plan.service, region)
		opts := append([]Option{WithSeed(s.seed + uint64(len(d.endpoints)) + 1), WithDuration(serviceTime)}, s.services...)
		service := NewService(opts...)
		d.endpoints = append(d.endpoints, &Endpoint{name: name, region: region, fencing: service.fencing, service: service})
	}
}

// Close closes all engines.
func (d *Deployment) Close() { d.closeEngines() }

// Name returns the deployment's name.
func (d *Deployment) Name() string { return d.name }

// Regions returns the regions.
func (d *Deployment) Regions() []string { return slices.Clone(d.plan.regions) }

// Models returns all adapter versions that the bundle offers; the slice must not
// be changed.
func (d *Deployment) Models() []connector.Model { return d.models }

// ServiceName returns the name of the plain service.
func (d *Deployment) ServiceName() string { return d.plan.service }

// CallerLatency returns the one-way latency between callers and their nearest
// data centre.
func (d *Deployment) CallerLatency() time.Duration { return d.plan.callerLatency }

// Delay returns the delay of the link between two regions. Each region has one
// data centre, inside which there is no delay.
func (d *Deployment) Delay(from, to string) Delay {
	if from == to {
		return Delay{}
	}
	return NewDelay(regionLatency)
}

// Bundle returns the bundle that describes the deployment. The function address
// returns the address of an endpoint by its name; if it is nil, the bundle has
// placeholder addresses.
func (d *Deployment) Bundle(version string, address func(endpoint string) string) *bundler.Document {
	if address == nil {
		address = func(endpoint string) string { return endpoint + ":80" }
	}
	doc := &bundler.Document{
		Format:   1,
		Version:  version,
		Bases:    []bundler.BaseDocument{{Name: d.plan.base}},
		Services: []bundler.ServiceDocument{{Name: d.plan.service, Calls: d.plan.calls}},
		Weights:  d.plan.weights,
		Limits: bundler.LimitsDocument{
			StoreLoadsPerSecond: d.plan.loadRate,
			StoreLoadsInFlight:  defaultLoadsFullSpeed,
			RetryShare:          0.2,
		},
		ServiceLevels: []bundler.ServiceLevelDocument{
			{Name: "first-token", Measure: "first_token", ThresholdMS: 900, Objective: 0.95},
			{Name: "token-gap", Measure: "token_gap", ThresholdMS: 53, Objective: 0.95},
		},
	}
	for _, r := range d.plan.regions {
		doc.Regions = append(doc.Regions, bundler.RegionDocument{Name: r, DataCentres: []string{DataCentre(r)}})
	}
	for _, m := range d.models {
		last := len(doc.Adapters) - 1
		if last >= 0 && doc.Adapters[last].Name == m.Adapter() {
			doc.Adapters[last].Versions = append(doc.Adapters[last].Versions, m.Version())
			continue
		}
		doc.Adapters = append(doc.Adapters, bundler.AdapterDocument{
			Name: m.Adapter(), Base: m.Base(), Versions: []string{m.Version()},
		})
	}
	for _, e := range d.endpoints {
		doc.Endpoints = append(doc.Endpoints, d.endpointDocument(e, address(e.name)))
	}
	return doc
}

func (d *Deployment) endpointDocument(e *Endpoint, address string) bundler.EndpointDocument {
	doc := bundler.EndpointDocument{
		Name:          e.name,
		Kind:          bundler.KindService,
		Service:       d.plan.service,
		Address:       address,
		Region:        e.region,
		DataCentre:    e.DataCentre(),
		ChecksFencing: e.fencing,
	}
	if e.engine != nil {
		doc.Kind = bundler.KindEngine
		doc.Service = ""
		doc.Base = d.plan.base
		doc.Slots = d.settings.slots
		doc.Batch = d.settings.batch
	}
	return doc
}
