package server

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// Entries provides the current list of entries. Load is a single atomic load.
type Entries interface {
	Load() *EntryList
}

// Owners looks up the node that owns an engine on which an adapter is loaded.
type Owners interface {
	// Owner returns the name of the node, or false if no node is preferred.
	Owner(adapter string) (node string, ok bool)
}

// DrainChecker reports which nodes are draining.
type DrainChecker interface {
	Draining(node string) bool
}

// StatusSource describes the node for operators.
type StatusSource interface {
	Status() StatusDocument
}

// Explainer returns the recorded decisions about a request.
type Explainer interface {
	Explain(request string) []*recorder.Decision
}

// Drainer starts the node's planned stop.
type Drainer interface {
	Drain(ctx context.Context) error
}

// options are the settings and dependencies of a server. A nil dependency
// disables the features that need it.
type options struct {
	maxBody         int64
	maxHeader       int
	bodyMemory      int64
	maxOpenRequests int
	defaultTimeout  time.Duration
	readTimeout     time.Duration
	writeTimeout    time.Duration
	idleTimeout     time.Duration
	drainGrace      time.Duration
	entryTTL        time.Duration
	defaultTokens   int

	entries      Entries
	owners       Owners
	drainChecker DrainChecker
	bundles      resolver.Source
	status       StatusSource
	explainer    Explainer
	drainer      Drainer
	callerKeys   Keys
	operatorKeys Keys
	certificates *CertReloader
	recorder     *recorder.Recorder
	metrics      http.Handler
	scope        tally.Scope
	log          *logger.Logger
}

// Default settings.
const (
	defaultMaxBody         = 1 << 20 // 1 MiB, a prompt of about 250,000 tokens
	defaultMaxHeader       = 16 << 10
	defaultReadTimeout     = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultEntryTTL        = 5 * time.Second
	defaultGeneratedTokens = 256
)

func defaults() options {
	return options{
		maxBody:       defaultMaxBody,
		maxHeader:     defaultMaxHeader,
		readTimeout:   defaultReadTimeout,
		writeTimeout:  defaultWriteTimeout,
		idleTimeout:   defaultIdleTimeout,
		entryTTL:      defaultEntryTTL,
		defaultTokens: defaultGeneratedTokens,
		scope:         tally.NoopScope,
		log:           logger.Nop(),
	}
}

// Option sets an optional property of a Server.
type Option func(*options)

// WithMaxBody limits the size of the body of a call, in bytes.
func WithMaxBody(n int64) Option { return func(o *options) { o.maxBody = n } }

// WithBodyMemory limits the memory for the bodies of all open calls together, in bytes; 0
// means no limit.
func WithBodyMemory(n int64) Option { return func(o *options) { o.bodyMemory = n } }

// WithMaxHeader limits the size of the headers of a call, in bytes.
func WithMaxHeader(n int) Option { return func(o *options) { o.maxHeader = n } }

// WithMaxOpenRequests limits the number of calls that are open at the same
// time; 0 means no limit.
func WithMaxOpenRequests(n int) Option { return func(o *options) { o.maxOpenRequests = n } }

// WithDefaultTimeout sets the timeout of calls that set none; with 0, the
// default of the pipeline applies.
func WithDefaultTimeout(d time.Duration) Option { return func(o *options) { o.defaultTimeout = d } }

// WithReadTimeout limits the time in which headers and body must arrive.
func WithReadTimeout(d time.Duration) Option { return func(o *options) { o.readTimeout = d } }

// WithWriteTimeout limits the duration of a single write to the caller. It
// restarts with every event, so that it does not interrupt long streams.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// WithIdleTimeout limits how long a connection stays open without a request.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithDrainGrace sets how long a draining server still accepts calls. It must
// be longer than callers cache the address of an entry.
func WithDrainGrace(d time.Duration) Option { return func(o *options) { o.drainGrace = d } }

// WithDefaultTokens sets max_tokens of calls that set none.
func WithDefaultTokens(n int) Option { return func(o *options) { o.defaultTokens = n } }

// WithEntries serves the list of entries, which callers may cache for ttl.
func WithEntries(e Entries, ttl time.Duration) Option {
	return func(o *options) { o.entries, o.entryTTL = e, ttl }
}

// WithOwners lists the node that owns an adapter first among the entries.
func WithOwners(owners Owners) Option { return func(o *options) { o.owners = owners } }

// WithDrainChecker omits the entries of draining nodes, even while the list
// still contains them.
func WithDrainChecker(d DrainChecker) Option { return func(o *options) { o.drainChecker = d } }

// WithBundles makes the server ready only while a bundle is in force.
func WithBundles(b resolver.Source) Option { return func(o *options) { o.bundles = b } }

// WithStatus serves the node's status to operators.
func WithStatus(source StatusSource) Option { return func(o *options) { o.status = source } }

// WithRecorder records decisions about requests and serves them to operators.
func WithRecorder(r *recorder.Recorder) Option {
	return func(o *options) { o.recorder, o.explainer = r, r }
}

// WithDrainer lets operators start the planned stop of the node.
func WithDrainer(d Drainer) Option { return func(o *options) { o.drainer = d } }

// WithCallerKeys rejects callers without one of the keys. Without this option,
// callers are identified by a hash of their Authorization header.
func WithCallerKeys(k Keys) Option { return func(o *options) { o.callerKeys = k } }

// WithOperatorKeys sets the keys of operators. Without keys, all requests of
// operators are rejected.
func WithOperatorKeys(k Keys) Option { return func(o *options) { o.operatorKeys = k } }

// WithCertificates serves TLS with the certificate of r.
func WithCertificates(r *CertReloader) Option { return func(o *options) { o.certificates = r } }

// WithMetrics serves metrics with h and counts answers in scope.
func WithMetrics(h http.Handler, scope tally.Scope) Option {
	return func(o *options) { o.metrics, o.scope = h, scope }
}

// WithLogger logs failed requests.
func WithLogger(l *logger.Logger) Option {
	return func(o *options) { o.log = l.Component("server") }
}
