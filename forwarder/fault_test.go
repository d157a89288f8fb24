package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/forwarder"
)

// read returns the chunks of a stream and the error at its end.
func read(ctx context.Context, s connector.Stream) (chunks []connector.Chunk, err error) {
	for {
		c, err := s.Next(ctx)
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, c)
	}
}

// mustReceive receives from c and fails the test if nothing arrives in 10 s.
func mustReceive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s did not happen", what)
	}
	return v
}

// Guards against a job or chunk that changes in transit. Chunks of other attempts
// must arrive unchanged too, because the verifier has to detect them.
func TestRun(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		foreign := connector.NewChunk("attempt-9", connector.NewModel("b", "a", "v"), -4, "x", true)
		source := newTokenStream(0, io.EOF)
		sent := []connector.Chunk{
			connector.NewChunk("attempt-1", reading, 2, "a\xff", false),
			connector.NewChunk("attempt-1", reading, 3, "", false),
			foreign,
			connector.NewChunk("attempt-1", reading, 7, strings.Repeat("b", 40<<10), false),
			connector.NewChunk("attempt-1", reading, 8, strings.Repeat("c", 40<<10), true),
			connector.NewChunk("attempt-1", reading, 9, "after the last", false),
		}
		source.fixed = sent
		h := &stubHandler{run: source.start, called: make(chan string, 1)}
		p, _ := connect(t, h)
		s, err := p.Run(t.Context(), "engine-1", jobOf(3))
		is.NoErr(err)
		is.Equal(mustReceive(t, h.called, "the call"), fmt.Sprintf("run engine-1 %+v", jobOf(3)))
		got, err := read(t.Context(), s)
		is.Equal(err, io.EOF)
		is.Equal(got, sent)
		is.NoErr(s.Close())
		is.NoErr(s.Close())
	})
}

// Guards against jobs that keep an engine busy after their caller has canceled
// them.
func TestCancel(t *testing.T) {
	tests := map[string]func(s connector.Stream, cancel context.CancelFunc, p forwarder.Peer){
		"close":           func(s connector.Stream, _ context.CancelFunc, _ forwarder.Peer) { _ = s.Close() },
		"context of run":  func(_ connector.Stream, cancel context.CancelFunc, _ forwarder.Peer) { cancel() },
		"peer is closed":  func(_ connector.Stream, _ context.CancelFunc, p forwarder.Peer) { _ = p.Close() },
		"context of next": func(s connector.Stream, _ context.CancelFunc, _ forwarder.Peer) { cancelNext(s) },
	}
	forEachTransport(t, func(t *testing.T, connect transport) {
		for name, end := range tests {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				source := newTokenStream(1, nil)
				source.block = true
				p, _ := connect(t, &stubHandler{run: source.start})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s, err := p.Run(ctx, "e", jobOf(9))
				is.NoErr(err)
				_, err = s.Next(ctx)
				is.NoErr(err)
				end(s, cancel, p)
				mustReceive(t, source.closed, "the end of the job")
				is.NoErr(s.Close())
			})
		}
	})
}

func cancelNext(s connector.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, _ = s.Next(ctx)
}

// Guards against a caller that waits past its deadline, and against a deadline
// that does not reach the owner.
func TestDeadline(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		remaining := make(chan time.Duration, 1)
		source := newTokenStream(1, nil)
		source.block = true
		p, _ := connect(t, &stubHandler{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
			deadline, _ := ctx.Deadline()
			remaining <- time.Until(deadline)
			return source.start(ctx, engine, job)
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		s, err := p.Run(ctx, "e", jobOf(9))
		is.NoErr(err)
		atOwner := mustReceive(t, remaining, "the start")
		is.True(atOwner > 0 && atOwner <= 300*time.Millisecond)
		_, err = read(t.Context(), s) // a context without a deadline
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!errors.Is(err, connector.ErrBroken))
		mustReceive(t, source.closed, "the end of the job")

		<-ctx.Done() // the owner's deadline may fire first
		_, err = p.State(ctx, 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = p.Run(ctx, "e", jobOf(1))
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

// Guards against the crash of a node being reported as the end of a response, or
// as a job that was not started.
func TestNodeGone(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		source := newTokenStream(2, nil)
		source.block = true
		p, stop := connect(t, &stubHandler{run: source.start})
		s, err := p.Run(t.Context(), "e", jobOf(9))
		is.NoErr(err)
		for range 2 {
			_, err = s.Next(t.Context())
			is.NoErr(err)
		}
		stop()
		_, err = s.Next(t.Context())
		is.True(errors.Is(err, connector.ErrBroken))
		is.True(!errors.Is(err, connector.ErrRefused))
		is.True(!errors.Is(err, io.EOF))
		is.NoErr(s.Close())
		mustReceive(t, source.closed, "the end of the job")

		_, err = p.Run(t.Context(), "e", jobOf(1))
		is.True(errors.Is(err, connector.ErrRefused))
		_, err = p.Extend(t.Context(), "n")
		is.True(errors.Is(err, connector.ErrRefused))
		is.NoErr(p.Close())
		_, err = p.LatestBundles(t.Context())
		is.True(errors.Is(err, connector.ErrRefused))
	})
}

// Guards against an owner that buffers a whole response in memory for a slow
// caller, and against chunks that are lost because they are read late.
func TestSlowReader(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		const n = 4000
		source := newTokenStream(n, io.EOF)
		source.text = strings.Repeat("x", 8<<10) // 32 MB in all, more than sockets hold
		p, _ := connect(t, &stubHandler{run: source.start})
		s, err := p.Run(t.Context(), "e", jobOf(n))
		is.NoErr(err)
		time.Sleep(200 * time.Millisecond)
		is.True(source.read.Load() < n)
		chunks, err := read(t.Context(), s)
		is.Equal(err, io.EOF)
		is.Equal(len(chunks), n)
		for i, chunk := range chunks {
			is.Equal(chunk.Index(), i)
		}
		is.True(chunks[n-1].Last())
	})
}

// Guards against concurrent streams that receive each other's chunks, and against
// data races.
func TestParallel(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		p, _ := connect(t, &stubHandler{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
			return newTokenStream(50, io.EOF).start(ctx, engine, job)
		}})
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				job := connector.NewJob(fmt.Sprintf("attempt-%d", i), "r", reading, "p", 50)
				s, err := p.Run(t.Context(), "e", job)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = s.Close() }()
				chunks, err := read(t.Context(), s)
				if err != io.EOF || len(chunks) != 50 {
					t.Errorf("job %d ended after %d chunks: %v", i, len(chunks), err)
				}
				for _, chunk := range chunks {
					if chunk.Attempt() != job.Attempt() {
						t.Errorf("job %d received a chunk of %s", i, chunk.Attempt())
					}
				}
				if i%10 == 0 {
					if _, err := p.Extend(t.Context(), "n"); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
	})
}

// Guards against an oversized message that breaks the connection or crashes the
// node, and against a request that is reported as sent although it was not.
func TestTooLarge(t *testing.T) {
	forEachTransport(t, func(t *testing.T, connect transport) {
		is := is.New(t)
		h := &stubHandler{run: newTokenStream(1, io.EOF).start}
		p, _ := connect(t, h)
		huge := strings.Repeat("x", encoder.MaxSize)
		_, err := p.Run(t.Context(), "e", connector.NewJob("a", "r", reading, huge, 1))
		var fault *classifier.TooLarge
		is.True(errors.As(err, &fault))
		is.Equal(fault.Outcome(), classifier.Outcome(classifier.NotRun{}))
		err = p.ApplyMarks(t.Context(), []byte(huge))
		is.True(errors.As(err, &fault))
		h.blob = []byte(huge)
		_, err = p.BundlePart(t.Context(), nil)
		is.True(errors.As(err, &fault))
		is.Equal(fault.Outcome(), classifier.Outcome(classifier.Unknown{}))
		h.blob = nil
		_, err = p.BundlePart(t.Context(), nil)
		is.NoErr(err)
	})
}

// Guards against simulated latency that accumulates from chunk to chunk, and
// against a simulated partition that blocks callers past their deadline or after
// its end.
func TestLocalLatencyAndNetworkFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const latency = 20 * time.Millisecond
		fault := forwarder.NewNetworkFault()
		source := newTokenStream(4, io.EOF)
		source.pause = 5 * time.Millisecond
		p := forwarder.NewLocal(&stubHandler{run: source.start}, forwarder.WithLatency(latency), forwarder.WithNetworkFault(fault))
		defer func() { is.NoErr(p.Close()) }()
		start := time.Now()
		s, err := p.Run(t.Context(), "e", jobOf(4))
		is.NoErr(err)
		is.Equal(time.Since(start), 2*latency+source.pause) // with the first token
		for i := range 4 {
			_, err := s.Next(t.Context())
			is.NoErr(err)
			is.Equal(time.Since(start), 2*latency+time.Duration(i+1)*source.pause)
		}
		_, err = s.Next(t.Context())
		is.Equal(err, io.EOF)

		fault.Hang()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = p.Extend(ctx, "n")
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.AfterFunc(time.Minute, fault.Restore)
		_, err = p.Extend(t.Context(), "n")
		is.NoErr(err)
	})
}
