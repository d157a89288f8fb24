package router

import (
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Call is a caller's request as decoded by a front end. Method, target, header and
// body are opaque and are forwarded to the endpoint unchanged.
type Call struct {
	id                   string
	method               string
	host                 string
	path                 string
	target               string
	header               http.Header
	body                 [][]byte // in pieces
	model                connector.Model
	received             time.Time
	maxWait              time.Duration
	promptTokens         int
	expectedOutputTokens int
	sharedPromptParts    []PromptPart
	lastEvent            string
	resumes              string
	key                  string
	countedTokens        int
}

// PromptPart is the id of one part of a prompt. Calls whose prompts have a part in
// common name the same id.
type PromptPart string

// CallOption sets an optional property of a Call.
type CallOption func(*Call)

// WithModel sets the model that the call requests.
func WithModel(m connector.Model) CallOption { return func(c *Call) { c.model = m } }

// WithMaxWait sets the time that the caller waits for a response, counted from the
// receipt of the call.
func WithMaxWait(d time.Duration) CallOption { return func(c *Call) { c.maxWait = d } }

// WithTokenCounts sets the number of tokens of the prompt and the expected number
// of tokens of the output.
func WithTokenCounts(prompt, expectedOutput int) CallOption {
	return func(c *Call) { c.promptTokens, c.expectedOutputTokens = prompt, expectedOutput }
}

// WithSharedPromptParts sets the parts of the prompt that other calls may have too, in
// the order of the prompt.
func WithSharedPromptParts(parts []PromptPart) CallOption {
	return func(c *Call) { c.sharedPromptParts = parts }
}

// WithLastEvent sets the id of the last event of a stream that the caller resumes.
func WithLastEvent(id string) CallOption { return func(c *Call) { c.lastEvent = id } }

// WithResumes sets the id of the attempt that brought the first event of a stream that the
// caller resumes.
func WithResumes(id string) CallOption { return func(c *Call) { c.resumes = id } }

// WithKey sets the key of the workspace that the caller presents.
func WithKey(key string) CallOption { return func(c *Call) { c.key = key } }

// WithCountedTokens sets the number of tokens that the call counts as against a quota.
func WithCountedTokens(n int) CallOption { return func(c *Call) { c.countedTokens = n } }

// WithBody sets the body in pieces, which must not be modified afterwards. It replaces
// the body that is given to NewCall.
func WithBody(pieces ...[]byte) CallOption { return func(c *Call) { c.body = pieces } }

// NewCall returns a call that was received now. Target is the path with its query
// as it is forwarded; header holds the end-to-end header fields and must not be
// modified afterwards.
func NewCall(id, method, host, path, target string, header http.Header, body []byte, opts ...CallOption) *Call {
	c := &Call{id: id, method: method, host: host, path: path, target: target, header: header, received: time.Now()}
	if len(body) > 0 {
		c.body = [][]byte{body}
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ID returns the caller's id of this attempt.
func (c *Call) ID() string { return c.id }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Host returns the host name that the call is addressed to.
func (c *Call) Host() string { return c.host }

// Path returns the path without the query.
func (c *Call) Path() string { return c.path }

// Target returns the path with its query.
func (c *Call) Target() string { return c.target }

// Header returns the header fields that are forwarded to the endpoint.
func (c *Call) Header() http.Header { return c.header }

// Body returns the body. It copies a body of several pieces.
func (c *Call) Body() []byte {
	if len(c.body) == 1 {
		return c.body[0]
	}
	return slices.Concat(c.body...)
}

// BodyLength returns the length of the body in bytes.
func (c *Call) BodyLength() int64 {
	n := int64(0)
	for _, piece := range c.body {
		n += int64(len(piece))
	}
	return n
}

// NewBodyReader returns a reader of the body that does not copy it.
func (c *Call) NewBodyReader() io.Reader {
	pieces := net.Buffers(slices.Clone(c.body)) // reading consumes the list
	return &pieces
}

// MaxWait returns how long the caller waits for a response, counted from the
// receipt, or 0 if the caller set no limit.
func (c *Call) MaxWait() time.Duration { return c.maxWait }

// Model returns the model that the call requests. Its base is empty for calls to
// plain services.
func (c *Call) Model() connector.Model { return c.model }

// PromptTokens returns the length of the prompt in tokens, or 0 if it is not known.
func (c *Call) PromptTokens() int { return c.promptTokens }

// ExpectedOutputTokens returns the expected length of the output in tokens, or 0 if
// it is not known.
func (c *Call) ExpectedOutputTokens() int { return c.expectedOutputTokens }

// SharedPromptParts returns the parts of the prompt that other calls may have too, in
// the order of the prompt. The caller must not modify them.
func (c *Call) SharedPromptParts() []PromptPart { return c.sharedPromptParts }

// LastEvent returns the id of the last event of a stream that the caller resumes, or ""
// for a new stream.
func (c *Call) LastEvent() string { return c.lastEvent }

// Resumes returns the id of the attempt that brought the first event of a stream that the
// caller resumes, or "" if it names none.
func (c *Call) Resumes() string { return c.resumes }

// Key returns the key of the workspace that the caller presents, or "". It must not be
// logged.
func (c *Call) Key() string { return c.key }

// Received returns when the call was received.
func (c *Call) Received() time.Time { return c.received }
