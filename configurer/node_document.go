package configurer

import "time"

// nodeDocument is the settings file of a node.
type nodeDocument struct {
	Node      identityDocument `json:"node,omitzero"`
	Listen    listenDocument   `json:"listen,omitzero"`
	Advertise listenDocument   `json:"advertise,omitzero"`
	Platform  platformDocument `json:"platform,omitzero"`
	Bundle    bundleDocument   `json:"bundle,omitzero"`
	Limits    limitsDocument   `json:"limits,omitzero"`
	Lease     leaseDocument    `json:"lease,omitzero"`
	Entries   entriesDocument  `json:"entries,omitzero"`
	TLS       tlsDocument      `json:"tls,omitzero"`
	Callers   []keyDocument    `json:"callers,omitzero"`
	Operators []keyDocument    `json:"operators,omitzero"`
	Report    reportDocument   `json:"report,omitzero"`
	Log       logDocument      `json:"log,omitzero"`
}

type identityDocument struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

type listenDocument struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

type platformDocument struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Hosts   string `json:"hosts"`
}

type bundleDocument struct {
	Keys    []publicKeyDocument `json:"keys"`
	Revoked []string            `json:"revoked,omitzero"`
}

type publicKeyDocument struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"`
}

type limitsDocument struct {
	BodyBytes      int64    `json:"body_bytes"`
	BodyMemory     int64    `json:"body_memory"` // of all open requests, in bytes
	HeaderBytes    int64    `json:"header_bytes"`
	PromptBytes    int64    `json:"prompt_bytes"`
	MaxTokens      int64    `json:"max_tokens"`
	DefaultTokens  int64    `json:"default_tokens"`
	Running        int64    `json:"running"`
	Waiting        int64    `json:"waiting"`
	OpenRequests   int64    `json:"open_requests"`
	Attempts       int64    `json:"attempts"`
	Decisions      int64    `json:"decisions"`
	DefaultTimeout duration `json:"default_timeout"`
	MaxTimeout     duration `json:"max_timeout"`
	ReadTimeout    duration `json:"read_timeout"`
	WriteTimeout   duration `json:"write_timeout"`
	IdleTimeout    duration `json:"idle_timeout"`
}

type leaseDocument struct {
	Time  duration `json:"time"`
	Guard duration `json:"guard"`
	Renew duration `json:"renew"`
}

type entriesDocument struct {
	TTL        duration `json:"ttl"`
	DrainGrace duration `json:"drain_grace"`
}

type tlsDocument struct {
	CertificateFile string   `json:"certificate_file"`
	KeyFile         string   `json:"key_file"`
	ReloadInterval  duration `json:"reload_interval"`
}

type keyDocument struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"`
}

type reportDocument struct {
	Retention duration `json:"retention"`
}

type logDocument struct {
	Level string `json:"level"`
}

// defaultTimeout allows for the longest answer with default limits: 8192 tokens
// at the design target of 53 ms between tokens take 7.3 minutes.
const defaultTimeout = 10 * time.Minute

// Default and lower bound of the retention of the burn history.
const (
	defaultRetention = 45 * 24 * time.Hour // one and a half budget periods
	minRetention     = 72 * time.Hour      // the longest window of the burn report
)

// defaultNode returns the defaults of the optional settings.
func defaultNode() nodeDocument {
	return nodeDocument{
		Limits: limitsDocument{
			BodyBytes:      1 << 20,
			BodyMemory:     256 << 20,
			HeaderBytes:    16 << 10,
			PromptBytes:    512 << 10,
			MaxTokens:      8192,
			DefaultTokens:  256,
			Running:        1024,
			Waiting:        1024,
			OpenRequests:   4096,
			Attempts:       3,
			Decisions:      16384,
			DefaultTimeout: duration(defaultTimeout),
			MaxTimeout:     duration(time.Hour),
			ReadTimeout:    duration(10 * time.Second),
			WriteTimeout:   duration(30 * time.Second),
			IdleTimeout:    duration(2 * time.Minute),
		},
		Lease: leaseDocument{
			Time:  duration(6 * time.Second),
			Guard: duration(time.Second),
			Renew: duration(2 * time.Second),
		},
		Entries: entriesDocument{TTL: duration(5 * time.Second), DrainGrace: duration(10 * time.Second)},
		TLS:     tlsDocument{ReloadInterval: duration(time.Minute)},
		Report:  reportDocument{Retention: duration(defaultRetention)},
		Log:     logDocument{Level: "info"},
	}
}
