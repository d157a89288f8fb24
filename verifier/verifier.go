package verifier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// Verified is an attempt whose answer is checked as it arrives.
type Verified struct {
	*dispatcher.Dispatched
	result dispatcher.Result
}

// Result returns the checked result.
func (v *Verified) Result() dispatcher.Result { return v.result }

// Verifier checks answers. It drops what does not belong to the attempt.
type Verifier struct {
	asserts *asserter.Asserter
	dropped atomic.Int64
}

// New returns a verifier.
func New(a *asserter.Asserter) *Verifier { return &Verifier{asserts: a} }

// Dropped returns how many chunks and replies were dropped because they belong
// to another attempt or adapter.
func (v *Verifier) Dropped() int64 { return v.dropped.Load() }

// Apply checks the result of an attempt.
func (v *Verifier) Apply(_ context.Context, d *dispatcher.Dispatched) (*Verified, error) {
	switch r := d.Result().(type) {
	case *dispatcher.Streaming:
		s := v.check(d, r)
		return &Verified{Dispatched: d, result: dispatcher.NewStreaming(s, r.Model())}, nil
	case *dispatcher.Replied:
		if !r.Replayed() && r.Reply().Attempt() != d.AttemptID() {
			v.dropped.Add(1)
			return nil, classifier.NewUncertain(fmt.Sprintf("the reply is for attempt %q", r.Reply().Attempt()))
		}
		v.asserts.Check(asserter.OwnAnswer, r.Replayed() || ownedBy(d.Request, r.Reply().Attempt()),
			"request %q got the reply to attempt %q", d.ID(), r.Reply().Attempt())
		return &Verified{Dispatched: d, result: r}, nil
	default:
		return nil, classifier.NewUncertain("the attempt has no result")
	}
}

func (v *Verifier) check(d *dispatcher.Dispatched, r *dispatcher.Streaming) *checked {
	c := &checked{
		Stream:   r.Stream(),
		verifier: v,
		request:  d.Request,
		attempt:  d.AttemptID(),
		model:    r.Model(),
		next:     d.NextToken(),
	}
	if t, ok := d.Target().(*receiver.GenerationTarget); ok {
		c.target = t
		c.ended = c.next >= t.MaxTokens()
	}
	return c
}

// checked is a stream that passes on only the chunks of its own attempt, in
// order and from the adapter version asked for.
type checked struct {
	connector.Stream
	verifier *Verifier
	request  *receiver.Request
	attempt  string
	model    connector.Model
	target   *receiver.GenerationTarget
	next     int
	ended    bool
}

// Next returns the next chunk that belongs to the attempt, and io.EOF after the
// last one. An answer that ends earlier is broken, because the caller could not
// tell it from a complete one.
func (c *checked) Next(ctx context.Context) (connector.Chunk, error) {
	for !c.ended {
		chunk, err := c.Stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return connector.Chunk{}, fmt.Errorf("the answer ends before token %d: %w", c.next, connector.ErrBroken)
		}
		if err != nil {
			return connector.Chunk{}, err
		}
		if chunk.Attempt() != c.attempt || chunk.Model() != c.model || chunk.Index() < c.next {
			c.verifier.dropped.Add(1)
			continue
		}
		return c.accept(chunk)
	}
	return connector.Chunk{}, io.EOF
}

func (c *checked) accept(chunk connector.Chunk) (connector.Chunk, error) {
	if chunk.Index() > c.next {
		return connector.Chunk{}, fmt.Errorf("token %d is missing: %w", c.next, connector.ErrBroken)
	}
	if !c.assert(chunk) {
		return connector.Chunk{}, classifier.NewUncertain("the answer does not belong to the request")
	}
	c.next++
	c.ended = chunk.Last()
	return chunk, nil
}

// assert compares the chunk with the request itself, not with what the stages
// between derived from it, so that a fault in one of them is seen.
func (c *checked) assert(chunk connector.Chunk) bool {
	if c.target == nil {
		return true
	}
	m := chunk.Model()
	named := m.Adapter() == c.target.Adapter() && (c.target.Version() == "" || m.Version() == c.target.Version())
	own := ownedBy(c.request, chunk.Attempt())
	asserts := c.verifier.asserts
	named = asserts.Check(asserter.AdapterNamed, named, "request %q asks for %s@%s and got a token of %s",
		c.request.ID(), c.target.Adapter(), c.target.Version(), m)
	own = asserts.Check(asserter.OwnAnswer, own, "request %q got a token of attempt %q", c.request.ID(), chunk.Attempt())
	return named && own
}

// ownedBy reports whether an attempt id was made from a request. Attempts are
// named after the request's id or its instance.
func ownedBy(r *receiver.Request, attempt string) bool {
	return strings.HasPrefix(attempt, r.ID()) || strings.HasPrefix(attempt, r.Instance())
}
