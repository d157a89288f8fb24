package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/viewer"
)

var reading = connector.NewModel("base-7b", "reading", "v3")

func jobOf(tokens int) connector.Job {
	return connector.NewJob("attempt-1", "request-1", reading, "read \xff this", tokens,
		connector.ResumeAt(2), connector.WithSeed(1<<63), connector.WithPriority(-1), connector.Suspect())
}

// stubHandler is a Handler that returns the values that a test sets.
type stubHandler struct {
	run    func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error)
	err    error // returned by every method
	state  forwarder.State
	blob   []byte
	called chan string // receives the name and the arguments of each call, if set
}

func (h *stubHandler) record(format string, args ...any) {
	if h.called != nil {
		h.called <- fmt.Sprintf(format, args...)
	}
}

func (h *stubHandler) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	h.record("run %s %+v", engine, job)
	if h.err != nil || h.run == nil {
		return nil, h.err
	}
	return h.run(ctx, engine, job)
}

func (h *stubHandler) State(_ context.Context, since uint64) (forwarder.State, error) {
	h.record("state %d", since)
	return h.state, h.err
}

func (h *stubHandler) Extend(_ context.Context, from string) (forwarder.Extension, error) {
	h.record("extend %s", from)
	return forwarder.NewExtension(true, 7*time.Second, 5), h.err
}

func (h *stubHandler) ReleaseEngine(_ context.Context, engine string, token uint64) ([]connector.Model, error) {
	h.record("release engine %s %d", engine, token)
	return []connector.Model{reading}, h.err
}

func (h *stubHandler) LatestBundles(context.Context) ([]byte, error) {
	h.record("latest bundles")
	return h.blob, h.err
}

func (h *stubHandler) BundlePart(_ context.Context, hash []byte) ([]byte, error) {
	h.record("bundle part %x", hash)
	return h.blob, h.err
}

func (h *stubHandler) ApplyMarks(_ context.Context, marks []byte) error {
	h.record("apply marks %x", marks)
	return h.err
}

// tokenStream is a stream that returns n chunks and then err.
type tokenStream struct {
	job    connector.Job
	next   int
	n      int
	err    error
	pause  time.Duration     // delay before each chunk
	text   string            // prefix of the text of every chunk
	fixed  []connector.Chunk // returned instead of n chunks
	turn   chan struct{}     // received from before each chunk, if set
	block  bool              // after the chunks, block until the context ends
	read   atomic.Int64      // number of chunks read
	closed chan struct{}     // receives on Close
}

func newTokenStream(n int, err error) *tokenStream {
	return &tokenStream{n: n, err: err, closed: make(chan struct{}, 8)}
}

func (s *tokenStream) start(_ context.Context, _ string, job connector.Job) (connector.Stream, error) {
	s.job = job
	return s, nil
}

func (s *tokenStream) Next(ctx context.Context) (connector.Chunk, error) {
	if s.next < len(s.fixed) {
		s.next++
		return s.fixed[s.next-1], nil
	}
	if s.next >= s.n {
		if s.block {
			<-ctx.Done()
			return connector.Chunk{}, ctx.Err()
		}
		return connector.Chunk{}, s.err
	}
	if s.turn != nil {
		select {
		case <-s.turn:
		case <-ctx.Done():
			return connector.Chunk{}, ctx.Err()
		}
	}
	time.Sleep(s.pause)
	s.next++
	s.read.Add(1)
	return s.chunk(s.next - 1), nil
}

func (s *tokenStream) chunk(i int) connector.Chunk {
	return connector.NewChunk(s.job.Attempt(), s.job.Model(), i, s.text+"\xff", i == s.n-1)
}

func (s *tokenStream) Close() error {
	s.closed <- struct{}{}
	return nil
}

// transport returns a peer that calls a handler. stop terminates the handler's node
// immediately.
type transport func(t testing.TB, h forwarder.Handler) (p forwarder.Peer, stop func())

// forEachTransport runs a test with every transport.
func forEachTransport(t *testing.T, test func(t *testing.T, connect transport)) {
	for name, connect := range transports {
		t.Run(name, func(t *testing.T) { test(t, connect) })
	}
}

var transports = map[string]transport{
	"local": func(t testing.TB, h forwarder.Handler) (forwarder.Peer, func()) {
		fault := forwarder.NewNetworkFault()
		p := forwarder.NewLocal(h, forwarder.WithNetworkFault(fault))
		t.Cleanup(func() { _ = p.Close() })
		return p, fault.Refuse
	},
	"drpc": func(t testing.TB, h forwarder.Handler) (forwarder.Peer, func()) {
		return dial(t, h, nil, nil)
	},
}

// dial starts a server on a loopback port and returns a peer that connects to it.
func dial(t testing.TB, h forwarder.Handler, so []forwarder.ServerOption, do []forwarder.DialOption) (forwarder.Peer, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := forwarder.NewServer(h, so...)
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), listener) }()
	p := forwarder.Dial(listener.Addr().String(), do...)
	stop := func() { _ = s.Abort() }
	t.Cleanup(func() {
		_ = p.Close()
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return p, stop
}

// Guards against arguments or results that change in transit.
func TestMethods(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		h := &stubHandler{blob: []byte{0, 1, 0xff}, called: make(chan string, 1)}
		p, _ := connect(t, h)
		ctx := t.Context()
		ext, err := p.Extend(ctx, "node-2")
		is.NoErr(err)
		is.Equal(ext, forwarder.NewExtension(true, 7*time.Second, 5))
		is.Equal(<-h.called, "extend node-2")
		used, err := p.ReleaseEngine(ctx, "engine-1", 1<<60)
		is.NoErr(err)
		is.Equal(used, []connector.Model{reading})
		is.Equal(<-h.called, fmt.Sprintf("release engine engine-1 %d", 1<<60))
		latest, err := p.LatestBundles(ctx)
		is.NoErr(err)
		is.Equal(latest, h.blob)
		is.Equal(<-h.called, "latest bundles")
		part, err := p.BundlePart(ctx, []byte{0xab})
		is.NoErr(err)
		is.Equal(part, h.blob)
		is.Equal(<-h.called, "bundle part ab")
		is.NoErr(p.ApplyMarks(ctx, []byte{1, 2}))
		is.Equal(<-h.called, "apply marks 0102")
		sent, received := p.Transferred()
		is.True(sent > 0 && received > 0)
	})
}

// Guards against views that arrive with a wrong age or without some of their
// fields.
func TestState(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		models := map[connector.Model]viewer.Residency{
			reading: viewer.Resident,
			connector.NewModel("base-7b", "notes", "v1"): viewer.Loading,
		}
		full := viewer.NewView("engine-1", "node-1", models, 4, 8, 3, 2, time.Now().Add(-time.Minute), true,
			viewer.WithLoadCapacity(2, 0.25), viewer.WithPrefixes(viewer.NewPrefixes([]uint64{1, 1 << 63})))
		bare := viewer.NewView("engine-2", "", nil, 0, 0, 0, 0, time.Now().Add(time.Hour), false)
		h := &stubHandler{state: forwarder.NewState(9, true, []*viewer.View{full, bare}), called: make(chan string, 1)}
		p, _ := connect(t, h)
		s, err := p.State(t.Context(), 8)
		is.NoErr(err)
		is.Equal(<-h.called, "state 8")
		is.Equal(s.Version(), uint64(9))
		is.True(s.Full())
		is.Equal(len(s.Views()), 2)
		v := s.Views()[0]
		is.Equal(v.Models(), models)
		is.Equal([]any{v.Engine(), v.Owner(), v.Slots(), v.Batch(), v.Running(), v.Queued(), v.Accepts(), v.LoadCapacity(), v.EvictionCost()},
			[]any{"engine-1", "node-1", 4, 8, 3, 2, true, 2, 0.25})
		is.Equal(v.Prefixes().Hashes(), []uint64{1, 1 << 63})
		is.True(v.ReceivedAt().Sub(full.ReceivedAt()).Abs() < 10*time.Second) // the age is sent, not the time
		is.True(!s.Views()[1].ReceivedAt().After(time.Now()))
		is.True(!s.Views()[1].Accepts())
	})
}

var sentinels = []error{
	connector.ErrNotResident, connector.ErrRefused, connector.ErrFenced, connector.ErrBroken,
	storer.ErrNotFound, io.EOF, context.Canceled, context.DeadlineExceeded,
}

func errorCases() []error {
	all := []error{
		errors.New("plain \xff"),
		fmt.Errorf("start: %w", classifier.NewUnavailable("no slot", classifier.Cause(connector.ErrNotResident))),
		classifier.NewUnavailable("gone", classifier.MayHaveRun()),
		classifier.NewOverloaded("full", classifier.RetryAfter(1500*time.Millisecond)),
		classifier.NewInvalid("a"), classifier.NewTooLarge("b"), classifier.NewUnauthorized("c"),
		classifier.NewNotOffered("d"), classifier.NewKeyMissing("e"), classifier.NewKeyReused("f"),
		classifier.NewInProgress("g"), classifier.NewWithheld("h"), classifier.NewExpired("i"),
		classifier.NewCanceled("j"), classifier.NewStopped("k"), classifier.NewUncertain("l"),
	}
	for _, kind := range sentinels {
		all = append(all, kind, fmt.Errorf("engine %q: %w", "e", kind))
	}
	return all
}

// sameError checks that an error is equivalent to the one that the handler
// returned.
func sameError(is *is.I, got, want error) {
	is.Helper()
	is.True(got != nil)
	for _, kind := range sentinels {
		is.Equal(errors.Is(got, kind), errors.Is(want, kind))
	}
	var g, w classifier.Fault
	is.Equal(errors.As(got, &g), errors.As(want, &w))
	if w == nil {
		return
	}
	is.Equal(fmt.Sprintf("%T", g), fmt.Sprintf("%T", w))
	is.Equal(g.Outcome(), w.Outcome())
	is.Equal(g.Detail(), w.Detail())
	is.Equal(g.RetryAfter(), w.RetryAfter())
}

// Guards against errors that lose their identity in transit: a caller would retry
// jobs that have run, or give up on jobs that have not.
func TestFailures(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		h := &stubHandler{}
		p, _ := connect(t, h)
		for _, want := range errorCases() {
			t.Run(want.Error(), func(t *testing.T) {
				is := is.New(t)
				ctx := t.Context()
				h.err = want
				_, err := p.State(ctx, 0)
				sameError(is, err, want)
				_, err = p.BundlePart(ctx, nil)
				sameError(is, err, want)
				sameError(is, p.ApplyMarks(ctx, nil), want)
				_, err = p.Run(ctx, "e", jobOf(1))
				sameError(is, err, want)
				h.err = nil
				h.run = newTokenStream(3, want).start
				s, err := p.Run(ctx, "e", jobOf(3))
				is.NoErr(err)
				for i := range 3 {
					chunk, err := s.Next(ctx)
					is.NoErr(err)
					is.Equal(chunk.Index(), i)
				}
				_, err = s.Next(ctx)
				sameError(is, err, want)
				_, again := s.Next(ctx)
				is.Equal(again, err)
				is.NoErr(s.Close())
			})
		}
	})
}
