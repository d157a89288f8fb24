package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/connector"
)

// peer is a drpc client of another node.
type peer struct {
	connOptions
	counters
	address     string
	dialTimeout time.Duration
	idleTimeout time.Duration
	runSlots    chan struct{} // semaphore of jobs
	callSlots   chan struct{} // semaphore of unary calls

	ctx    context.Context // canceled by Close
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[*pooledConn]struct{} // all open connections
	idle  []*pooledConn            // in order of their last use
}

// Dial returns a client of the node at an address. It opens connections on demand
// and reuses them.
func Dial(address string, opts ...DialOption) Peer {
	p := &peer{
		connOptions: newConnOptions(),
		address:     address,
		dialTimeout: defaultDialTimeout,
		idleTimeout: defaultIdleTimeout,
		runSlots:    make(chan struct{}, defaultPeerStreams),
		callSlots:   make(chan struct{}, maxPeerCalls),
		conns:       make(map[*pooledConn]struct{}),
	}
	for _, opt := range opts {
		opt.dial(p)
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// callError returns the error of a call that may have reached the peer. If one of
// the contexts has ended, the error wraps the error of that context.
func (p *peer) callError(err error, contexts ...context.Context) error {
	if errors.Is(err, errUnsent) {
		return requestTooLarge(err)
	}
	for _, ctx := range contexts {
		if ctx.Err() != nil {
			return fmt.Errorf("call %s: %w", p.address, ctx.Err())
		}
	}
	return fmt.Errorf("call %s: %w", p.address, connectionLost(opaque(err)))
}

// opaque returns an error with the text of err that does not wrap err: an io.EOF
// of the transport must not be taken for the end of a stream.
func opaque(err error) error { return &remoteError{text: err.Error()} }

// open starts a call. It sends the request and the end of the client's stream in
// one packet.
func (p *peer) open(ctx context.Context, c *pooledConn, method string, in request) (drpc.Stream, error) {
	stream, err := c.NewStream(ctx, method, p.codec)
	if err != nil {
		return nil, err
	}
	if err := stream.MsgSend(in, p.codec); err != nil {
		return nil, err
	}
	return stream, stream.CloseSend()
}

// streamEndTimeout limits the wait for the end of a stream after its last message
// has arrived.
const streamEndTimeout = 100 * time.Millisecond

// waitStreamEnd waits for the end of a stream, which the peer writes with the last
// message, and reports whether the connection can be reused. Canceling ctx before
// the end of the stream would close the connection, possibly during the next call.
func waitStreamEnd(ctx context.Context, cancel context.CancelFunc, stream drpc.Stream, c codec) bool {
	defer time.AfterFunc(streamEndTimeout, cancel).Stop()
	if err := stream.MsgRecv(&batch{}, c); !errors.Is(err, io.EOF) {
		return false
	}
	select {
	case <-stream.Context().Done():
		return true
	case <-ctx.Done():
		return false
	}
}

// callUnary makes a unary call.
func callUnary[T any](ctx context.Context, p *peer, method string, in request) (T, error) {
	var (
		zero T
		out  reply[T]
	)
	c, err := p.acquire(ctx, p.callSlots)
	if err != nil {
		return zero, err
	}
	if err := in.setDeadline(ctx); err != nil {
		p.release(c)
		return zero, err
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.open(inner, c, method, in)
	if err == nil {
		err = stream.MsgRecv(&out, p.codec)
	}
	if err != nil {
		p.discard(c)
		return zero, p.callError(err, ctx)
	}
	if waitStreamEnd(inner, cancel, stream, p.codec) {
		p.release(c)
	} else {
		p.discard(c)
	}
	if out.Failure != nil {
		return zero, decodeFailure(out.Failure)
	}
	return out.Value, nil
}

// State implements Handler.
func (p *peer) State(ctx context.Context, since uint64) (State, error) {
	d, err := callUnary[stateDocument](ctx, p, methodState, &stateRequest{Since: since})
	if err != nil {
		return State{}, err
	}
	return decodeState(&d, time.Now())
}

// Extend implements Handler.
func (p *peer) Extend(ctx context.Context, from string) (Extension, error) {
	d, err := callUnary[extensionDocument](ctx, p, methodExtend, &extendRequest{From: cbor.ByteString(from)})
	return decodeExtension(d), err
}

// ReleaseEngine implements Handler.
func (p *peer) ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error) {
	d, err := callUnary[[]modelDocument](ctx, p, methodReleaseEngine, &releaseEngineRequest{Engine: cbor.ByteString(engine), Token: token})
	return decodeModels(d), err
}

// LatestBundles implements Handler.
func (p *peer) LatestBundles(ctx context.Context) ([]byte, error) {
	return callUnary[[]byte](ctx, p, methodLatestBundles, &latestBundlesRequest{})
}

// BundlePart implements Handler.
func (p *peer) BundlePart(ctx context.Context, hash []byte) ([]byte, error) {
	return callUnary[[]byte](ctx, p, methodBundlePart, &bundlePartRequest{Hash: hash})
}

// ApplyMarks implements Handler.
func (p *peer) ApplyMarks(ctx context.Context, marks []byte) error {
	_, err := callUnary[struct{}](ctx, p, methodApplyMarks, &applyMarksRequest{Marks: marks})
	return err
}

// Run implements Handler. It returns when the first chunks or an error have
// arrived.
func (p *peer) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	c, err := p.acquire(ctx, p.runSlots)
	if err != nil {
		return nil, err
	}
	s := &remoteStream{peer: p, conn: c, caller: ctx, job: job}
	s.ctx, s.cancel = context.WithCancel(ctx)
	in := encodeJob(engine, job)
	if err := in.setDeadline(ctx); err != nil {
		s.finish(true)
		return nil, err
	}
	if s.stream, err = p.open(s.ctx, c, methodRun, in); err != nil {
		s.finish(false)
		return nil, p.callError(err, ctx)
	}
	if err := s.receive(ctx); err != nil {
		return nil, err
	}
	if len(s.batch.Texts) == 0 && s.batch.Failure != nil {
		err := decodeFailure(s.batch.Failure)
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// remoteStream is the client side of the stream of a job.
type remoteStream struct {
	peer   *peer
	conn   *pooledConn
	caller context.Context // passed to Run
	ctx    context.Context // of the drpc stream, derived from caller
	cancel context.CancelFunc
	stream drpc.Stream
	job    connector.Job
	batch  batch
	next   int   // index of the next chunk in batch
	err    error // returned by all further calls of Next
	once   sync.Once
}

// Next implements connector.Stream. If ctx ends, so does the stream.
func (s *remoteStream) Next(ctx context.Context) (connector.Chunk, error) {
	for s.err == nil {
		if s.next < len(s.batch.Texts) {
			s.next++
			return s.batch.chunk(s.next-1, s.job), nil
		}
		if s.batch.ends() {
			s.err = s.batch.end()
			_ = s.Close()
			break
		}
		s.err = s.receive(ctx)
	}
	return connector.Chunk{}, s.err
}

// receive reads the next message into the batch.
func (s *remoteStream) receive(ctx context.Context) error {
	if ctx.Done() != s.caller.Done() {
		defer context.AfterFunc(ctx, s.cancel)()
	}
	s.batch.reset()
	s.next = 0
	err := s.stream.MsgRecv(&s.batch, s.peer.codec)
	if err == nil {
		err = s.batch.check()
	}
	if err == nil {
		return nil
	}
	s.finish(false)
	return s.peer.callError(err, ctx, s.caller)
}

// Close implements connector.Stream. The connection is reused if the response is
// complete, and closed otherwise.
func (s *remoteStream) Close() error {
	s.once.Do(func() {
		s.end((s.batch.ends() || s.receiveEnd()) && waitStreamEnd(s.ctx, s.cancel, s.stream, s.peer.codec))
	})
	return nil
}

// receiveEnd waits for the end message of a response whose last chunk has arrived,
// and reports whether it arrived. The owner sends it when the engine's stream has
// ended, mostly in the same packet.
func (s *remoteStream) receiveEnd() bool {
	if !s.batch.Last {
		return false
	}
	defer time.AfterFunc(streamEndTimeout, s.cancel).Stop()
	var b batch
	err := s.stream.MsgRecv(&b, s.peer.codec)
	return err == nil && b.ends()
}

// finish ends the stream unless it has ended. The connection is reused if clean is
// set.
func (s *remoteStream) finish(clean bool) {
	s.once.Do(func() { s.end(clean) })
}

func (s *remoteStream) end(clean bool) {
	if clean {
		s.peer.release(s.conn)
	} else {
		s.peer.discard(s.conn)
	}
	s.cancel()
}
