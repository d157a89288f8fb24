package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/recorder"
)

// Limits are the limits that calls are checked against.
type Limits struct {
	maxTokens      int
	maxPrompt      int
	defaultTimeout time.Duration
	maxTimeout     time.Duration
}

// NewLimits returns limits. maxTokens counts generated tokens; maxPrompt is in
// bytes.
func NewLimits(maxTokens, maxPrompt int, defaultTimeout, maxTimeout time.Duration) Limits {
	return Limits{
		maxTokens:      maxTokens,
		maxPrompt:      maxPrompt,
		defaultTimeout: defaultTimeout,
		maxTimeout:     maxTimeout,
	}
}

// Receiver is the first stage of the request pipeline.
type Receiver struct {
	limits Limits
}

// New returns a receiver.
func New(limits Limits) *Receiver { return &Receiver{limits: limits} }

// Apply validates a call.
func (r *Receiver) Apply(ctx context.Context, c *Call) (*Request, error) {
	req, err := r.check(c)
	if err != nil {
		recorder.From(ctx).Note(recorder.StageReceiver, "refused", err.Error())
		return nil, err
	}
	return req, nil
}

func (r *Receiver) check(c *Call) (*Request, error) {
	if c.requestID != "" {
		if err := CheckID(c.requestID); err != nil {
			return nil, err
		}
	}
	if c.priority < MinPriority || c.priority > MaxPriority {
		return nil, classifier.NewInvalid(fmt.Sprintf("priority is %d; allowed is %d to %d", c.priority, MinPriority, MaxPriority))
	}
	timeout, err := r.effectiveTimeout(c.timeout)
	if err != nil {
		return nil, err
	}
	target, err := r.parseTarget(c.content)
	if err != nil {
		return nil, err
	}
	instance := NewID()
	id := c.requestID
	if id == "" {
		id = instance
	}
	now := time.Now()
	return &Request{
		id:          id,
		instance:    instance,
		caller:      c.caller,
		target:      target,
		priority:    c.priority,
		receivedAt:  now,
		deadline:    now.Add(timeout),
		fingerprint: fingerprint(target),
	}, nil
}

func (r *Receiver) effectiveTimeout(given time.Duration) (time.Duration, error) {
	if given == 0 {
		return r.limits.defaultTimeout, nil
	}
	if given < 0 || given > r.limits.maxTimeout {
		return 0, classifier.NewInvalid(fmt.Sprintf("timeout is %v; allowed is up to %v", given, r.limits.maxTimeout))
	}
	return given, nil
}

func (r *Receiver) parseTarget(c content) (Target, error) {
	switch c := c.(type) {
	case generationContent:
		return r.parseGeneration(c)
	case serviceContent:
		return parseService(c)
	default:
		return nil, classifier.NewInvalid("the call has no target")
	}
}

func (r *Receiver) parseGeneration(c generationContent) (Target, error) {
	adapter, version, err := splitModel(c.model)
	if err != nil {
		return nil, err
	}
	prompt, err := c.promptText()
	if err != nil {
		return nil, err
	}
	switch {
	case prompt == "":
		return nil, classifier.NewInvalid("the prompt is empty")
	case len(prompt) > r.limits.maxPrompt:
		return nil, classifier.NewTooLarge(fmt.Sprintf("prompt has %d bytes; allowed are %d", len(prompt), r.limits.maxPrompt))
	case !utf8.ValidString(prompt):
		return nil, classifier.NewInvalid("the prompt is not UTF-8")
	case c.maxTokens < 1 || c.maxTokens > r.limits.maxTokens:
		return nil, classifier.NewInvalid(fmt.Sprintf("max_tokens is %d; allowed is 1 to %d", c.maxTokens, r.limits.maxTokens))
	case c.nextToken < 0 || c.nextToken > c.maxTokens:
		return nil, classifier.NewInvalid(fmt.Sprintf("resume position is %d; allowed is 0 to %d", c.nextToken, c.maxTokens))
	}
	return &GenerationTarget{
		adapter:   adapter,
		version:   version,
		prompt:    prompt,
		maxTokens: c.maxTokens,
		nextToken: c.nextToken,
	}, nil
}

func (c generationContent) promptText() (string, error) {
	if c.messages == nil {
		return c.prompt, nil
	}
	return joinMessages(c.messages)
}

// splitModel splits a model name into the adapter and the version. For a name
// without "@", the bundle determines the version.
func splitModel(model string) (adapter, version string, err error) {
	adapter, version, versioned := strings.Cut(model, "@")
	if !isName(adapter) || versioned && !isName(version) {
		return "", "", classifier.NewInvalid(fmt.Sprintf("model is %.80q; it must be adapter@version", model))
	}
	return adapter, version, nil
}

func parseService(c serviceContent) (Target, error) {
	switch {
	case !isName(c.service):
		return nil, classifier.NewInvalid(fmt.Sprintf("service is %.80q; it must be a name", c.service))
	case !isToken(c.method):
		return nil, classifier.NewInvalid(fmt.Sprintf("method is %.80q; it must be an HTTP method", c.method))
	case !isPath(c.path):
		return nil, classifier.NewInvalid(fmt.Sprintf("path is %.80q; it must start with a slash and contain no dot segments", c.path))
	case len(c.key) > maxKeyBytes:
		return nil, classifier.NewInvalid(fmt.Sprintf("idempotency key has %d bytes; allowed are %d", len(c.key), maxKeyBytes))
	case !isPrintable(c.key):
		return nil, classifier.NewInvalid("the idempotency key contains control or non-ASCII characters")
	case c.keyAttempt < 1:
		return nil, classifier.NewInvalid(fmt.Sprintf("idempotency attempt is %d; it counts from 1", c.keyAttempt))
	}
	return &ServiceTarget{
		service:    c.service,
		method:     c.method,
		path:       c.path,
		body:       c.body,
		key:        c.key,
		keyAttempt: c.keyAttempt,
	}, nil
}

// FingerprintOf returns the fingerprint of requests that continue a prompt with
// an adapter.
func FingerprintOf(adapter, prompt string) Fingerprint {
	return fingerprint(&GenerationTarget{adapter: adapter, prompt: prompt})
}

func fingerprint(t Target) Fingerprint {
	h := sha256.New()
	switch t := t.(type) {
	case *GenerationTarget:
		writeParts(h, "generation", t.adapter, t.prompt)
	case *ServiceTarget:
		writeParts(h, "service", t.service, t.method, t.path, string(t.body))
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// writeParts hashes each part with its length, so that different lists of parts
// give different input to the hash.
func writeParts(h hash.Hash, parts ...string) {
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
}
