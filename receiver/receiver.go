package receiver

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Limits bounds what a call may ask for.
type Limits struct {
	maxTokens      int
	maxPrompt      int
	defaultTimeout time.Duration
	maxTimeout     time.Duration
}

// NewLimits returns limits. Tokens count generated tokens, prompt counts bytes.
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

// Largest ids and keys that callers may send, in bytes.
const (
	maxID  = 128
	maxKey = 256
)

// Apply checks a call.
func (r *Receiver) Apply(_ context.Context, c *Call) (*Request, error) {
	id, err := requestID(c.requestID)
	if err != nil {
		return nil, err
	}
	timeout := c.timeout
	if timeout == 0 {
		timeout = r.limits.defaultTimeout
	}
	if timeout < 0 || timeout > r.limits.maxTimeout {
		return nil, classifier.NewInvalid(fmt.Sprintf("timeout is %v; allowed is up to %v", timeout, r.limits.maxTimeout))
	}
	target, err := r.target(c.content)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Request{
		id:          id,
		caller:      c.caller,
		target:      target,
		priority:    c.priority,
		received:    now,
		deadline:    now.Add(timeout),
		fingerprint: fingerprint(target),
	}, nil
}

func requestID(given string) (string, error) {
	if len(given) > maxID {
		return "", classifier.NewInvalid(fmt.Sprintf("request id has %d bytes; allowed are %d", len(given), maxID))
	}
	if given != "" {
		return given, nil
	}
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", classifier.NewUnavailable("no request id could be made", classifier.Cause(err))
	}
	return hex.EncodeToString(b[:]), nil
}

func (r *Receiver) target(c content) (Target, error) {
	switch c := c.(type) {
	case generationContent:
		return r.generation(c)
	case serviceContent:
		return service(c)
	default:
		return nil, classifier.NewInvalid("the call has no target")
	}
}

func (r *Receiver) generation(c generationContent) (Target, error) {
	adapter, version, _ := strings.Cut(c.model, "@")
	switch {
	case adapter == "":
		return nil, classifier.NewInvalid(fmt.Sprintf("model is %q; it must be adapter@version", c.model))
	case c.maxTokens < 1 || c.maxTokens > r.limits.maxTokens:
		return nil, classifier.NewInvalid(fmt.Sprintf("max_tokens is %d; allowed is 1 to %d", c.maxTokens, r.limits.maxTokens))
	case len(c.prompt) > r.limits.maxPrompt:
		return nil, classifier.NewTooLarge(fmt.Sprintf("prompt has %d bytes; allowed are %d", len(c.prompt), r.limits.maxPrompt))
	case c.next < 0 || c.next > c.maxTokens:
		return nil, classifier.NewInvalid(fmt.Sprintf("resume position is %d; allowed is 0 to %d", c.next, c.maxTokens))
	}
	return &GenerationTarget{
		adapter:   adapter,
		version:   version,
		prompt:    c.prompt,
		maxTokens: c.maxTokens,
		next:      c.next,
	}, nil
}

func service(c serviceContent) (Target, error) {
	if len(c.key) > maxKey {
		return nil, classifier.NewInvalid(fmt.Sprintf("idempotency key has %d bytes; allowed are %d", len(c.key), maxKey))
	}
	if c.keyAttempt < 1 {
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

// writeParts hashes each part with its length, so that no two lists of parts
// have the same input.
func writeParts(h hash.Hash, parts ...string) {
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
}
