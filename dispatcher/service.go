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
	ctx, cancel := withDeadline(ctx, p)
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

// postingResult is the result of a posting.
type postingResult struct {
	reply connector.Reply
	err   error
}

// post runs a non-idempotent call. Once started, the call continues after its
// caller has disconnected, so that the answer is stored for a repeat of the key.
func (d *Dispatcher) post(ctx context.Context, svc connector.Service, p *placer.Placed, held *claimer.Held, op connector.Operation) (Result, error) {
	if !d.startPosting(ctx) {
		p.CallDone()
		return nil, classifier.NewUnavailable("the node is shutting down or the request has ended")
	}
	ended := make(chan postingResult, 1)
	go func() {
		defer d.postings.Done()
		defer p.CallDone()
		postingCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.postingTimeout)
		defer cancel()
		reply, err := runPosting(postingCtx, svc, held, op)
		ended <- postingResult{reply, err}
	}()
	select {
	case end := <-ended:
		if end.err != nil {
			return nil, end.err
		}
		return &Replied{reply: end.reply}, nil
	case <-ctx.Done():
		return nil, callerGone(ctx)
	}
}

func (d *Dispatcher) startPosting(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || ctx.Err() != nil {
		return false
	}
	d.postings.Add(1)
	return true
}

// callerGone returns the fault of a request that ended while its posting was in
// flight.
func callerGone(ctx context.Context) error {
	const detail = "the request ended while the posting was in flight"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.NewExpired(detail, classifier.Cause(ctx.Err()), classifier.MayHaveRun())
	}
	return classifier.NewCanceled(detail, classifier.Cause(ctx.Err()), classifier.MayHaveRun())
}

// runPosting sends the call and finishes its claim. If the final state of the claim
// cannot be stored, the claimer retries the write in the background.
func runPosting(ctx context.Context, svc connector.Service, held *claimer.Held, op connector.Operation) (connector.Reply, error) {
	if err := held.MarkSent(ctx); err != nil {
		return connector.Reply{}, err
	}
	reply, err := svc.Call(ctx, op)
	if err == nil && reply.Attempt() != op.Attempt() {
		// If it were stored, it would be replayed to every repeat of the key.
		err = fmt.Errorf("the reply is for attempt %q: %w", reply.Attempt(), connector.ErrBroken)
	}
	if err == nil {
		// The caller gets the answer even if it cannot be stored; the outcome for
		// a repeat of the key is then unknown.
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

// callFault returns the fault of a failed call. It is not-run only if the endpoint
// refused the call.
func callFault(err error) error {
	if errors.Is(err, connector.ErrRefused) {
		return classifier.NewUnavailable("the endpoint refused the call", classifier.Cause(err))
	}
	return classifier.NewUncertain("the endpoint did not answer", classifier.Cause(err))
}
