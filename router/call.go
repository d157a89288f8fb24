package router

import (
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Call is a request of a caller as a front end hands it in. The content is opaque:
// method, target, header and body reach the endpoint as they are.
type Call struct {
	id       string
	method   string
	host     string
	path     string
	target   string
	header   http.Header
	body     []byte
	model    connector.Model
	received time.Time
	patience time.Duration
	prompt   int
	output   int
}

// CallOption sets an optional property of a Call.
type CallOption func(*Call)

// WithModel names the model that the call asks for.
func WithModel(m connector.Model) CallOption { return func(c *Call) { c.model = m } }

// WithMaxWait says how long the caller waits, counted from the receipt.
func WithMaxWait(d time.Duration) CallOption { return func(c *Call) { c.patience = d } }

// WithTokenCounts says how many tokens the prompt of the call has and how many the output
// is expected to have.
func WithTokenCounts(prompt, output int) CallOption {
	return func(c *Call) { c.prompt, c.output = prompt, output }
}

// NewCall returns a call that was received now. Target is the path with its query
// as it is sent on; header holds what concerns the whole way and must not be
// changed afterwards.
func NewCall(id, method, host, path, target string, header http.Header, body []byte, opts ...CallOption) *Call {
	c := &Call{id: id, method: method, host: host, path: path, target: target, header: header, body: body, received: time.Now()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ID returns the id that the caller gave this attempt.
func (c *Call) ID() string { return c.id }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Host returns the host that the call names.
func (c *Call) Host() string { return c.host }

// Path returns the path without the query.
func (c *Call) Path() string { return c.path }

// Target returns the path with its query.
func (c *Call) Target() string { return c.target }

// Header returns the header fields that reach the endpoint.
func (c *Call) Header() http.Header { return c.header }

// Body returns the body.
func (c *Call) Body() []byte { return c.body }

// MaxWait returns how long the caller waits, counted from the receipt, or 0 if it
// did not say.
func (c *Call) MaxWait() time.Duration { return c.patience }

// Model returns the model that the call asks for; its base is empty for calls of
// plain services.
func (c *Call) Model() connector.Model { return c.model }

// PromptTokens returns the length of the prompt in tokens, or 0 if it is not known.
func (c *Call) PromptTokens() int { return c.prompt }

// ExpectedTokens returns the expected length of the output in tokens, or 0 if it is not
// known.
func (c *Call) ExpectedTokens() int { return c.output }

// Received returns when the call was received.
func (c *Call) Received() time.Time { return c.received }
