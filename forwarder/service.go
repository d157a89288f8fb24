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

// Method names on the wire.
const (
	methodRun           = "/forwarder/Run"
	methodState         = "/forwarder/State"
	methodExtend        = "/forwarder/Extend"
	methodReleaseEngine = "/forwarder/InUse"
	methodLatestBundles = "/forwarder/Latest"
	methodBundlePart    = "/forwarder/Part"
	methodApplyMarks    = "/forwarder/Crash"
)

// service decodes requests, calls the Handler and encodes its results.
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
		describer.Unary(methodReleaseEngine, (*service).releaseEngine),
		describer.Unary(methodLatestBundles, (*service).latestBundles),
		describer.Unary(methodBundlePart, (*service).bundlePart),
		describer.Unary(methodApplyMarks, (*service).applyMarks))
}

// newReply returns the response message for the result of a handler.
func newReply[T any](v T, err error) (*reply[T], error) {
	if err != nil {
		return &reply[T]{Failure: encodeFailure(err)}, nil
	}
	return &reply[T]{Value: v}, nil
}

func (s *service) state(ctx context.Context, in *stateRequest) (*reply[stateDocument], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	state, err := s.handler.State(ctx, in.Since)
	return newReply(*encodeState(state, time.Now()), err)
}

func (s *service) extend(ctx context.Context, in *extendRequest) (*reply[extensionDocument], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	e, err := s.handler.Extend(ctx, string(in.From))
	return newReply(encodeExtension(e), err)
}

func (s *service) releaseEngine(ctx context.Context, in *releaseEngineRequest) (*reply[[]modelDocument], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	models, err := s.handler.ReleaseEngine(ctx, string(in.Engine), in.Token)
	return newReply(encodeModels(models), err)
}

func (s *service) latestBundles(ctx context.Context, in *latestBundlesRequest) (*reply[[]byte], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	return newReply(s.handler.LatestBundles(ctx))
}

func (s *service) bundlePart(ctx context.Context, in *bundlePartRequest) (*reply[[]byte], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	return newReply(s.handler.BundlePart(ctx, in.Hash))
}

func (s *service) applyMarks(ctx context.Context, in *applyMarksRequest) (*reply[struct{}], error) {
	ctx, cancel := in.applyDeadline(ctx)
	defer cancel()
	return newReply(struct{}{}, s.handler.ApplyMarks(ctx, in.Marks))
}

// run starts a job and sends its chunks.
func (s *service) run(in *runRequest, stream drpc.Stream) error {
	out := sender{stream: stream, codec: s.codec}
	if err := s.acquireStream(); err != nil {
		return out.fail(err)
	}
	defer s.streams.Add(-1)
	job, err := decodeJob(in)
	if err != nil {
		return out.fail(classifier.NewInvalid("job is malformed", classifier.Cause(err)))
	}
	ctx, cancel := in.applyDeadline(stream.Context())
	defer cancel()
	source, err := s.handler.Run(ctx, string(in.Engine), job)
	if err != nil {
		return out.fail(err)
	}
	items := make(chan item, streamBuffer)
	go pump(ctx, source, items)
	err = out.forward(items, job)
	cancel()
	for range items { // wait until pump has closed the source
	}
	return err
}

// acquireStream counts a running stream, or returns an error if the server is
// closing or has reached its maximum. The caller must decrement s.streams when the
// stream has ended.
func (s *service) acquireStream() error {
	if s.closing.Load() {
		return fmt.Errorf("node is stopping: %w", connector.ErrRefused)
	}
	if s.streams.Add(1) > s.maxStreams {
		s.streams.Add(-1)
		return fmt.Errorf("node already runs the maximum of %d streams: %w", s.maxStreams, connector.ErrRefused)
	}
	return nil
}

// item is a chunk or the error that ends its stream.
type item struct {
	chunk connector.Chunk
	err   error
}

// pump reads a source to its end into items, so that chunks are collected while a
// message is being written.
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

// forward sends items until the end of the stream. Items that are ready at the
// same time are sent in one message.
func (s *sender) forward(items <-chan item, job connector.Job) error {
	for {
		it, ok := <-items
		ended, err := s.fillBatch(it, ok, items, job)
		if err != nil || ended {
			return err
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// fillBatch adds an item and all further items that are ready to the batch. It
// sends full batches and the batch that ends the stream.
func (s *sender) fillBatch(it item, ok bool, items <-chan item, job connector.Job) (ended bool, err error) {
	for {
		ended, full := s.batch.addItem(it, ok, job)
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

// send passes the batch to the stream without flushing it. The last batch is
// written together with the message that closes the stream, which saves a packet.
func (s *sender) send() error { return s.stream.MsgSend(&s.batch, s.codec) }

// flusher is implemented by drpc streams that write buffered messages on request.
type flusher interface{ RawFlush() error }

var errNoFlush = errors.New("stream cannot be flushed")

// flush sends the batch, resets it and flushes the stream.
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

// addItem adds an item to the batch. ok is false if items was closed because the
// context ended. It reports whether the stream ends with this batch, and whether
// the item needs another batch.
func (b *batch) addItem(it item, ok bool, job connector.Job) (ended, full bool) {
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
