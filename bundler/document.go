package bundler

// Document is a bundle as operators write it, in JSON. NewSnapshot converts it
// to the form that requests use.
type Document struct {
	// Format is the version of the schema; 1 is the only one.
	Format int `json:"format"`
	// Version is the name that the operators give the bundle.
	Version string `json:"version"`
	// Regions lists the regions of the deployment with their data centres.
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

// AdapterDocument describes an adapter: the versions that are offered and the
// regions that offer them.
type AdapterDocument struct {
	Name     string   `json:"name"`
	Base     string   `json:"base"`
	Versions []string `json:"versions"`
	// Regions lists the regions that offer the adapter; empty means all
	// regions.
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
	// Idempotent allows the call to run more than once. The default is false.
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
	// Batch is the number of jobs that an engine runs in one batch.
	Batch int `json:"batch,omitempty"`
	// ChecksFencing is set if the endpoint rejects stale fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// WeightsDocument holds the weights of the cost terms of placement.
type WeightsDocument struct {
	LoadStall       float64 `json:"load_stall"`
	BatchEfficiency float64 `json:"batch_efficiency"`
	// CrossRegion is the cost of cross-region traffic, in milliseconds of load
	// stall per kilobyte.
	CrossRegion float64 `json:"cross_region"`
}

// LimitsDocument holds the limits of the whole deployment.
type LimitsDocument struct {
	// StoreLoadsPerSecond is the largest rate of loads from the weight store.
	StoreLoadsPerSecond float64 `json:"store_loads_per_second"`
	// StoreLoadsInFlight is how many concurrent loads the weight store serves
	// at full speed.
	StoreLoadsInFlight int `json:"store_loads_in_flight"`
	// RetryShare is the share of requests that may be retries, from 0 to 1.
	RetryShare float64 `json:"retry_share"`
}

// ServiceLevelDocument is one service level objective of the burn rate report.
type ServiceLevelDocument struct {
	Name string `json:"name"`
	// Measure is "first_token", "token_gap", "load_stall" or "success".
	Measure string `json:"measure"`
	// ThresholdMS is the largest good value in milliseconds; unused for success.
	ThresholdMS float64 `json:"threshold_ms,omitempty"`
	// Objective is the required share of good events, below 1.
	Objective float64 `json:"objective"`
}

// TrafficDocument splits the requests to an adapter that do not name a version.
type TrafficDocument struct {
	Adapter string          `json:"adapter"`
	Shares  []ShareDocument `json:"shares"`
}

// ShareDocument is the weight of one version in a traffic split.
type ShareDocument struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}
