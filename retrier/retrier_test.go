package retrier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/retrier"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

const engines = 3

// script is a directory whose endpoints run the given functions.
type script struct {
	mu    sync.Mutex
	tried []string
	run   func(try int, engine string, job connector.Job) (connector.Stream, error)
	call  func(try int) (connector.Reply, error)
	close func() // closes the dispatcher
}

func (s *script) Executor(engine, _ string) (dispatcher.Executor, error) {
	return executor{s, engine}, nil
}

func (s *script) Service(string) (connector.Service, error) { return s, nil }

func (s *script) recordCall(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tried = append(s.tried, endpoint)
	return len(s.tried)
}

func (s *script) Call(_ context.Context, op connector.Operation) (connector.Reply, error) {
	r, err := s.call(s.recordCall("ledger-1"))
	return connector.NewReply(op.Attempt(), r.Status(), "", r.Body()), err
}

type executor struct {
	script *script
	engine string
}

func (e executor) Run(_ context.Context, job connector.Job) (connector.Stream, error) {
	return e.script.run(e.script.recordCall(e.engine), e.engine, job)
}

// tokens is a stream that fails with err before the token with index end.
type tokens struct {
	job connector.Job
	at  int
	end int
	err error
}

func answer(job connector.Job, end int, err error) *tokens {
	return &tokens{job: job, at: job.NextToken(), end: end, err: err}
}

func (s *tokens) Next(context.Context) (connector.Chunk, error) {
	if s.at >= s.end {
		return connector.Chunk{}, s.err
	}
	s.at++
	return connector.NewChunk(s.job.Attempt(), s.job.Model(), s.at-1, fmt.Sprint(s.at-1), s.at == s.job.MaxTokens()), nil
}

func (s *tokens) Close() error { return nil }

// pipeline returns the stages from the receiver to the retrier.
func pipeline(t *testing.T, s *script, share float64) chainer.Filter[*receiver.Call, *retrier.Settled] {
	t.Helper()
	doc := &bundler.Document{
		Bases:    []bundler.BaseDocument{{Name: "base"}},
		Adapters: []bundler.AdapterDocument{{Name: "a", Base: "base", Versions: []string{"v1"}}},
		Services: []bundler.ServiceDocument{{Name: "ledger", Calls: []bundler.CallDocument{
			{Method: "POST", Path: "/postings"}, {Method: "GET", Path: "/balance", Idempotent: true},
		}}},
		Endpoints: []bundler.EndpointDocument{{Name: "ledger-1", Kind: bundler.KindService, Service: "ledger", Region: "lj"}},
		Limits:    bundler.LimitsDocument{RetryShare: share},
	}
	views := viewer.New()
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		doc.Endpoints = append(doc.Endpoints, bundler.EndpointDocument{Name: name, Kind: bundler.KindEngine, Base: "base", Region: "lj", Slots: 2, Batch: 4})
		views.Update(viewer.NewView(name, "node-1", nil, 2, 4, 0, 0, time.Now(), true, viewer.WithLoadCapacity(2, 0)))
	}
	bundles := publisher.New()
	bundles.Publish(bundler.NewSnapshot(1, doc))
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	claims := claimer.New(emulator.NewTable(), "node-1", asserts)
	t.Cleanup(claims.Close)
	d := dispatcher.New(s, dispatcher.WithPostingTimeout(10*time.Second))
	t.Cleanup(d.Close)
	s.close = d.Close
	inner := chainer.Join(chainer.Join(placer.New(views, "lj"), d), verifier.New(asserts))
	limits := receiver.NewLimits(100, 1000, 30*time.Second, time.Minute)
	enter := chainer.Join(chainer.Join(receiver.New(limits), resolver.New(bundles)), admitter.New(1000))
	return chainer.Join(chainer.Join(enter, claims), retrier.New(inner, 4))
}

func generation() *receiver.Call { return receiver.NewGeneration("a@v1", "prompt", 5, 0) }

// read returns the whole answer and the error that ended it.
func read(t *testing.T, s *retrier.Settled) (string, error) {
	t.Helper()
	streaming, ok := s.Result().(*dispatcher.Streaming)
	if !ok {
		t.Fatal("the result is not a stream")
	}
	defer func() { _ = streaming.Stream().Close() }()
	var text string
	for {
		c, err := streaming.Stream().Next(t.Context())
		if err != nil {
			return text, err
		}
		text += c.Text()
	}
}

// Guards against retries of faults that recur on every engine, against giving up
// while another engine could run the work, and against a retry on the engine that
// failed.
func TestFailedStart(t *testing.T) {
	tests := []struct {
		name  string
		fault error
		tries int
	}{
		{"refused", connector.ErrRefused, engines + 1},
		{"not resident", connector.ErrNotResident, engines + 1},
		{"broken", connector.ErrBroken, engines + 1},
		{"fenced", connector.ErrFenced, engines + 1},
		{"unavailable", classifier.NewUnavailable("down"), engines + 1},
		{"overloaded", classifier.NewOverloaded("full"), engines + 1},
		{"invalid", classifier.NewInvalid("bad"), 1},
		{"not offered", classifier.NewNotOffered("unknown"), 1},
		{"stopped", classifier.NewStopped("crashed engines"), 1},
		{"withheld", classifier.NewWithheld("not known"), 1},
		{"expired", classifier.NewExpired("late"), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{run: func(try int, _ string, job connector.Job) (connector.Stream, error) {
					if try <= engines {
						return nil, tt.fault
					}
					return answer(job, 5, io.EOF), nil
				}}
				settled, err := pipeline(t, s, 1).Apply(t.Context(), generation())
				is.Equal(len(s.tried), tt.tries)
				if tt.tries == 1 {
					is.True(errors.Is(err, tt.fault))
					return
				}
				is.NoErr(err)
				first := slices.Clone(s.tried[:engines])
				slices.Sort(first)
				is.Equal(len(slices.Compact(first)), engines) // each engine once
				text, err := read(t, settled)
				is.Equal(text, "01234")
				is.Equal(err, io.EOF)
			})
		})
	}
}

// Guards against a truncated answer without an error, and against lost or
// duplicated tokens when an answer is resumed on another engine.
func TestResume(t *testing.T) {
	tests := []struct {
		name string
		ends []int // token index at which each attempt breaks off
		err  error
		want string
		last error
	}{
		{"complete", []int{5}, io.EOF, "01234", io.EOF},
		{"broken twice", []int{2, 3, 5}, connector.ErrBroken, "01234", io.EOF},
		{"broken before the first token", []int{0, 5}, connector.ErrBroken, "01234", io.EOF},
		{"ended early as if complete", []int{2, 5}, io.EOF, "01234", io.EOF},
		{"broken after the last token", []int{5}, connector.ErrBroken, "01234", io.EOF},
		{"broken too often", []int{1, 2, 3, 4}, connector.ErrBroken, "0123", connector.ErrBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{run: func(try int, _ string, job connector.Job) (connector.Stream, error) {
					return answer(job, tt.ends[try-1], tt.err), nil
				}}
				settled, err := pipeline(t, s, 1).Apply(t.Context(), generation())
				is.NoErr(err)
				text, err := read(t, settled)
				is.Equal(text, tt.want)
				is.True(errors.Is(err, tt.last))
				is.Equal(len(s.tried), len(tt.ends))
			})
		})
	}
}

// Guards against a retry storm: when everything fails, the retries stay within
// the share of the traffic that the bundle allows.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{run: func(int, string, connector.Job) (connector.Stream, error) {
			return nil, connector.ErrRefused
		}}
		p := pipeline(t, s, 0.1)
		const requests = 2000
		start := time.Now()
		for range requests {
			ctx, cancel := context.WithCancel(t.Context()) // ending it releases the admitter's slot
			_, err := p.Apply(ctx, generation())
			is.True(err != nil)
			cancel()
			synctest.Wait()
		}
		floor := int(time.Since(start).Seconds()) + 1 // one retry per second
		retries := len(s.tried) - requests
		is.True(retries >= requests/10)
		is.True(retries <= requests/10+50+floor) // 50: burst
	})
}

// Guards against a retry that starts after the caller's deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		s := &script{run: func(int, string, connector.Job) (connector.Stream, error) {
			time.Sleep(400 * time.Millisecond)
			is.True(time.Since(start) <= 2*time.Second)
			return nil, connector.ErrRefused
		}}
		call := receiver.NewGeneration("a@v1", "prompt", 5, 0, receiver.WithTimeout(time.Second))
		_, err := pipeline(t, s, 1).Apply(t.Context(), call)
		is.True(err != nil)
		is.True(len(s.tried) <= 3)
	})
}

// Guards against a posting that runs twice, and against an idempotent call that
// is not retried.
func TestServiceCalls(t *testing.T) {
	posting := func() *receiver.Call {
		return receiver.NewServiceCall("ledger", "POST", "/postings", []byte("{}"), "key", 1, receiver.WithTimeout(time.Second))
	}
	balance := func() *receiver.Call { return receiver.NewServiceCall("ledger", "GET", "/balance", nil, "", 1) }
	tests := []struct {
		name  string
		call  func() *receiver.Call
		fault error
		tries int
		want  classifier.Outcome
	}{
		{"posting broken", posting, connector.ErrBroken, 1, classifier.Unknown{}},
		{"posting refused", posting, connector.ErrRefused, 1, classifier.NotRun{}},
		{"balance broken", balance, connector.ErrBroken, 2, nil},
		{"balance refused", balance, connector.ErrRefused, 2, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{call: func(try int) (connector.Reply, error) {
					if try == 1 {
						return connector.Reply{}, tt.fault
					}
					return connector.NewReply("", 200, "", nil), nil
				}}
				_, err := pipeline(t, s, 1).Apply(t.Context(), tt.call())
				is.Equal(len(s.tried), tt.tries)
				if tt.want == nil {
					is.NoErr(err)
					return
				}
				is.Equal(classifier.Of(err).Outcome(), tt.want)
			})
		})
	}
}

// Guards against losing the answer of a posting whose caller has disconnected: a
// repeat of the key must get the first answer.
func TestPostingOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{call: func(int) (connector.Reply, error) {
			time.Sleep(5 * time.Second)
			return connector.NewReply("", 200, "", []byte("booked")), nil
		}}
		p := pipeline(t, s, 1)
		call := receiver.NewServiceCall("ledger", "POST", "/postings", []byte("{}"), "key", 1, receiver.WithTimeout(time.Second))
		start := time.Now()
		_, err := p.Apply(t.Context(), call)
		is.Equal(classifier.Of(err).Outcome(), classifier.Unknown{})
		is.Equal(time.Since(start), time.Second) // the caller does not wait longer
		time.Sleep(10 * time.Second)
		settled, err := p.Apply(t.Context(), call)
		is.NoErr(err)
		replied, ok := settled.Result().(*dispatcher.Replied)
		is.True(ok)
		is.True(replied.Replayed())
		is.Equal(string(replied.Reply().Body()), "booked")
		is.Equal(len(s.tried), 1)
	})
}

// Guards against a shutdown that interrupts a posting, and against a posting that
// starts while its node shuts down.
func TestPostingsEndBeforeClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{call: func(int) (connector.Reply, error) {
			time.Sleep(5 * time.Second)
			return connector.NewReply("", 200, "", nil), nil
		}}
		p := pipeline(t, s, 1)
		posting := func(key string) error {
			_, err := p.Apply(t.Context(), receiver.NewServiceCall("ledger", "POST", "/postings", []byte("{}"), key, 1))
			return err
		}
		first := make(chan error, 1)
		go func() { first <- posting("one") }()
		time.Sleep(time.Second)
		start := time.Now()
		s.close()
		waited := time.Since(start) // the claimer groups its writes for some milliseconds
		is.True(waited >= 4*time.Second && waited < 5*time.Second)
		is.NoErr(<-first)
		is.Equal(classifier.Of(posting("two")).Outcome(), classifier.NotRun{})
		is.Equal(len(s.tried), 1)
	})
}

// Guards against retries without a recorded decision that explains them to the
// operator.
func TestDecisionsAreRecorded(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want []string // stage and decision
	}{
		{"retried", connector.ErrBroken, []string{"dispatcher failed", "retrier again", "dispatcher failed", "retrier again", "dispatcher failed", "retrier again", "dispatcher failed", "retrier gave up"}},
		{"not retryable", classifier.NewInvalid("no"), []string{"dispatcher failed", "retrier gave up"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{run: func(int, string, connector.Job) (connector.Stream, error) { return nil, tt.err }}
				r := recorder.New(100)
				ctx, _ := recorder.StartTrail(t.Context(), r, "r-1")
				_, err := pipeline(t, s, 1).Apply(ctx, generation())
				is.True(err != nil)
				var notes []string
				for _, d := range r.Explain("r-1") {
					switch d.Decision() {
					case "failed", "again", "gave up":
						notes = append(notes, string(d.Stage())+" "+d.Decision())
						is.True(d.Reason() != "")
					}
				}
				is.Equal(notes, tt.want)
			})
		})
	}
}
