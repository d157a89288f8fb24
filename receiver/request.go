package receiver

import (
	"time"
)

// Target is what a request asks for: a GenerationTarget or a ServiceTarget.
type Target interface{ target() }

// GenerationTarget asks an adapter version to continue a prompt.
type GenerationTarget struct {
	adapter   string
	version   string
	prompt    string
	maxTokens int
	next      int
}

// Adapter returns the adapter's name.
func (t *GenerationTarget) Adapter() string { return t.adapter }

// Version returns the version, or "" when the request leaves the choice to the
// bundle's traffic shares.
func (t *GenerationTarget) Version() string { return t.version }

// Prompt returns the text to continue.
func (t *GenerationTarget) Prompt() string { return t.prompt }

// MaxTokens returns the length limit.
func (t *GenerationTarget) MaxTokens() int { return t.maxTokens }

// NextToken returns the index of the first token that the caller still lacks.
func (t *GenerationTarget) NextToken() int { return t.next }

// ServiceTarget asks for a call of a plain service.
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

// Fingerprint identifies what a request asks for, without its id, caller or
// key, so that a request that crashes endpoints is known again when it is sent
// anew.
type Fingerprint [16]byte

// Request is a checked call. It does not change after Receiver made it.
type Request struct {
	id          string
	instance    string
	caller      string
	target      Target
	priority    int
	received    time.Time
	deadline    time.Time
	fingerprint Fingerprint
}

// ID returns the request's id.
func (r *Request) ID() string { return r.id }

// Instance returns an id that no other request has. Callers choose request ids and
// may use one twice, at the same time and at several nodes.
func (r *Request) Instance() string { return r.instance }

// Caller returns who sent the request.
func (r *Request) Caller() string { return r.caller }

// Target returns what the request asks for.
func (r *Request) Target() Target { return r.target }

// Priority returns the priority; higher runs earlier.
func (r *Request) Priority() int { return r.priority }

// ReceivedAt returns when the node received the request.
func (r *Request) ReceivedAt() time.Time { return r.received }

// Deadline returns when the caller stops waiting.
func (r *Request) Deadline() time.Time { return r.deadline }

// Fingerprint returns the hash of what the request asks for.
func (r *Request) Fingerprint() Fingerprint { return r.fingerprint }
