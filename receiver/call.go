package receiver

import "time"

// Call is what a front end read from a caller, before any check.
type Call struct {
	requestID string
	caller    string
	priority  int
	timeout   time.Duration
	content   content
}

// content is the unchecked target of a call.
type content interface{ content() }

type generationContent struct {
	model     string
	prompt    string
	messages  []Message
	maxTokens int
	next      int
}

type serviceContent struct {
	service    string
	method     string
	path       string
	body       []byte
	key        string
	keyAttempt int
}

func (generationContent) content() {}
func (serviceContent) content()    {}

// CallOption sets an optional property of a Call.
type CallOption func(*Call)

// WithRequestID keeps the id that the caller gave.
func WithRequestID(id string) CallOption { return func(c *Call) { c.requestID = id } }

// WithCaller names who sent the call.
func WithCaller(name string) CallOption { return func(c *Call) { c.caller = name } }

// WithPriority sets the priority.
func WithPriority(p int) CallOption { return func(c *Call) { c.priority = p } }

// WithTimeout sets how long the caller waits.
func WithTimeout(d time.Duration) CallOption { return func(c *Call) { c.timeout = d } }

// NewGeneration returns a call for text. The model is "adapter@version", or
// "adapter" alone. The answer starts at the token with index next.
func NewGeneration(model, prompt string, maxTokens, next int, opts ...CallOption) *Call {
	return newCall(generationContent{model: model, prompt: prompt, maxTokens: maxTokens, next: next}, opts)
}

// Message is one turn of a chat.
type Message struct {
	role    string
	content string
}

// NewMessage returns a turn of a chat. The role is "system", "user" or
// "assistant".
func NewMessage(role, content string) Message { return Message{role: role, content: content} }

// Role returns who speaks.
func (m Message) Role() string { return m.role }

// Content returns the text.
func (m Message) Content() string { return m.content }

// NewChat returns a call for the next turn of a chat.
func NewChat(model string, messages []Message, maxTokens, next int, opts ...CallOption) *Call {
	return newCall(generationContent{model: model, messages: messages, maxTokens: maxTokens, next: next}, opts)
}

// NewServiceCall returns a call of a plain service. KeyAttempt counts how often
// the caller has sent the key, from 1.
func NewServiceCall(service, method, path string, body []byte, key string, keyAttempt int, opts ...CallOption) *Call {
	return newCall(serviceContent{
		service:    service,
		method:     method,
		path:       path,
		body:       body,
		key:        key,
		keyAttempt: keyAttempt,
	}, opts)
}

func newCall(content content, opts []CallOption) *Call {
	c := &Call{content: content}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// IsRetry reports whether the caller says that it sent this work before. A
// refusal before the claim was read cannot speak for the earlier attempts.
func (c *Call) IsRetry() bool {
	s, ok := c.content.(serviceContent)
	return ok && s.key != "" && s.keyAttempt > 1
}
