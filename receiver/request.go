package receiver

import (
	"time"
)

// Target is the target of a request: a GenerationTarget or a ServiceTarget.
type Target interface{ target() }

// GenerationTarget continues a prompt with an adapter version.
type GenerationTarget struct {
	adapter   string
	version   string
	prompt    string
	maxTokens int
	nextToken int
}

// Adapter returns the adapter's name.
func (t *GenerationTarget) Adapter() string { return t.adapter }

// Version returns the version, or "" if the traffic shares of the bundle
// determine it.
func (t *GenerationTarget) Version() string { return t.version }

// Prompt returns the text to continue.
func (t *GenerationTarget) Prompt() string { return t.prompt }

// MaxTokens returns the maximum number of tokens.
func (t *GenerationTarget) MaxTokens() int { return t.maxTokens }

// NextToken returns the index of the first token to generate; the caller has
// those before it.
func (t *GenerationTarget) NextToken() int { return t.nextToken }

// ServiceTarget calls a plain service.
type ServiceTarget struct {
	service    string
	method     string
	path       string
	body       []byte
	key        string
	keyAttempt int
}

// Service returns the service's name.
func (t *ServiceTarget) Service() string { return t.service }

// Method returns the HTTP method.
func (t *ServiceTarget) Method() string { return t.method }

// Path returns the path below the service's root, with its query.
func (t *ServiceTarget) Path() string { return t.path }

// Body returns the body; it must not be changed.
func (t *ServiceTarget) Body() []byte { return t.body }

// Key returns the idempotency key, or "".
func (t *ServiceTarget) Key() string { return t.key }

// KeyAttempt returns how often the caller has sent the key, from 1.
func (t *ServiceTarget) KeyAttempt() int { return t.keyAttempt }

func (*GenerationTarget) target() {}
func (*ServiceTarget) target()    {}

// Fingerprint is a hash of the content of a request, without its id, caller or
// key. It identifies a request that crashes endpoints when it is sent again.
type Fingerprint [16]byte

// Request is a validated call. It is immutable.
type Request struct {
	id          string
	instance    string
	caller      string
	target      Target
	priority    int
	receivedAt  time.Time
	deadline    time.Time
	fingerprint Fingerprint
}

// ID returns the request's id.
func (r *Request) ID() string { return r.id }

// Instance returns an id that is unique to the request. Request ids are not
// unique: callers choose them and may use one twice, at the same time and at
// several nodes.
func (r *Request) Instance() string { return r.instance }

// Caller returns the name of the caller.
func (r *Request) Caller() string { return r.caller }

// Target returns the target of the request.
func (r *Request) Target() Target { return r.target }

// Priority returns the priority; higher runs earlier.
func (r *Request) Priority() int { return r.priority }

// ReceivedAt returns the time at which the node received the request.
func (r *Request) ReceivedAt() time.Time { return r.receivedAt }

// Deadline returns when the caller stops waiting.
func (r *Request) Deadline() time.Time { return r.deadline }

// Fingerprint returns the hash of the content of the request.
func (r *Request) Fingerprint() Fingerprint { return r.fingerprint }
