package verifier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

const maxTokens = 8

var model = connector.NewModel("base", "reading", "v1")

// scriptedEngine is an engine that returns prepared chunks and then the error
// end.
type scriptedEngine struct {
	chunks []connector.Chunk
	end    error
}

func (s *scriptedEngine) Run(context.Context, connector.Job) (connector.Stream, error) { return s, nil }

func (s *scriptedEngine) Next(context.Context) (connector.Chunk, error) {
	if len(s.chunks) == 0 {
		return connector.Chunk{}, s.end
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *scriptedEngine) Close() error { return nil }

type directory struct{ script *scriptedEngine }

func (d directory) Executor(string, string) (dispatcher.Executor, error) { return d.script, nil }
func (d directory) Service(string) (connector.Service, error)            { return nil, connector.ErrRefused }

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// verify sends a request with id "r" and attempt "r.1" through the stages up to
// the verifier.
func verify(t testingT, v *verifier.Verifier, s *scriptedEngine, next int) connector.Stream {
	t.Helper()
	return verifyFaulty(t, v, s, next, "r.1", "reading@v1")
}

// verifyFaulty is like verify, but replaces the attempt's id and the requested
// adapter after the resolver has chosen "reading@v1", as if a stage was faulty.
func verifyFaulty(t testingT, v *verifier.Verifier, s *scriptedEngine, next int, attempt, requested string) connector.Stream {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	ctx := context.Background()
	bundles := publisher.New()
	bundles.Publish(bundler.NewSnapshot(1, &bundler.Document{
		Adapters:  []bundler.AdapterDocument{{Name: "reading", Base: "base", Versions: []string{"v1"}}},
		Endpoints: []bundler.EndpointDocument{{Name: "e", Kind: bundler.KindEngine, Base: "base", Slots: 1, Batch: 1}},
	}))
	views := viewer.New()
	views.Update(viewer.NewView("e", "n", nil, 1, 1, 0, 0, time.Now(), true))
	req, err := receiver.New(receiver.NewLimits(maxTokens, 100, time.Minute, time.Minute)).
		Apply(ctx, receiver.NewGeneration("reading@v1", "p", maxTokens, next, receiver.WithRequestID("r")))
	must(err)
	resolved, err := resolver.New(bundles).Apply(ctx, req)
	must(err)
	resolved.Request, err = receiver.New(receiver.NewLimits(maxTokens, 100, time.Minute, time.Minute)).
		Apply(ctx, receiver.NewGeneration(requested, "p", maxTokens, next, receiver.WithRequestID("r")))
	must(err)
	admitted, err := admitter.New(1).Apply(ctx, resolved)
	must(err)
	claims := claimer.New(emulator.NewTable(), "n", asserter.New(nil))
	defer claims.Close()
	claimed, err := claims.Apply(ctx, admitted)
	must(err)
	placed, err := placer.New(views, "").Apply(ctx, placer.NewAttempt(claimed, attempt, next, nil))
	must(err)
	dispatched, err := dispatcher.New(directory{s}).Apply(ctx, placed)
	must(err)
	verified, err := v.Apply(ctx, dispatched)
	must(err)
	return verified.Result().(*dispatcher.Streaming).Stream()
}

func read(s connector.Stream) ([]connector.Chunk, error) {
	var got []connector.Chunk
	for {
		c, err := s.Next(context.Background())
		if err != nil {
			return got, err
		}
		got = append(got, c)
	}
}

func token(i int) connector.Chunk {
	return connector.NewChunk("r.1", model, i, fmt.Sprint(i), i == maxTokens-1)
}

// Guards against a response that looks complete although it is truncated or lacks
// a token.
func TestEnd(t *testing.T) {
	tests := []struct {
		name   string
		next   int
		chunks []connector.Chunk
		end    error
		tokens int
		want   error
	}{
		{"complete", 6, []connector.Chunk{token(6), token(7)}, io.EOF, 2, io.EOF},
		{"early stop", 0, []connector.Chunk{connector.NewChunk("r.1", model, 0, "", true)}, io.EOF, 1, io.EOF},
		{"broken after the last token", 7, []connector.Chunk{token(7)}, connector.ErrBroken, 1, io.EOF},
		{"chunks after the last token", 7, []connector.Chunk{token(7), token(8)}, io.EOF, 1, io.EOF},
		{"resume at the end", maxTokens, nil, io.EOF, 0, io.EOF},
		{"truncated", 5, []connector.Chunk{token(5), token(6)}, io.EOF, 2, connector.ErrBroken},
		{"empty", 0, nil, io.EOF, 0, connector.ErrBroken},
		{"missing token", 4, []connector.Chunk{token(4), token(6), token(7)}, io.EOF, 1, connector.ErrBroken},
		{"refused", 0, nil, connector.ErrRefused, 0, connector.ErrRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := verifier.New(asserter.New(func(v asserter.Violation) { t.Error(v) }))
			got, err := read(verify(t, v, &scriptedEngine{tt.chunks, tt.end}, tt.next))
			is.True(errors.Is(err, tt.want))
			is.Equal(len(got), tt.tokens)
		})
	}
}

// Guards against a token of another attempt, request or adapter version in a
// response, and against a repeated or missing one: for any mix of foreign, late,
// duplicate and crossed chunks, the caller reads its own tokens in order, and a
// complete response contains all of them.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asserts := asserter.New(func(v asserter.Violation) { t.Fatal(v) })
		v := verifier.New(asserts)
		foreign := rapid.Custom(func(t *rapid.T) connector.Chunk {
			attempt := rapid.SampledFrom([]string{"r.1", "r.2", "r", "r.11", "other.1", ""}).Draw(t, "attempt")
			m := rapid.SampledFrom([]connector.Model{
				model, connector.NewModel("base", "reading", "v2"), connector.NewModel("base", "drafting", "v1"), {},
			}).Draw(t, "model")
			if attempt == "r.1" && m == model {
				attempt = "crossed.1"
			}
			index := rapid.IntRange(-1, maxTokens).Draw(t, "index")
			return connector.NewChunk(attempt, m, index, "foreign", rapid.Bool().Draw(t, "last"))
		})
		next := rapid.IntRange(0, maxTokens-1).Draw(t, "next")
		end := rapid.IntRange(next, maxTokens).Draw(t, "ends")
		s := &scriptedEngine{end: rapid.SampledFrom([]error{io.EOF, connector.ErrBroken}).Draw(t, "end")}
		for i := next; i < end; i++ {
			s.chunks = append(s.chunks, rapid.SliceOfN(foreign, 0, 3).Draw(t, "foreign")...)
			for late := range rapid.IntRange(0, 2).Draw(t, "late") {
				if late < i {
					s.chunks = append(s.chunks, connector.NewChunk("r.1", model, late-1, "late", false))
				}
			}
			s.chunks = append(s.chunks, token(i))
			if i < maxTokens-1 && rapid.Bool().Draw(t, "duplicate") {
				s.chunks = append(s.chunks, token(i))
			}
		}
		got, err := read(verify(t, v, s, next))
		for i, c := range got {
			if c != token(next+i) {
				t.Fatalf("token %d is %+v", next+i, c)
			}
		}
		if len(got) != end-next {
			t.Fatalf("got %d of %d tokens", len(got), end-next)
		}
		if complete := errors.Is(err, io.EOF); complete != (end == maxTokens) {
			t.Fatalf("response ended after token %d with %v", end-1, err)
		}
		if n := asserts.Checks(asserter.OwnAnswer); n != int64(len(got)) {
			t.Fatalf("%d of %d tokens were checked", n, len(got))
		}
	})
}

// Guards against a fault of an earlier stage that remains undetected because the
// verifier compares the tokens only with that stage's result.
func TestFaultyStageIsSeen(t *testing.T) {
	tests := []struct {
		name      string
		attempt   string
		requested string
		violated  asserter.Invariant
	}{
		{"resolver chooses another adapter", "r.1", "drafting@v1", asserter.AdapterNamed},
		{"resolver chooses another version", "r.1", "reading@v2", asserter.AdapterNamed},
		{"retrier names the attempt after another request", "other.1", "reading@v1", asserter.OwnAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			asserts := asserter.New(nil)
			s := &scriptedEngine{[]connector.Chunk{connector.NewChunk(tt.attempt, model, 0, "0", false)}, io.EOF}
			got, err := read(verifyFaulty(t, verifier.New(asserts), s, 0, tt.attempt, tt.requested))
			is.True(err != nil && !errors.Is(err, io.EOF))
			is.Equal(len(got), 0)
			is.Equal(asserts.Violations(tt.violated), int64(1))
			is.Equal(asserts.Total(), int64(1))
		})
	}
}
