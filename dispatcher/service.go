package dispatcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/resolver"
)

func (d *Dispatcher) call(ctx context.Context, p *placer.Placed, choice *placer.OnService) (Result, error) {
	ctx, cancel := until(ctx, p)
	defer cancel()
	route, ok := p.Route().(*resolver.ServiceRoute)
	if !ok {
		p.CallDone()
		return nil, classifier.NewInvalid("the request is not a service call")
	}
	svc, err := d.directory.Service(choice.Endpoint().Name())
	if err != nil {
		p.CallDone()
		return nil, fmt.Errorf("find service endpoint %q: %w", choice.Endpoint().Name(), err)
	}
	if held, ok := p.Claim().(*claimer.Held); ok {
		return d.post(ctx, svc, p, held, operation(p, route, held.Key()))
	}
	defer p.CallDone()
	reply, err := svc.Call(ctx, operation(p, route, p.ID()))
	if err != nil {
		return nil, callFault(err)
	}
	return &Replied{reply: reply}, nil
}

func operation(p *placer.Placed, route *resolver.ServiceRoute, id string) connector.Operation {
	t := route.Target()
	return connector.NewOperation(p.AttemptID(), id, t.Method(), t.Path(), t.Body())
}

// posted is the end of a posting.
type posted struct {
	reply connector.Reply
	err   error
}

// post runs a non-idempotent call. Once it has begun, it goes on without its
// caller, so that the answer is stored for a repeat of the key.
func (d *Dispatcher) post(ctx context.Context, svc connector.Service, p *placer.Placed, held *claimer.Held, op connector.Operation) (Result, error) {
	if !d.begin(ctx) {
		p.CallDone()
		return nil, classifier.NewUnavailable("the node is closing or the request has ended")
	}
	ended := make(chan posted, 1)
	go func() {
		defer d.postings.Done()
		defer p.CallDone()
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.postingTimeout)
		defer cancel()
		reply, err := runPosting(own, svc, held, op)
		ended <- posted{reply, err}
	}()
	select {
	case end := <-ended:
		if end.err != nil {
			return nil, end.err
		}
		return &Replied{reply: end.reply}, nil
	case <-ctx.Done():
		return nil, gaveUp(ctx)
	}
}

func (d *Dispatcher) begin(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || ctx.Err() != nil {
		return false
	}
	d.postings.Add(1)
	return true
}

// gaveUp is the answer to a caller that does not wait for its posting.
func gaveUp(ctx context.Context) error {
	const detail = "the posting was under way when the request ended"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.NewExpired(detail, classifier.Cause(ctx.Err()), classifier.MayHaveRun())
	}
	return classifier.NewCanceled(detail, classifier.Cause(ctx.Err()), classifier.MayHaveRun())
}

// runPosting sends the call and ends its claim. The claimer writes a last state
// that could not be stored again later.
func runPosting(ctx context.Context, svc connector.Service, held *claimer.Held, op connector.Operation) (connector.Reply, error) {
	if err := held.MarkSent(ctx); err != nil {
		return connector.Reply{}, err
	}
	reply, err := svc.Call(ctx, op)
	if err == nil && reply.Attempt() != op.Attempt() {
		// Stored, it would be replayed to every repeat of the key.
		err = fmt.Errorf("the reply is for attempt %q: %w", reply.Attempt(), connector.ErrBroken)
	}
	if err == nil {
		// The caller gets the answer even if it cannot be stored; a repeat of the
		// key is then told that the outcome is not known.
		_ = held.Finish(ctx, reply)
		return reply, nil
	}
	if !errors.Is(err, connector.ErrRefused) {
		return connector.Reply{}, classifier.NewUncertain("the endpoint did not answer", classifier.Cause(err))
	}
	if releaseErr := held.Release(ctx); releaseErr != nil {
		return connector.Reply{}, classifier.NewUncertain("the endpoint refused, and the claim could not be released", classifier.Cause(releaseErr))
	}
	return connector.Reply{}, callFault(err)
}

// callFault says that a call did not run where the endpoint's answer proves it.
func callFault(err error) error {
	if errors.Is(err, connector.ErrRefused) {
		return classifier.NewUnavailable("the endpoint refused the call", classifier.Cause(err))
	}
	return classifier.NewUncertain("the endpoint did not answer", classifier.Cause(err))
}
