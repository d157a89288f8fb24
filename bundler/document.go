package bundler

// Document is a bundle as operators write it. It is a settings document filled
// by the JSON codec; NewSnapshot turns it into the form that requests read.
type Document struct {
	// Format is the version of the schema; 1 is the only one.
	Format int `json:"format"`
	// Version is the operators' name of the bundle.
	Version string `json:"version"`
	// Regions are the regions of the deployment with their data centres.
	Regions       []RegionDocument       `json:"regions"`
	Bases         []BaseDocument         `json:"bases"`
	Adapters      []AdapterDocument      `json:"adapters"`
	Services      []ServiceDocument      `json:"services"`
	Endpoints     []EndpointDocument     `json:"endpoints"`
	Weights       WeightsDocument        `json:"weights"`
	Limits        LimitsDocument         `json:"limits"`
	ServiceLevels []ServiceLevelDocument `json:"service_levels,omitempty"`
	Traffic       []TrafficDocument      `json:"traffic,omitempty"`
}

// RegionDocument names a region and its data centres.
type RegionDocument struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// BaseDocument names a base model.
type BaseDocument struct {
	Name string `json:"name"`
}

// AdapterDocument offers versions of an adapter in regions.
type AdapterDocument struct {
	Name     string   `json:"name"`
	Base     string   `json:"base"`
	Versions []string `json:"versions"`
	// Regions lists where the adapter is offered; empty means everywhere.
	Regions []string `json:"regions,omitempty"`
}

// ServiceDocument lists the calls of a plain service.
type ServiceDocument struct {
	Name  string         `json:"name"`
	Calls []CallDocument `json:"calls"`
}

// CallDocument is one call of a service. A path segment in braces matches any
// segment.
type CallDocument struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent says that the call may run more than once. A call is not
	// idempotent unless the bundle says so.
	Idempotent bool `json:"idempotent,omitempty"`
}

// EndpointDocument is one engine or one instance of a plain service.
type EndpointDocument struct {
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind       string `json:"kind"`
	Base       string `json:"base,omitempty"`
	Service    string `json:"service,omitempty"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Slots is the number of adapters that an engine holds at once.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of jobs that run together.
	Batch int `json:"batch,omitempty"`
	// ChecksFencing says that the endpoint refuses stale fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// WeightsDocument balances the measures against each other.
type WeightsDocument struct {
	LoadStall       float64 `json:"load_stall"`
	BatchEfficiency float64 `json:"batch_efficiency"`
	// CrossRegion is the cost of one byte over a region boundary, in
	// milliseconds of load stall per kilobyte.
	CrossRegion float64 `json:"cross_region"`
}

// LimitsDocument bounds what the deployment takes on.
type LimitsDocument struct {
	// StoreLoadsPerSecond is the rate of the weight store.
	StoreLoadsPerSecond float64 `json:"store_loads_per_second"`
	// StoreLoadsInFlight is how many loads run at full speed.
	StoreLoadsInFlight int `json:"store_loads_in_flight"`
	// RetryShare is the share of requests that may be retries, from 0 to 1.
	RetryShare float64 `json:"retry_share"`
}

// ServiceLevelDocument is one objective for the burn report.
type ServiceLevelDocument struct {
	Name string `json:"name"`
	// Measure is "first_token", "token_gap", "load_stall" or "success".
	Measure string `json:"measure"`
	// ThresholdMS is the largest good value in milliseconds; unused for success.
	ThresholdMS float64 `json:"threshold_ms,omitempty"`
	// Objective is the share of good events, below 1.
	Objective float64 `json:"objective"`
}

// TrafficDocument splits requests that name no version.
type TrafficDocument struct {
	Adapter string          `json:"adapter"`
	Shares  []ShareDocument `json:"shares"`
}

// ShareDocument is the weight of one version.
type ShareDocument struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}
