package verifier

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
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
		s := &checked{Stream: r.Stream(), verifier: v, attempt: d.AttemptID(), model: r.Model(), next: d.Next()}
		return &Verified{Dispatched: d, result: dispatcher.NewStreaming(s, r.Model())}, nil
	case *dispatcher.Replied:
		if !r.Replayed() && r.Reply().Attempt() != d.AttemptID() {
			v.dropped.Add(1)
			return nil, classifier.NewUncertain(fmt.Sprintf("the reply is for attempt %q", r.Reply().Attempt()))
		}
		return &Verified{Dispatched: d, result: r}, nil
	default:
		return nil, classifier.NewUncertain("the attempt has no result")
	}
}

// checked is a stream that passes on only the chunks of its own attempt, in
// order and from the adapter version asked for.
type checked struct {
	connector.Stream
	verifier *Verifier
	attempt  string
	model    connector.Model
	next     int
}

// Next returns the next chunk that belongs to the attempt.
func (c *checked) Next(ctx context.Context) (connector.Chunk, error) {
	for {
		chunk, err := c.Stream.Next(ctx)
		if err != nil {
			return connector.Chunk{}, err
		}
		if chunk.Attempt() != c.attempt || chunk.Model() != c.model || chunk.Index() < c.next {
			c.verifier.dropped.Add(1)
			continue
		}
		if chunk.Index() > c.next {
			return connector.Chunk{}, fmt.Errorf("token %d is missing: %w", c.next, connector.ErrBroken)
		}
		c.next++
		return chunk, nil
	}
}
