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
	errClosed = eris.New("peer is closed")
	errCut    = eris.New("peer is cut off")
)

// local is a peer in the same process. Everything crosses as it would on the
// wire: errors and views in their wire form, and no context values.
type local struct {
	handler Handler
	latency time.Duration
	cut     *NetworkFault

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	mu     sync.Mutex // orders begin and Close
	calls  sync.WaitGroup

	sent     atomic.Int64
	received atomic.Int64
}

// LocalOption sets an optional property of a local peer.
type LocalOption func(*local)

// WithLatency sets the one-way latency of requests, answers and chunks. Chunks
// keep their distance from each other.
func WithLatency(d time.Duration) LocalOption { return func(l *local) { l.latency = d } }

// WithNetworkFault adds a switch that parts the peer from the caller.
func WithNetworkFault(c *NetworkFault) LocalOption { return func(l *local) { l.cut = c } }

// NewLocal returns a peer in the same process. It uses no sockets, so that it
// works under synctest.
func NewLocal(handler Handler, opts ...LocalOption) Peer {
	l := &local{handler: handler}
	for _, opt := range opts {
		opt(l)
	}
	if l.cut == nil {
		l.cut = NewNetworkFault()
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Transferred returns estimates from the encoded sizes.
func (l *local) Transferred() (sent, received int64) {
	return l.sent.Load(), l.received.Load()
}

// Close breaks running calls and waits for their goroutines.
func (l *local) Close() error {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.calls.Wait()
	return nil
}

// call is one exchange with the handler.
type call struct {
	local    *local
	caller   context.Context
	ctx      context.Context // of the handler
	cancel   context.CancelFunc
	stop     func() bool // detaches ctx from caller
	refusals int
}

// begin takes a request of some bytes to the handler. The call must be ended,
// and l.calls counts one goroutine that the caller must start.
func (l *local) begin(ctx context.Context, size int) (*call, error) {
	c := &call{local: l, caller: ctx}
	if err := c.connect(); err != nil {
		return nil, err
	}
	l.sent.Add(int64(size))
	remaining, bounded := remainingTime(ctx)
	if err := c.travel(ctx, time.Now().Add(l.latency)); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, lost(errClosed)
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

// remainingTime returns the time until the deadline of ctx, if it has one.
func remainingTime(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	return time.Until(deadline), true
}

// end cancels the handler's context once the message about it has arrived.
func (c *call) end() {
	if c.local.latency == 0 || c.ctx.Err() != nil {
		c.cancel()
		return
	}
	time.AfterFunc(c.local.latency, c.cancel)
}

// connect waits until the peer accepts a call.
func (c *call) connect() error {
	for {
		s := c.local.cut.load()
		switch {
		case c.local.ctx.Err() != nil:
			return fmt.Errorf("%w: %w", connector.ErrRefused, errClosed)
		case c.caller.Err() != nil:
			return c.caller.Err()
		case s.mode == cutRefusing:
			return fmt.Errorf("connect to peer: %w", connector.ErrRefused)
		case s.mode == cutRestored:
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

// travel returns at the time at which a message arrives.
func (c *call) travel(ctx context.Context, at time.Time) error {
	var arrived <-chan time.Time
	if d := time.Until(at); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		arrived = timer.C
	} else {
		arrived = past
	}
	_, _, err := wait(ctx, c, arrived)
	return err
}

var past = closedTimes()

func closedTimes() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}

// wait receives from ready unless the call ends first. Nothing arrives while
// the cut hangs.
func wait[T any](ctx context.Context, c *call, ready <-chan T) (v T, ok bool, err error) {
	for {
		s := c.local.cut.load()
		if s.refusals != c.refusals {
			return v, false, lost(errCut)
		}
		in := ready
		if s.mode == cutHanging {
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
			return v, false, lost(errClosed)
		}
	}
}

// answer is what a handler returned, and when its message arrives.
type answer[T any] struct {
	value   T
	failure *failureDocument
	ended   bool // the failure is the regular end of a stream
	at      time.Time
}

// invoke carries out a unary call.
func invoke[T any](ctx context.Context, l *local, request any, handle func(ctx context.Context) (T, error)) (T, error) {
	var zero T
	size, err := messageSize(request)
	if err != nil {
		return zero, tooLargeToSend(err)
	}
	c, err := l.begin(ctx, size)
	if err != nil {
		return zero, err
	}
	defer c.stop()
	defer c.end()
	answers := make(chan answer[T], 1)
	go func() {
		defer l.calls.Done()
		defer c.cancel()
		v, err := handle(c.ctx)
		answers <- answer[T]{value: v, failure: encodeFailure(err), at: time.Now().Add(l.latency)}
	}()
	a, _, err := wait(ctx, c, answers)
	if err != nil {
		return zero, err
	}
	if err := c.travel(ctx, a.at); err != nil {
		return zero, err
	}
	size, err = messageSize(a.value)
	l.received.Add(int64(size))
	if a.failure != nil {
		return zero, decodeFailure(a.failure)
	}
	if err != nil {
		return zero, tooLargeToAnswer(err)
	}
	return a.value, nil
}

// Sizes of what surrounds a message on the wire.
const (
	frameSize  = 5  // bytes of a drpc frame header
	invokeSize = 30 // bytes of the frames that name the method and end the call
	tokenSize  = 2  // bytes of a text's header
	batchSize  = 7  // bytes of a message of chunks without the texts
	jobSize    = 40 // bytes of a job's headers and numbers
)

// messageSize returns the bytes of a unary message, and an error for one that a
// connection would not carry.
func messageSize(v any) (int, error) {
	data, err := encoder.Marshal(v)
	return len(data) + frameSize + invokeSize, err
}

// State implements Handler.
func (l *local) State(ctx context.Context, since uint64) (State, error) {
	d, err := invoke(ctx, l, since, func(ctx context.Context) (*stateDocument, error) {
		s, err := l.handler.State(ctx, since)
		return encodeState(s, time.Now()), err
	})
	if err != nil {
		return State{}, err
	}
	return decodeState(d, time.Now())
}

// Extend implements Handler.
func (l *local) Extend(ctx context.Context, from string) (Extension, error) {
	return invoke(ctx, l, from, func(ctx context.Context) (Extension, error) {
		return l.handler.Extend(ctx, from)
	})
}

// ReleaseEngine implements Handler.
func (l *local) ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error) {
	return invoke(ctx, l, engine, func(ctx context.Context) ([]connector.Model, error) {
		return l.handler.ReleaseEngine(ctx, engine, token)
	})
}

// LatestBundles implements Handler.
func (l *local) LatestBundles(ctx context.Context) ([]byte, error) {
	return invoke(ctx, l, nil, l.handler.LatestBundles)
}

// BundlePart implements Handler.
func (l *local) BundlePart(ctx context.Context, hash []byte) ([]byte, error) {
	return invoke(ctx, l, hash, func(ctx context.Context) ([]byte, error) {
		return l.handler.BundlePart(ctx, hash)
	})
}

// ApplyMarks implements Handler.
func (l *local) ApplyMarks(ctx context.Context, marks []byte) error {
	_, err := invoke(ctx, l, marks, func(ctx context.Context) (bool, error) {
		return true, l.handler.ApplyMarks(ctx, marks)
	})
	return err
}

// window is how many chunks may wait for a slow reader before the job's stream
// is no longer read.
const window = 16

// Run implements Handler. It returns with the first chunk, or with the error that
// came instead.
func (l *local) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	size := invokeSize + frameSize + jobSize + len(engine) + len(job.Attempt()) + len(job.Request()) + len(job.Model().String()) + len(job.Prompt())
	if size > encoder.MaxSize {
		return nil, tooLargeToSend(encoder.ErrTooLarge)
	}
	c, err := l.begin(ctx, size)
	if err != nil {
		return nil, err
	}
	s := &localStream{call: c, items: make(chan answer[connector.Chunk], window)}
	go s.serve(engine, job)
	s.first, s.err = s.receive(ctx)
	l.received.Add(invokeSize)
	if s.err != nil || s.first.failure != nil && !s.first.ended {
		_ = s.Close()
		return nil, cmp.Or(s.err, decodeFailure(s.first.failure))
	}
	s.peeked = true
	return s, nil
}

// localStream is the caller's end of a job.
type localStream struct {
	call   *call
	items  chan answer[connector.Chunk]
	first  answer[connector.Chunk] // valid while peeked
	peeked bool
	sent   time.Time // of the latest chunk
	err    error
	once   sync.Once
}

// serve runs the job as the peer does.
func (s *localStream) serve(engine string, job connector.Job) {
	l := s.call.local
	defer l.calls.Done()
	defer s.call.cancel()
	defer close(s.items)
	stream, err := l.handler.Run(s.call.ctx, engine, job)
	if err != nil {
		s.items <- answer[connector.Chunk]{failure: encodeFailure(err), at: time.Now().Add(l.latency)}
		return
	}
	defer func() { _ = stream.Close() }()
	for err == nil {
		var chunk connector.Chunk
		chunk, err = stream.Next(s.call.ctx)
		a := answer[connector.Chunk]{value: chunk, failure: encodeFailure(err), ended: err == io.EOF, at: time.Now().Add(l.latency)}
		select {
		case s.items <- a:
		case <-s.call.ctx.Done():
			return
		}
	}
}

// Next implements connector.Stream. The end of its context ends the stream.
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

var errNoEnd = errors.New("stream ended before its end")

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

// receive waits for the next chunk or the end to arrive.
func (s *localStream) receive(ctx context.Context) (answer[connector.Chunk], error) {
	a, ok, err := wait(ctx, s.call, s.items)
	switch {
	case err != nil:
		return a, err
	case !ok && errors.Is(s.call.ctx.Err(), context.DeadlineExceeded):
		return a, fmt.Errorf("wait for peer: %w", s.call.ctx.Err())
	case !ok:
		return a, lost(errNoEnd)
	}
	return a, s.call.travel(ctx, a.at)
}

// count adds a chunk to the received bytes. Chunks of the same instant share a
// message.
func (s *localStream) count(a answer[connector.Chunk]) {
	size := tokenSize + len(a.value.Text())
	if !a.at.Equal(s.sent) {
		size += frameSize + batchSize
		s.sent = a.at
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
