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

// Entries gives the addresses that callers may use by one atomic load.
type Entries interface {
	Load() *EntryList
}

// Owners knows which node owns the engine where an adapter is loaded.
type Owners interface {
	// Owner returns the name of a node, and false when none is preferred.
	Owner(adapter string) (node string, ok bool)
}

// DrainChecker knows which nodes are about to leave.
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

// Drainer begins the node's planned stop.
type Drainer interface {
	Drain(ctx context.Context) error
}

// options are the settings and dependencies of a server. Those that are nil
// leave out what needs them.
type options struct {
	maxBody      int64
	maxHeader    int
	concurrency  int
	timeout      time.Duration
	readTimeout  time.Duration
	writeTimeout time.Duration
	idleTimeout  time.Duration
	drainGrace   time.Duration
	entryTTL     time.Duration
	maxTokens    int

	entries      Entries
	owners       Owners
	stops        DrainChecker
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

// Defaults of a server that is given no settings.
const (
	defaultMaxBody      = 1 << 20 // 1 MiB, a prompt of some 250,000 tokens
	defaultMaxHeader    = 16 << 10
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultEntryTTL     = 5 * time.Second
	defaultMaxTokens    = 256
)

func defaults() options {
	return options{
		maxBody:      defaultMaxBody,
		maxHeader:    defaultMaxHeader,
		readTimeout:  defaultReadTimeout,
		writeTimeout: defaultWriteTimeout,
		idleTimeout:  defaultIdleTimeout,
		entryTTL:     defaultEntryTTL,
		maxTokens:    defaultMaxTokens,
		scope:        tally.NoopScope,
		log:          logger.Nop(),
	}
}

// Option sets an optional property of a Server.
type Option func(*options)

// WithMaxBody bounds the body of a call, in bytes.
func WithMaxBody(n int64) Option { return func(o *options) { o.maxBody = n } }

// WithMaxHeader bounds the headers of a call, in bytes.
func WithMaxHeader(n int) Option { return func(o *options) { o.maxHeader = n } }

// WithMaxOpenRequests bounds the number of open requests for work; 0 sets no bound.
func WithMaxOpenRequests(n int) Option { return func(o *options) { o.concurrency = n } }

// WithDefaultTimeout sets how long a call may take whose caller does not say; 0 leaves
// the choice to the pipeline.
func WithDefaultTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithReadTimeout bounds how long headers and body may take to arrive.
func WithReadTimeout(d time.Duration) Option { return func(o *options) { o.readTimeout = d } }

// WithWriteTimeout bounds how long one write to the caller may take. It starts
// anew with every event, so that it does not cut long streams.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// WithIdleTimeout bounds how long a connection stays open without a request.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithDrainGrace sets how long a stopping server still accepts calls. It must be
// longer than callers keep an entry address.
func WithDrainGrace(d time.Duration) Option { return func(o *options) { o.drainGrace = d } }

// WithDefaultTokens sets the length limit of generations that name none.
func WithDefaultTokens(n int) Option { return func(o *options) { o.maxTokens = n } }

// WithEntries serves entry addresses that callers may keep for ttl.
func WithEntries(e Entries, ttl time.Duration) Option {
	return func(o *options) { o.entries, o.entryTTL = e, ttl }
}

// WithOwners puts the owner of an adapter first among the entries.
func WithOwners(p Owners) Option { return func(o *options) { o.owners = p } }

// WithDrainChecker leaves out entries that are about to leave, also while the list still
// names them.
func WithDrainChecker(p DrainChecker) Option { return func(o *options) { o.stops = p } }

// WithBundles makes the server ready only while a bundle is in force.
func WithBundles(b resolver.Source) Option { return func(o *options) { o.bundles = b } }

// WithStatus serves the node's status to operators.
func WithStatus(p StatusSource) Option { return func(o *options) { o.status = p } }

// WithRecorder records decisions about requests and serves them to operators.
func WithRecorder(r *recorder.Recorder) Option {
	return func(o *options) { o.recorder, o.explainer = r, r }
}

// WithDrainer lets operators stop the node.
func WithDrainer(d Drainer) Option { return func(o *options) { o.drainer = d } }

// WithCallerKeys refuses callers without one of the keys. Without it, callers
// are told apart by a hash of their Authorization header.
func WithCallerKeys(k Keys) Option { return func(o *options) { o.callerKeys = k } }

// WithOperatorKeys admits operators. Without keys nobody is admitted.
func WithOperatorKeys(k Keys) Option { return func(o *options) { o.operatorKeys = k } }

// WithCertificates serves TLS.
func WithCertificates(r *CertReloader) Option { return func(o *options) { o.certificates = r } }

// WithMetrics serves metrics and counts answers in a scope.
func WithMetrics(h http.Handler, scope tally.Scope) Option {
	return func(o *options) { o.metrics, o.scope = h, scope }
}

// WithLogger logs failed requests.
func WithLogger(l *logger.Logger) Option {
	return func(o *options) { o.log = l.Component("server") }
}
