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

// peer is another node over drpc.
type peer struct {
	link
	counters
	address  string
	dialTime time.Duration
	idleTime time.Duration
	runs     chan struct{} // slots of jobs
	calls    chan struct{} // slots of unary calls

	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[*pooled]struct{}
	idle  []*pooled
}

// Dial returns the peer at an address. It connects when it is first used and
// keeps connections for the next calls.
func Dial(address string, opts ...DialOption) Peer {
	p := &peer{
		link:     newLink(),
		address:  address,
		dialTime: defaultDialTime,
		idleTime: defaultIdleTime,
		runs:     make(chan struct{}, defaultPeerStreams),
		calls:    make(chan struct{}, peerCalls),
		conns:    make(map[*pooled]struct{}),
	}
	for _, opt := range opts {
		opt.dial(p)
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// explain returns the error of a call that may have reached the peer. Contexts
// tell why the call ended, if they did.
func (p *peer) explain(err error, contexts ...context.Context) error {
	if errors.Is(err, errUnsent) {
		return tooLargeToSend(err)
	}
	for _, ctx := range contexts {
		if ctx.Err() != nil {
			return fmt.Errorf("call %s: %w", p.address, ctx.Err())
		}
	}
	return fmt.Errorf("call %s: %w", p.address, lost(hidden(err)))
}

// hidden keeps the text of an error and not its identity: a transport that ends
// with io.EOF must not look like the end of a stream.
func hidden(err error) error { return &remoteError{text: err.Error()} }

// open sends a request and its end in one packet.
func (p *peer) open(ctx context.Context, c *pooled, method string, in request) (drpc.Stream, error) {
	stream, err := c.NewStream(ctx, method, p.codec)
	if err != nil {
		return nil, err
	}
	if err := stream.MsgSend(in, p.codec); err != nil {
		return nil, err
	}
	return stream, stream.CloseSend()
}

// drainTime bounds the wait for the end of a stream whose last message is here.
const drainTime = 100 * time.Millisecond

// finished waits for the end of a stream, which the peer writes with the last
// message, and reports whether the connection is free. Until then the end of
// ctx, which cancel causes, would close the connection, perhaps under the next
// call.
func finished(ctx context.Context, cancel context.CancelFunc, stream drpc.Stream, c codec) bool {
	defer time.AfterFunc(drainTime, cancel).Stop()
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

// exchange carries out a unary call.
func exchange[T any](ctx context.Context, p *peer, method string, in request) (T, error) {
	var (
		zero T
		out  reply[T]
	)
	c, err := p.take(ctx, p.calls)
	if err != nil {
		return zero, err
	}
	if err := in.carry(ctx); err != nil {
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
		return zero, p.explain(err, ctx)
	}
	if finished(inner, cancel, stream, p.codec) {
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
	d, err := exchange[stateDocument](ctx, p, methodState, &stateRequest{Since: since})
	if err != nil {
		return State{}, err
	}
	return decodeState(&d, time.Now())
}

// Extend implements Handler.
func (p *peer) Extend(ctx context.Context, from string) (Extension, error) {
	d, err := exchange[extensionDocument](ctx, p, methodExtend, &extendRequest{From: cbor.ByteString(from)})
	return decodeExtension(d), err
}

// ReleaseEngine implements Handler.
func (p *peer) ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error) {
	d, err := exchange[[]modelDocument](ctx, p, methodInUse, &inUseRequest{Engine: cbor.ByteString(engine), Token: token})
	return decodeModels(d), err
}

// LatestBundles implements Handler.
func (p *peer) LatestBundles(ctx context.Context) ([]byte, error) {
	return exchange[[]byte](ctx, p, methodLatest, &latestRequest{})
}

// BundlePart implements Handler.
func (p *peer) BundlePart(ctx context.Context, hash []byte) ([]byte, error) {
	return exchange[[]byte](ctx, p, methodPart, &partRequest{Hash: hash})
}

// ApplyMarks implements Handler.
func (p *peer) ApplyMarks(ctx context.Context, marks []byte) error {
	_, err := exchange[struct{}](ctx, p, methodCrash, &crashRequest{Marks: marks})
	return err
}

// Run implements Handler. It returns with the first chunks, or with the error
// that came instead.
func (p *peer) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	c, err := p.take(ctx, p.runs)
	if err != nil {
		return nil, err
	}
	s := &remoteStream{peer: p, conn: c, caller: ctx, job: job}
	s.ctx, s.cancel = context.WithCancel(ctx)
	in := encodeJob(engine, job)
	if err := in.carry(ctx); err != nil {
		s.finish(true)
		return nil, err
	}
	if s.stream, err = p.open(s.ctx, c, methodRun, in); err != nil {
		s.finish(false)
		return nil, p.explain(err, ctx)
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

// remoteStream is the caller's end of a job.
type remoteStream struct {
	peer   *peer
	conn   *pooled
	caller context.Context // of Run
	ctx    context.Context // of the drpc stream
	cancel context.CancelFunc
	stream drpc.Stream
	job    connector.Job
	batch  batch
	next   int // position in batch
	err    error
	once   sync.Once
}

// Next implements connector.Stream. The end of its context ends the stream.
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

// receive waits for the next message.
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
	return s.peer.explain(err, ctx, s.caller)
}

// Close implements connector.Stream. A complete answer leaves its connection for
// the next call.
func (s *remoteStream) Close() error {
	s.once.Do(func() { s.end((s.batch.ends() || s.ending()) && finished(s.ctx, s.cancel, s.stream, s.peer.codec)) })
	return nil
}

// ending waits for the end of an answer after its last chunk. The end follows
// when the owner's engine has sent it, mostly in the same packet.
func (s *remoteStream) ending() bool {
	if !s.batch.Last {
		return false
	}
	defer time.AfterFunc(drainTime, s.cancel).Stop()
	var b batch
	err := s.stream.MsgRecv(&b, s.peer.codec)
	return err == nil && b.ends()
}

// finish ends the stream after an error.
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
