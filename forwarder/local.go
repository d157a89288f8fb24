package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/encoder"
)

var (
	errClosed    = eris.New("peer is closed")
	errLinkFault = eris.New("simulated network fault broke the connection")
)

// localPeer is a peer in the same process. It behaves like a network connection:
// errors and views are converted to their wire form and back, and context values
// do not reach the handler.
type localPeer struct {
	handler Handler
	latency time.Duration
	fault   *NetworkFault

	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	mu     sync.Mutex // prevents begin from adding a call after Close
	calls  sync.WaitGroup

	sent     atomic.Int64
	received atomic.Int64
}

// LocalOption sets an option of a peer returned by NewLocal.
type LocalOption func(*localPeer)

// WithLatency sets the one-way latency of requests, responses and chunks. The
// time between chunks does not change.
func WithLatency(d time.Duration) LocalOption { return func(l *localPeer) { l.latency = d } }

// WithNetworkFault sets the simulated faults of the connection to the peer.
func WithNetworkFault(f *NetworkFault) LocalOption { return func(l *localPeer) { l.fault = f } }

// NewLocal returns a peer in the same process. It uses no sockets, so that it
// works under synctest.
func NewLocal(handler Handler, opts ...LocalOption) Peer {
	l := &localPeer{handler: handler}
	for _, opt := range opts {
		opt(l)
	}
	if l.fault == nil {
		l.fault = NewNetworkFault()
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Transferred returns estimates that are computed from encoded message sizes.
func (l *localPeer) Transferred() (sent, received int64) {
	return l.sent.Load(), l.received.Load()
}

// Close breaks running calls and waits for their goroutines.
func (l *localPeer) Close() error {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.calls.Wait()
	return nil
}

// call is one call of the handler.
type call struct {
	local    *localPeer
	caller   context.Context
	ctx      context.Context // passed to the handler
	cancel   context.CancelFunc
	stop     func() bool // ends the propagation of cancellation from caller to ctx
	refusals int         // value of linkState.refusals when the call began
}

// begin simulates sending a request of size bytes and returns when it has
// arrived. The caller must end the call, and must start one goroutine that calls
// l.calls.Done.
func (l *localPeer) begin(ctx context.Context, size int) (*call, error) {
	c := &call{local: l, caller: ctx}
	if err := c.connect(); err != nil {
		return nil, err
	}
	l.sent.Add(int64(size))
	remaining, bounded := remainingTime(ctx)
	if err := c.waitUntil(ctx, time.Now().Add(l.latency)); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, connectionLost(errClosed)
	}
	l.calls.Add(1)
	if bounded {
		c.ctx, c.cancel = context.WithTimeout(l.ctx, remaining)
	} else {
		c.ctx, c.cancel = context.WithCancel(l.ctx)
	}
	c.stop = context.AfterFunc(ctx, c.end)
	return c, nil
}

// remainingTime returns the time until the deadline of ctx, or false without one.
func remainingTime(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	return time.Until(deadline), true
}

// end cancels the handler's context after the latency of the message that
// cancels the call.
func (c *call) end() {
	if c.local.latency == 0 || c.ctx.Err() != nil {
		c.cancel()
		return
	}
	time.AfterFunc(c.local.latency, c.cancel)
}

// connect waits until the peer can be reached.
func (c *call) connect() error {
	for {
		s := c.local.fault.load()
		switch {
		case c.local.ctx.Err() != nil:
			return fmt.Errorf("%w: %w", connector.ErrRefused, errClosed)
		case c.caller.Err() != nil:
			return c.caller.Err()
		case s.mode == linkRefusing:
			return fmt.Errorf("connect to peer: %w", connector.ErrRefused)
		case s.mode == linkUp:
			c.refusals = s.refusals
			return nil
		}
		select {
		case <-s.changed:
		case <-c.caller.Done():
		case <-c.local.ctx.Done():
		}
	}
}

// waitUntil waits until the time at which a message arrives.
func (c *call) waitUntil(ctx context.Context, at time.Time) error {
	var arrived <-chan time.Time
	if d := time.Until(at); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		arrived = timer.C
	} else {
		arrived = elapsed
	}
	_, _, err := receiveFrom(ctx, c, arrived)
	return err
}

// elapsed is always ready to receive from, like the channel of an expired timer.
var elapsed = closedTimeChannel()

func closedTimeChannel() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// receiveFrom receives from ready unless the call ends first. It receives nothing
// while NetworkFault.Hang is in effect.
func receiveFrom[T any](ctx context.Context, c *call, ready <-chan T) (v T, ok bool, err error) {
	for {
		s := c.local.fault.load()
		if s.refusals != c.refusals {
			return v, false, connectionLost(errLinkFault)
		}
		in := ready
		if s.mode == linkHanging {
			in = nil
		}
		select {
		case v, ok = <-in:
			return v, ok, nil
		case <-s.changed:
		case <-ctx.Done():
			return v, false, fmt.Errorf("wait for peer: %w", ctx.Err())
		case <-c.caller.Done():
			return v, false, fmt.Errorf("wait for peer: %w", c.caller.Err())
		case <-c.local.ctx.Done():
			return v, false, connectionLost(errClosed)
		}
	}
}

// result is what a handler returned, with the time at which it arrives at the
// caller.
type result[T any] struct {
	value   T
	failure *failureDocument
	ended   bool // the failure is the io.EOF that ends a stream
	at      time.Time
}

// callLocal makes a unary call.
func callLocal[T any](ctx context.Context, l *localPeer, request any, handle func(ctx context.Context) (T, error)) (T, error) {
	var zero T
	size, err := messageSize(request)
	if err != nil {
		return zero, requestTooLarge(err)
	}
	c, err := l.begin(ctx, size)
	if err != nil {
		return zero, err
	}
	defer c.stop()
	defer c.end()
	results := make(chan result[T], 1)
	go func() {
		defer l.calls.Done()
		defer c.cancel()
		v, err := handle(c.ctx)
		results <- result[T]{value: v, failure: encodeFailure(err), at: time.Now().Add(l.latency)}
	}()
	a, _, err := receiveFrom(ctx, c, results)
	if err != nil {
		return zero, err
	}
	if err := c.waitUntil(ctx, a.at); err != nil {
		return zero, err
	}
	size, err = messageSize(a.value)
	l.received.Add(int64(size))
	if a.failure != nil {
		return zero, decodeFailure(a.failure)
	}
	if err != nil {
		return zero, responseTooLarge(err)
	}
	return a.value, nil
}

// Estimated sizes of the encoding overhead of messages.
const (
	frameHeaderSize = 5  // drpc frame header
	invokeOverhead  = 30 // frames with the method name and the end of the call
	textHeaderSize  = 2  // header of one text
	batchOverhead   = 7  // message of chunks without the texts
	jobOverhead     = 40 // headers and numbers of a job
)

// messageSize returns the size of a unary message in bytes, and an error if it
// exceeds the maximum message size.
func messageSize(v any) (int, error) {
	data, err := encoder.Marshal(v)
	return len(data) + frameHeaderSize + invokeOverhead, err
}

// State implements Handler.
func (l *localPeer) State(ctx context.Context, since uint64) (State, error) {
	d, err := callLocal(ctx, l, since, func(ctx context.Context) (*stateDocument, error) {
		s, err := l.handler.State(ctx, since)
		return encodeState(s, time.Now()), err
	})
	if err != nil {
		return State{}, err
	}
	return decodeState(d, time.Now())
}

// Extend implements Handler.
func (l *localPeer) Extend(ctx context.Context, from string) (Extension, error) {
	return callLocal(ctx, l, from, func(ctx context.Context) (Extension, error) {
		return l.handler.Extend(ctx, from)
	})
}

// ReleaseEngine implements Handler.
func (l *localPeer) ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error) {
	return callLocal(ctx, l, engine, func(ctx context.Context) ([]connector.Model, error) {
		return l.handler.ReleaseEngine(ctx, engine, token)
	})
}

// LatestBundles implements Handler.
func (l *localPeer) LatestBundles(ctx context.Context) ([]byte, error) {
	return callLocal(ctx, l, nil, l.handler.LatestBundles)
}

// BundlePart implements Handler.
func (l *localPeer) BundlePart(ctx context.Context, hash []byte) ([]byte, error) {
	return callLocal(ctx, l, hash, func(ctx context.Context) ([]byte, error) {
		return l.handler.BundlePart(ctx, hash)
	})
}

// ApplyMarks implements Handler.
func (l *localPeer) ApplyMarks(ctx context.Context, marks []byte) error {
	_, err := callLocal(ctx, l, marks, func(ctx context.Context) (bool, error) {
		return true, l.handler.ApplyMarks(ctx, marks)
	})
	return err
}

// streamBuffer is the number of chunks that are buffered for a slow reader. When
// the buffer is full, the job's stream is not read further.
const streamBuffer = 16

// Run implements Handler. It returns when the first chunk or an error has arrived.
func (l *localPeer) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	size := invokeOverhead + frameHeaderSize + jobOverhead + len(engine) + len(job.Attempt()) + len(job.Request()) + len(job.Model().String()) + len(job.Prompt())
	if size > encoder.MaxSize {
		return nil, requestTooLarge(encoder.ErrTooLarge)
	}
	c, err := l.begin(ctx, size)
	if err != nil {
		return nil, err
	}
	s := &localStream{call: c, items: make(chan result[connector.Chunk], streamBuffer)}
	go s.serve(engine, job)
	s.first, s.err = s.receive(ctx)
	l.received.Add(invokeOverhead)
	if s.err != nil || s.first.failure != nil && !s.first.ended {
		_ = s.Close()
		return nil, cmp.Or(s.err, decodeFailure(s.first.failure))
	}
	s.peeked = true
	return s, nil
}

// localStream is the client side of the stream of a job.
type localStream struct {
	call        *call
	items       chan result[connector.Chunk]
	first       result[connector.Chunk] // valid while peeked
	peeked      bool                    // first has not been returned by Next yet
	lastArrival time.Time               // arrival of the latest counted chunk
	err         error                   // returned by all further calls of Next
	once        sync.Once
}

// serve runs the job on the handler and sends the chunks to items.
func (s *localStream) serve(engine string, job connector.Job) {
	l := s.call.local
	defer l.calls.Done()
	defer s.call.cancel()
	defer close(s.items)
	stream, err := l.handler.Run(s.call.ctx, engine, job)
	if err != nil {
		s.items <- result[connector.Chunk]{failure: encodeFailure(err), at: time.Now().Add(l.latency)}
		return
	}
	defer func() { _ = stream.Close() }()
	for err == nil {
		var chunk connector.Chunk
		chunk, err = stream.Next(s.call.ctx)
		a := result[connector.Chunk]{value: chunk, failure: encodeFailure(err), ended: err == io.EOF, at: time.Now().Add(l.latency)}
		select {
		case s.items <- a:
		case <-s.call.ctx.Done():
			return
		}
	}
}

// Next implements connector.Stream. If ctx ends, so does the stream.
func (s *localStream) Next(ctx context.Context) (connector.Chunk, error) {
	if s.err != nil {
		return connector.Chunk{}, s.err
	}
	chunk, err := s.next(ctx)
	if err != nil {
		s.err = err
		_ = s.Close()
	}
	return chunk, err
}

var errNoEndMarker = errors.New("stream ended without io.EOF or an error")

func (s *localStream) next(ctx context.Context) (connector.Chunk, error) {
	a := s.first
	if !s.peeked {
		var err error
		if a, err = s.receive(ctx); err != nil {
			return connector.Chunk{}, err
		}
	}
	s.peeked = false
	s.count(a)
	if a.failure != nil {
		return connector.Chunk{}, decodeFailure(a.failure)
	}
	return a.value, nil
}

// receive waits for the next chunk or the end of the stream.
func (s *localStream) receive(ctx context.Context) (result[connector.Chunk], error) {
	a, ok, err := receiveFrom(ctx, s.call, s.items)
	switch {
	case err != nil:
		return a, err
	case !ok && errors.Is(s.call.ctx.Err(), context.DeadlineExceeded):
		return a, fmt.Errorf("wait for peer: %w", s.call.ctx.Err())
	case !ok:
		return a, connectionLost(errNoEndMarker)
	}
	return a, s.call.waitUntil(ctx, a.at)
}

// count adds a chunk to the received bytes. Chunks that arrive at the same time
// count as one message.
func (s *localStream) count(a result[connector.Chunk]) {
	size := textHeaderSize + len(a.value.Text())
	if !a.at.Equal(s.lastArrival) {
		size += frameHeaderSize + batchOverhead
		s.lastArrival = a.at
	}
	s.call.local.received.Add(int64(size))
}

// Close implements connector.Stream.
func (s *localStream) Close() error {
	s.once.Do(func() {
		s.call.stop()
		s.call.end()
	})
	return nil
}
