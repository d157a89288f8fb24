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

// Verified is an attempt whose response is checked as it arrives.
type Verified struct {
	*dispatcher.Dispatched
	result dispatcher.Result
}

// Result returns the checked result.
func (v *Verified) Result() dispatcher.Result { return v.result }

// Verifier checks responses. It drops chunks and replies of other attempts.
type Verifier struct {
	asserter *asserter.Asserter
	dropped  atomic.Int64
}

// New returns a verifier.
func New(a *asserter.Asserter) *Verifier { return &Verifier{asserter: a} }

// Dropped returns how many chunks and replies were dropped because they belong
// to another attempt or adapter.
func (v *Verifier) Dropped() int64 { return v.dropped.Load() }

// Apply checks the result of an attempt.
func (v *Verifier) Apply(_ context.Context, d *dispatcher.Dispatched) (*Verified, error) {
	switch r := d.Result().(type) {
	case *dispatcher.Streaming:
		s := v.newCheckedStream(d, r)
		return &Verified{Dispatched: d, result: dispatcher.NewStreaming(s, r.Model())}, nil
	case *dispatcher.Replied:
		if !r.Replayed() && r.Reply().Attempt() != d.AttemptID() {
			v.dropped.Add(1)
			return nil, classifier.NewUncertain(fmt.Sprintf("the reply is for attempt %q", r.Reply().Attempt()))
		}
		v.asserter.Check(asserter.OwnAnswer, r.Replayed() || isAttemptOf(d.Request, r.Reply().Attempt()),
			"request %q got the reply to attempt %q", d.ID(), r.Reply().Attempt())
		return &Verified{Dispatched: d, result: r}, nil
	default:
		return nil, classifier.NewUncertain("the attempt has no result")
	}
}

func (v *Verifier) newCheckedStream(d *dispatcher.Dispatched, r *dispatcher.Streaming) *checkedStream {
	c := &checkedStream{
		Stream:   r.Stream(),
		verifier: v,
		request:  d.Request,
		attempt:  d.AttemptID(),
		model:    r.Model(),
		next:     d.NextToken(),
	}
	if t, ok := d.Target().(*receiver.GenerationTarget); ok {
		c.target = t
		c.done = c.next >= t.MaxTokens()
	}
	return c
}

// checkedStream returns only the chunks of its own attempt, in order and from
// the expected adapter version.
type checkedStream struct {
	connector.Stream
	verifier *Verifier
	request  *receiver.Request
	attempt  string
	model    connector.Model
	target   *receiver.GenerationTarget
	next     int
	done     bool
}

// Next returns the next chunk that belongs to the attempt, and io.EOF after the
// last one. If the stream ends earlier, it returns connector.ErrBroken, because
// the caller could not tell the response from a complete one.
func (c *checkedStream) Next(ctx context.Context) (connector.Chunk, error) {
	for !c.done {
		chunk, err := c.Stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return connector.Chunk{}, fmt.Errorf("stream ended before token %d: %w", c.next, connector.ErrBroken)
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

func (c *checkedStream) accept(chunk connector.Chunk) (connector.Chunk, error) {
	if chunk.Index() > c.next {
		return connector.Chunk{}, fmt.Errorf("token %d is missing: %w", c.next, connector.ErrBroken)
	}
	if !c.belongsToRequest(chunk) {
		return connector.Chunk{}, classifier.NewUncertain("the answer does not belong to the request")
	}
	c.next++
	c.done = chunk.Last()
	return chunk, nil
}

// belongsToRequest compares the chunk with the request itself, not with what
// earlier stages derived from it, so that a fault in one of them is detected.
func (c *checkedStream) belongsToRequest(chunk connector.Chunk) bool {
	if c.target == nil {
		return true
	}
	m := chunk.Model()
	adapterMatches := m.Adapter() == c.target.Adapter() && (c.target.Version() == "" || m.Version() == c.target.Version())
	attemptMatches := isAttemptOf(c.request, chunk.Attempt())
	asserts := c.verifier.asserter
	adapterMatches = asserts.Check(asserter.AdapterNamed, adapterMatches, "request %q is for %s@%s but got a token of %s",
		c.request.ID(), c.target.Adapter(), c.target.Version(), m)
	attemptMatches = asserts.Check(asserter.OwnAnswer, attemptMatches, "request %q got a token of attempt %q", c.request.ID(), chunk.Attempt())
	return adapterMatches && attemptMatches
}

// isAttemptOf reports whether an attempt id was derived from a request. It starts
// with the request's id or its instance.
func isAttemptOf(r *receiver.Request, attempt string) bool {
	return strings.HasPrefix(attempt, r.ID()) || strings.HasPrefix(attempt, r.Instance())
}
