package configurer

import "time"

// entryDocument is the settings file of an entry host on the users' platform.
type entryDocument struct {
	Node        entryNodeDocument     `json:"node"`
	Listen      entryListenDocument   `json:"listen"`
	DataCentres []dataCentreDocument  `json:"data_centres"`
	Seeds       []string              `json:"seeds"` // addresses of other hosts
	Store       entryStoreDocument    `json:"store"`
	Operator    entryOperatorDocument `json:"operator"`
	Lease       entryLeaseDocument    `json:"lease"`
	Repeats     entryRepeatDocument   `json:"repeats"`
	Quotas      entryQuotaDocument    `json:"quotas"`
	Stop        entryStopDocument     `json:"stop"`
	Limits      entryLimitsDocument   `json:"limits"`
	Engines     entryEngineDocument   `json:"engines"`
	Endpoints   entryEndpointDocument `json:"endpoints"`
	Streams     entryStreamDocument   `json:"streams"`
	Log         logDocument           `json:"log"`
}

// entryEngineDocument holds what is assumed of engines before their calls show how
// fast they are, and what is sent to them.
type entryEngineDocument struct {
	Urgency     bool     `json:"urgency"` // calls carry their priority to engines
	PromptToken duration `json:"prompt_token"`
	OutputToken duration `json:"output_token"`
	AdapterLoad duration `json:"adapter_load"`
}

type entryNodeDocument struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // IP address; identifies the host
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

type entryListenDocument struct {
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Directory string `json:"directory"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

type dataCentreDocument struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type entryStoreDocument struct {
	Address string `json:"address"`
}

type entryOperatorDocument struct {
	InForce duration `json:"in_force"` // of a change, after the store has acknowledged it
}

type entryLeaseDocument struct {
	Renew         duration `json:"renew"`
	Time          duration `json:"time"`
	Guard         duration `json:"guard"`
	TakeoverDelay duration `json:"turns"` // time within which two hosts must not send orders to one engine
}

type entryRepeatDocument struct {
	Ratio  float64  `json:"ratio"`
	Slack  float64  `json:"slack"`
	Window duration `json:"window"`
}

// entryQuotaDocument is the bound on the calls of a workspace that run in any window: what its
// quota allows in it, over as a share of that more, and slack.
type entryQuotaDocument struct {
	Window duration `json:"window"`
	Over   float64  `json:"over"`
	Slack  float64  `json:"slack"` // units
}

type entryEndpointDocument struct {
	ReportInterval duration `json:"report_interval"` // of endpoints to the store
	Adaptive       string   `json:"adaptive"`        // when limits of calls in flight follow the endpoints' answers
}

type entryStreamDocument struct {
	Lifetime duration `json:"lifetime"` // after it, no caller resumes a stream
}

type entryStopDocument struct {
	Grace duration `json:"grace"`
}

type entryLimitsDocument struct {
	MemoryMB    int64    `json:"memory_mb"`
	LinkMbps    float64  `json:"link_mbps"`
	BodyBytes   int64    `json:"body_bytes"`
	HeaderBytes int64    `json:"header_bytes"`
	MaxFiles    int64    `json:"max_fds"` // 0: the descriptor limit of the process
	BodyTimeout duration `json:"body_timeout"`
	BodyRate    int64    `json:"body_rate"` // bytes a second
	ReadTimeout duration `json:"read_timeout"`
	IdleTimeout duration `json:"idle_timeout"`
}

func defaultEntry() entryDocument {
	return entryDocument{
		Operator: entryOperatorDocument{InForce: duration(2500 * time.Millisecond)},
		Lease:    entryLeaseDocument{Renew: duration(6 * time.Second), Time: duration(12 * time.Second), Guard: duration(time.Second), TakeoverDelay: duration(3 * time.Second)},
		Repeats:  entryRepeatDocument{Ratio: 0.1, Slack: 20, Window: duration(10 * time.Second)},
		Quotas:   entryQuotaDocument{Window: duration(8 * time.Second), Over: 0.1, Slack: 11_000},
		Stop:     entryStopDocument{Grace: duration(8 * time.Second)},
		Limits: entryLimitsDocument{
			MemoryMB: 256, BodyBytes: 4 << 20, HeaderBytes: 64 << 10,
			BodyTimeout: duration(30 * time.Second), BodyRate: 64,
			ReadTimeout: duration(10 * time.Second), IdleTimeout: duration(time.Minute),
		},
		Engines: entryEngineDocument{
			PromptToken: duration(50 * time.Microsecond), OutputToken: duration(14 * time.Millisecond),
			AdapterLoad: duration(270 * time.Millisecond),
		},
		Endpoints: entryEndpointDocument{ReportInterval: duration(1200 * time.Millisecond), Adaptive: adaptiveNever},
		Streams:   entryStreamDocument{Lifetime: duration(2 * time.Minute)},
		Log:       logDocument{Level: "info"},
	}
}
