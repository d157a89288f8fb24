package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/describer"
)

// Names of the methods on the wire.
const (
	methodRun    = "/forwarder/Run"
	methodState  = "/forwarder/State"
	methodExtend = "/forwarder/Extend"
	methodInUse  = "/forwarder/InUse"
	methodLatest = "/forwarder/Latest"
	methodPart   = "/forwarder/Part"
	methodCrash  = "/forwarder/Crash"
)

// service translates messages to calls of a Handler.
type service struct {
	handler    Handler
	codec      codec
	maxStreams int64
	streams    atomic.Int64
	closing    atomic.Bool
}

func describe(c codec) drpc.Description {
	return describer.New(c,
		describer.Stream(methodRun, (*service).run),
		describer.Unary(methodState, (*service).state),
		describer.Unary(methodExtend, (*service).extend),
		describer.Unary(methodInUse, (*service).inUse),
		describer.Unary(methodLatest, (*service).latest),
		describer.Unary(methodPart, (*service).part),
		describer.Unary(methodCrash, (*service).crash))
}

// answered returns the message for the result of a handler.
func answered[T any](v T, err error) (*reply[T], error) {
	if err != nil {
		return &reply[T]{Failure: encodeFailure(err)}, nil
	}
	return &reply[T]{Value: v}, nil
}

func (s *service) state(ctx context.Context, in *stateRequest) (*reply[stateDocument], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	state, err := s.handler.State(ctx, in.Since)
	return answered(*encodeState(state, time.Now()), err)
}

func (s *service) extend(ctx context.Context, in *extendRequest) (*reply[extensionDocument], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	e, err := s.handler.Extend(ctx, string(in.From))
	return answered(encodeExtension(e), err)
}

func (s *service) inUse(ctx context.Context, in *inUseRequest) (*reply[[]modelDocument], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	models, err := s.handler.ReleaseEngine(ctx, string(in.Engine), in.Token)
	return answered(encodeModels(models), err)
}

func (s *service) latest(ctx context.Context, in *latestRequest) (*reply[[]byte], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	return answered(s.handler.LatestBundles(ctx))
}

func (s *service) part(ctx context.Context, in *partRequest) (*reply[[]byte], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	return answered(s.handler.BundlePart(ctx, in.Hash))
}

func (s *service) crash(ctx context.Context, in *crashRequest) (*reply[struct{}], error) {
	ctx, cancel := in.limit(ctx)
	defer cancel()
	return answered(struct{}{}, s.handler.ApplyMarks(ctx, in.Marks))
}

// run starts a job and sends its chunks.
func (s *service) run(in *runRequest, stream drpc.Stream) error {
	out := sender{stream: stream, codec: s.codec}
	if err := s.admit(); err != nil {
		return out.fail(err)
	}
	defer s.streams.Add(-1)
	job, err := decodeJob(in)
	if err != nil {
		return out.fail(classifier.NewInvalid("job is malformed", classifier.Cause(err)))
	}
	ctx, cancel := in.limit(stream.Context())
	defer cancel()
	source, err := s.handler.Run(ctx, string(in.Engine), job)
	if err != nil {
		return out.fail(err)
	}
	items := make(chan item, window)
	go pump(ctx, source, items)
	err = out.forward(items, job)
	cancel()
	for range items { // until the pump has closed the source
	}
	return err
}

// admit takes a stream, which the caller gives back.
func (s *service) admit() error {
	if s.closing.Load() {
		return fmt.Errorf("node is stopping: %w", connector.ErrRefused)
	}
	if s.streams.Add(1) > s.maxStreams {
		s.streams.Add(-1)
		return fmt.Errorf("node runs %d streams: %w", s.maxStreams, connector.ErrRefused)
	}
	return nil
}

// item is a chunk or the error that ends its stream.
type item struct {
	chunk connector.Chunk
	err   error
}

// pump reads a source to its end, so that chunks can collect while a message is
// written.
func pump(ctx context.Context, source connector.Stream, items chan<- item) {
	defer close(items)
	defer func() { _ = source.Close() }()
	for {
		c, err := source.Next(ctx)
		select {
		case items <- item{chunk: c, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// sender writes the messages of a stream.
type sender struct {
	stream drpc.Stream
	codec  codec
	batch  batch
}

// forward sends items until the end of the stream. What is ready together goes
// into one message.
func (s *sender) forward(items <-chan item, job connector.Job) error {
	for {
		it, ok := <-items
		ended, err := s.gather(it, ok, items, job)
		if err != nil || ended {
			return err
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// gather fills the batch with an item and all that are ready behind it. It sends
// the batch that ends the stream, and batches that are full.
func (s *sender) gather(it item, ok bool, items <-chan item, job connector.Job) (ended bool, err error) {
	for {
		ended, full := s.batch.take(it, ok, job)
		if ended {
			return true, s.send()
		}
		if full {
			if err := s.flush(); err != nil {
				return false, err
			}
			continue
		}
		select {
		case it, ok = <-items:
		default:
			return false, nil
		}
	}
}

// fail ends the stream with an error.
func (s *sender) fail(err error) error {
	s.batch.Failure = encodeFailure(err)
	return s.send()
}

// send hands the batch to the stream. It is written with the message that closes
// the stream, which saves a packet.
func (s *sender) send() error { return s.stream.MsgSend(&s.batch, s.codec) }

// flusher is the part of a drpc stream that writes what was sent.
type flusher interface{ RawFlush() error }

var errNoFlush = errors.New("stream cannot be flushed")

// flush sends and writes the batch, and empties it.
func (s *sender) flush() error {
	f, ok := s.stream.(flusher)
	if !ok {
		return errNoFlush
	}
	if err := s.send(); err != nil {
		return err
	}
	s.batch.reset()
	return f.RawFlush()
}

// take adds an item, if there is one. It reports whether the stream ends with
// the batch, and whether the item needs another batch.
func (b *batch) take(it item, ok bool, job connector.Job) (ended, full bool) {
	switch {
	case !ok:
		b.Failure = encodeFailure(context.DeadlineExceeded)
		return true, false
	case it.err == io.EOF:
		b.End = true
		return true, false
	case it.err != nil:
		b.Failure = encodeFailure(it.err)
		return true, false
	}
	return false, !b.add(it.chunk, job)
}

func (b *batch) reset() {
	clear(b.Texts)
	*b = batch{Texts: b.Texts[:0]}
}
