package receiver

import "time"

// Call is a call as a front end decoded it, before validation.
type Call struct {
	requestID string
	caller    string
	priority  int
	timeout   time.Duration
	content   content
}

// content is the unvalidated target of a call.
type content interface{ content() }

type generationContent struct {
	model     string
	prompt    string
	messages  []Message
	maxTokens int
	nextToken int
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

// WithRequestID sets the request id that the caller sent.
func WithRequestID(id string) CallOption { return func(c *Call) { c.requestID = id } }

// WithCaller sets the name of the caller.
func WithCaller(name string) CallOption { return func(c *Call) { c.caller = name } }

// WithPriority sets the priority.
func WithPriority(p int) CallOption { return func(c *Call) { c.priority = p } }

// WithTimeout sets how long the caller waits.
func WithTimeout(d time.Duration) CallOption { return func(c *Call) { c.timeout = d } }

// NewGeneration returns a call that generates text. The model is
// "adapter@version", or "adapter" alone. The answer starts at the token with
// index nextToken.
func NewGeneration(model, prompt string, maxTokens, nextToken int, opts ...CallOption) *Call {
	return newCall(generationContent{model: model, prompt: prompt, maxTokens: maxTokens, nextToken: nextToken}, opts)
}

// Message is one turn of a chat.
type Message struct {
	role    string
	content string
}

// NewMessage returns a turn of a chat. The role is "system", "user" or
// "assistant".
func NewMessage(role, content string) Message { return Message{role: role, content: content} }

// Role returns the role of the speaker.
func (m Message) Role() string { return m.role }

// Content returns the text.
func (m Message) Content() string { return m.content }

// NewChat returns a call for the next turn of a chat.
func NewChat(model string, messages []Message, maxTokens, nextToken int, opts ...CallOption) *Call {
	return newCall(generationContent{model: model, messages: messages, maxTokens: maxTokens, nextToken: nextToken}, opts)
}

// NewServiceCall returns a call of a plain service. keyAttempt counts how
// often the caller has sent the key, from 1.
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

// IsRetry reports whether the caller has sent this call before, according to
// its count of attempts. A refusal before the claim is read then does not show
// that the call was not run, because an earlier attempt may have run it.
func (c *Call) IsRetry() bool {
	s, ok := c.content.(serviceContent)
	return ok && s.key != "" && s.keyAttempt > 1
}
