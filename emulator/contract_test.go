package emulator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// access is how a client reaches a fake. The cases run in process and over
// HTTP, so that the fakes and the HTTP clients keep the same behaviour.
type access struct {
	name    string
	table   func(*testing.T, *emulator.Table) storer.Table
	objects func(*testing.T, *emulator.Objects) storer.Objects
	hosts   func(*testing.T, *emulator.HostList) storer.Hosts
	engine  func(*testing.T, *emulator.Engine) connector.Engine
	service func(*testing.T, *emulator.Service) connector.FencedService
	run     func(*testing.T, func(*testing.T))
}

func direct() access {
	return access{
		name:    "in process",
		table:   func(_ *testing.T, f *emulator.Table) storer.Table { return f },
		objects: func(_ *testing.T, f *emulator.Objects) storer.Objects { return f },
		hosts:   func(_ *testing.T, f *emulator.HostList) storer.Hosts { return f },
		engine:  func(_ *testing.T, f *emulator.Engine) connector.Engine { return f },
		service: func(_ *testing.T, f *emulator.Service) connector.FencedService { return f },
		run:     synctest.Test,
	}
}

// overHTTP accesses a fake through its handler and the HTTP client.
func overHTTP() access {
	return access{
		name: "over HTTP",
		table: func(t *testing.T, f *emulator.Table) storer.Table {
			return closeAtEnd(t, storer.NewHTTPTable(serve(t, emulator.PlatformHandler(f, nil, nil, nil))))
		},
		objects: func(t *testing.T, f *emulator.Objects) storer.Objects {
			return closeAtEnd(t, storer.NewHTTPObjects(serve(t, emulator.PlatformHandler(nil, f, nil, nil))))
		},
		hosts: func(t *testing.T, f *emulator.HostList) storer.Hosts {
			return closeAtEnd(t, storer.NewHTTPHosts(serve(t, emulator.PlatformHandler(nil, nil, f, nil))))
		},
		engine: func(t *testing.T, f *emulator.Engine) connector.Engine {
			return closeAtEnd(t, connector.NewHTTPEngine(serve(t, emulator.EngineHandler(f))))
		},
		service: func(t *testing.T, f *emulator.Service) connector.FencedService {
			return closeAtEnd(t, connector.NewHTTPService(serve(t, emulator.ServiceHandler(f))))
		},
		run: func(t *testing.T, run func(*testing.T)) { run(t) },
	}
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func closeAtEnd[C interface{ Close() }](t *testing.T, client C) C {
	t.Cleanup(client.Close)
	return client
}

func accesses() []access { return []access{direct(), overHTTP()} }

// each runs a case once for each access.
func each(t *testing.T, name string, run func(*testing.T, access)) {
	t.Helper()
	for _, w := range accesses() {
		t.Run(name+"/"+w.name, func(t *testing.T) {
			w.run(t, func(t *testing.T) { run(t, w) })
		})
	}
}

func put(t *testing.T, table storer.Table, key, value string, expected storer.Version) {
	t.Helper()
	is.New(t).NoErr(table.Commit(t.Context(), storer.NewPut(key, []byte(value), expected)))
}

// Guards against a table client that loses conditions, order or atomicity.
func TestTableContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, table storer.Table)
	}{
		{"absent row", func(t *testing.T, table storer.Table) {
			_, err := table.Get(t.Context(), "a")
			is.New(t).True(errors.Is(err, storer.ErrNotFound))
		}},
		{"put and get", func(t *testing.T, table storer.Table) {
			is := is.New(t)
			put(t, table, "a/é?%/x", "\x00\xff", 0)
			row, err := table.Get(t.Context(), "a/é?%/x")
			is.NoErr(err)
			is.Equal(row.Key(), "a/é?%/x")
			is.Equal(string(row.Value()), "\x00\xff")
			is.Equal(row.Version(), storer.Version(1))
		}},
		{"conflict names the row and writes nothing", func(t *testing.T, table storer.Table) {
			is := is.New(t)
			put(t, table, "a", "1", 0)
			err := table.Commit(t.Context(), storer.NewPut("b", nil, 0), storer.NewCheck("a", 2))
			var conflict *storer.ConflictError
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.Key(), "a")
			_, err = table.Get(t.Context(), "b")
			is.True(errors.Is(err, storer.ErrNotFound))
		}},
		{"delete", func(t *testing.T, table storer.Table) {
			is := is.New(t)
			put(t, table, "a", "1", 0)
			is.True(errors.Is(table.Commit(t.Context(), storer.NewDelete("a", 3)), storer.ErrConflict))
			is.NoErr(table.Commit(t.Context(), storer.NewDelete("a", 1)))
			_, err := table.Get(t.Context(), "a")
			is.True(errors.Is(err, storer.ErrNotFound))
		}},
		{"scan in order, after a key, up to a limit", func(t *testing.T, table storer.Table) {
			is := is.New(t)
			for _, k := range []string{"p/3", "p/1", "q/1", "o/9", "p/2", "p/4"} {
				put(t, table, k, k, 0)
			}
			rows, err := table.Scan(t.Context(), "p/", "p/1", 2)
			is.NoErr(err)
			is.Equal(len(rows), 2)
			is.Equal(rows[0].Key(), "p/2")
			is.Equal(rows[1].Key(), "p/3")
			rows, err = table.Scan(t.Context(), "p/", "", 10)
			is.NoErr(err)
			is.Equal(len(rows), 4)
		}},
	}
	for _, c := range cases {
		each(t, c.name, func(t *testing.T, w access) { c.run(t, w.table(t, emulator.NewTable())) })
	}
}

// Guards against a client that reports a write as not made when it may have
// been made, and the reverse.
func TestTableFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault emulator.Fault
		want  error
		wrote bool
	}{
		{"down", emulator.Down{}, storer.ErrUnavailable, false},
		{"response dropped", emulator.NewAnswerLost(1, 0), storer.ErrUncertain, true},
		{"slow", emulator.NewSlow(time.Millisecond), nil, true},
	}
	for _, c := range cases {
		each(t, c.name, func(t *testing.T, w access) {
			is := is.New(t)
			fake := emulator.NewTable()
			table := w.table(t, fake)
			is.NoErr(fake.Inject(c.fault))
			err := table.Commit(t.Context(), storer.NewPut("a", []byte("1"), 0))
			is.True(errors.Is(err, c.want))
			fake.Clear()
			_, err = table.Get(t.Context(), "a")
			is.Equal(err == nil, c.wrote)
		})
	}
}

// Guards against an object store client that changes keys or bytes.
func TestObjectsContract(t *testing.T) {
	each(t, "put, get and list", func(t *testing.T, w access) {
		is := is.New(t)
		objects := w.objects(t, emulator.NewObjects())
		_, err := objects.Get(t.Context(), "bundle/a")
		is.True(errors.Is(err, storer.ErrNotFound))
		is.NoErr(objects.Put(t.Context(), "bundle/b", []byte("\x00b")))
		is.NoErr(objects.Put(t.Context(), "bundle/a%2F ?", []byte("a")))
		is.NoErr(objects.Put(t.Context(), "report/a", nil))
		body, err := objects.Get(t.Context(), "bundle/b")
		is.NoErr(err)
		is.Equal(string(body), "\x00b")
		keys, err := objects.List(t.Context(), "bundle/")
		is.NoErr(err)
		is.Equal(keys, []string{"bundle/a%2F ?", "bundle/b"})
		d, ok := objects.(interface {
			Delete(ctx context.Context, key string) error
		})
		is.True(ok)
		is.NoErr(d.Delete(t.Context(), "bundle/a%2F ?"))
		is.NoErr(d.Delete(t.Context(), "bundle/a%2F ?")) // already gone
		keys, err = objects.List(t.Context(), "bundle/")
		is.NoErr(err)
		is.Equal(keys, []string{"bundle/b"})
	})
	each(t, "faults", func(t *testing.T, w access) {
		is := is.New(t)
		fake := emulator.NewObjects()
		objects := w.objects(t, fake)
		is.NoErr(fake.Inject(emulator.NewAnswerLost(1, 0)))
		is.True(errors.Is(objects.Put(t.Context(), "a", []byte("1")), storer.ErrUncertain))
		_, err := objects.Get(t.Context(), "a")
		is.NoErr(err)
		is.NoErr(fake.Inject(emulator.Down{}))
		is.True(errors.Is(objects.Put(t.Context(), "b", nil), storer.ErrUnavailable))
	})
}

// Guards against a host list that does not show that a host is leaving.
func TestHostsContract(t *testing.T) {
	each(t, "states", func(t *testing.T, w access) {
		is := is.New(t)
		fake := emulator.NewHostList()
		hosts := w.hosts(t, fake)
		fake.Set("b", emulator.HostLeaving)
		fake.Set("a", emulator.HostLive)
		fake.Set("c", emulator.HostLive)
		fake.Set("c", emulator.HostGone)
		got, err := hosts.List(t.Context())
		is.NoErr(err)
		is.Equal(got, []storer.Host{storer.NewHost("a", false), storer.NewHost("b", true)})
		is.NoErr(fake.Inject(emulator.Down{}))
		_, err = hosts.List(t.Context())
		is.True(errors.Is(err, storer.ErrUnavailable))
	})
}

var reading = connector.NewModel("base", "reading", "v1")

// fastOptions returns options that keep the tests with real sockets short.
func fastOptions(opts ...emulator.Option) []emulator.Option {
	return append([]emulator.Option{
		emulator.WithName("e"), emulator.WithStepTime(time.Millisecond), emulator.WithPrefill(0, 0),
		emulator.WithModelLoadTime(time.Millisecond), emulator.WithLoadTime(time.Millisecond, 8),
	}, opts...)
}

func newEngine(t *testing.T, opts ...emulator.Option) *emulator.Engine {
	t.Helper()
	e := emulator.NewEngine(emulator.NewWeightStore(opts...), opts...)
	t.Cleanup(e.Close)
	return e
}

func fence(token uint64) connector.Fence {
	return connector.NewFence(token, time.Now().Add(time.Minute))
}

func load(t *testing.T, e connector.Engine, token uint64, m connector.Model) {
	t.Helper()
	is.New(t).NoErr(e.Order(t.Context(), connector.NewLoadAdapter(fence(token), m)))
}

// readAll returns the text of a stream and checks that each token belongs to
// the job.
func readAll(ctx context.Context, job connector.Job, s connector.Stream) (string, error) {
	var text strings.Builder
	for index := job.NextToken(); ; index++ {
		c, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if c.Attempt() != job.Attempt() || c.Model() != job.Model() || c.Index() != index || c.Last() != (index == job.MaxTokens()-1) {
			return text.String(), fmt.Errorf("chunk %+v does not fit job %+v at token %d", c, job, index)
		}
		text.WriteString(c.Text())
	}
}

func tokens(job connector.Job) string {
	var text strings.Builder
	for i := job.NextToken(); i < job.MaxTokens(); i++ {
		text.WriteString(emulator.Token(job.Model(), job.Prompt(), job.Seed(), i))
	}
	return text.String()
}

// Guards against an engine client that starts or ends other jobs, or sends
// other orders, than requested.
func TestEngineContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, e connector.Engine, fake *emulator.Engine)
	}{
		{"not resident", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			_, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 2))
			is.New(t).True(errors.Is(err, connector.ErrNotResident))
		}},
		{"whole answer", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			job := connector.NewJob("a", "r", reading, "p\n\"é", 5, connector.WithSeed(1<<63+1), connector.WithPriority(-2))
			s, err := e.Generate(t.Context(), job)
			is.NoErr(err)
			text, err := readAll(t.Context(), job, s)
			is.NoErr(err)
			is.Equal(text, tokens(job))
			is.NoErr(s.Close())
			is.NoErr(s.Close())
		}},
		{"resumed answer", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			job := connector.NewJob("a", "r", reading, "p", 5, connector.ResumeAt(3))
			s, err := e.Generate(t.Context(), job)
			is.NoErr(err)
			text, err := readAll(t.Context(), job, s)
			is.NoErr(err)
			is.Equal(text, tokens(job))
		}},
		{"closed stream frees its batch slot", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1<<30))
			is.NoErr(err)
			_, err = s.Next(t.Context())
			is.NoErr(err)
			is.NoErr(s.Close())
			idle(t, e)
		}},
		{"canceled context frees its batch slot", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			ctx, cancel := context.WithCancel(t.Context())
			s, err := e.Generate(ctx, connector.NewJob("a", "r", reading, "p", 1<<30))
			is.NoErr(err)
			cancel()
			idle(t, e)
			is.NoErr(s.Close())
		}},
		{"stale fencing token", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			load(t, e, 7, reading)
			err := e.Order(t.Context(), connector.NewUnloadAdapter(fence(6), reading))
			is.New(t).True(errors.Is(err, connector.ErrFenced))
		}},
		{"order past its deadline", func(t *testing.T, e connector.Engine, fake *emulator.Engine) {
			is := is.New(t)
			f := connector.NewFence(1, time.Now().Add(-time.Second))
			is.True(errors.Is(e.Order(t.Context(), connector.NewLoadAdapter(f, reading)), connector.ErrRefused))
			is.Equal(len(fake.Resident()), 0)
		}},
		{"no free slot", func(t *testing.T, e connector.Engine, _ *emulator.Engine) {
			load(t, e, 1, reading)
			load(t, e, 1, connector.NewModel("base", "b", "v1"))
			err := e.Order(t.Context(), connector.NewLoadAdapter(fence(1), connector.NewModel("base", "c", "v1")))
			is.New(t).True(errors.Is(err, connector.ErrRefused))
		}},
		{"unload of an adapter in use breaks the stream", func(t *testing.T, e connector.Engine, fake *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1<<30))
			is.NoErr(err)
			is.NoErr(e.Order(t.Context(), connector.NewUnloadAdapter(fence(1), reading)))
			is.True(errors.Is(drain(t, s), connector.ErrBroken))
			is.Equal(fake.Counters().BrokenByUnload(), 1)
		}},
		{"base model and role", func(t *testing.T, e connector.Engine, fake *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			is.NoErr(e.Order(t.Context(), connector.NewLoadModel(fence(1), "other")))
			is.Equal(len(fake.Resident()), 0)
			err := e.Order(t.Context(), connector.NewLoadAdapter(fence(1), reading))
			is.True(errors.Is(err, connector.ErrRefused))
			is.NoErr(e.Order(t.Context(), connector.NewChangeRole(fence(1), connector.RoleDecode)))
			is.Equal(fake.Role(), connector.RoleDecode)
		}},
		{"report", func(t *testing.T, e connector.Engine, fake *emulator.Engine) {
			is := is.New(t)
			load(t, e, 1, reading)
			prompt := strings.Repeat("x", 2*connector.PrefixBlockSize)
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, prompt, 1<<30))
			is.NoErr(err)
			_, err = s.Next(t.Context())
			is.NoErr(err)
			r, err := e.Report(t.Context())
			is.NoErr(err)
			is.Equal(r.Instance(), fake.Instance())
			is.Equal(r.Resident(), []connector.Model{reading})
			is.Equal(r.Running(reading), 1)
			is.Equal(r.Batch(), 4)
			is.Equal(len(r.PrefixHashes()), 2)
			is.NoErr(s.Close())
		}},
		{"cache export and import", func(t *testing.T, e connector.Engine, fake *emulator.Engine) {
			is := is.New(t)
			cache, ok := e.(connector.PromptCache)
			is.True(ok)
			load(t, e, 1, reading)
			prompt := strings.Repeat("x", 2*connector.PrefixBlockSize)
			job := connector.NewJob("a", "r", reading, prompt, 1)
			is.NoErr(fake.Order(t.Context(), connector.NewChangeRole(fence(1), connector.RoleDecode)))
			_, err := e.Generate(t.Context(), job)
			is.True(errors.Is(err, connector.ErrRefused))
			source := newEngine(t, fastOptions()...)
			load(t, source, 1, reading)
			s, err := source.Generate(t.Context(), job)
			is.NoErr(err)
			is.True(errors.Is(drain(t, s), io.EOF))
			state, err := source.ExportCache(t.Context(), reading, prompt)
			is.NoErr(err)
			is.NoErr(cache.ImportCache(t.Context(), state))
			again, err := cache.ExportCache(t.Context(), reading, prompt)
			is.NoErr(err)
			is.Equal(again, state)
			s, err = e.Generate(t.Context(), job)
			is.NoErr(err)
			is.True(errors.Is(drain(t, s), io.EOF))
		}},
	}
	for _, c := range cases {
		each(t, c.name, func(t *testing.T, w access) {
			fake := newEngine(t, fastOptions(emulator.WithSlots(2), emulator.WithBatch(4), emulator.WithFencing(),
				emulator.WithBase("base"))...)
			c.run(t, w.engine(t, fake), fake)
		})
	}
}

// idle waits until the engine runs no job.
func idle(t *testing.T, e connector.Engine) {
	t.Helper()
	for {
		r, err := e.Report(t.Context())
		is.New(t).NoErr(err)
		if r.TotalRunning() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// drain reads a stream and returns the error that ends it.
func drain(t *testing.T, s connector.Stream) error {
	t.Helper()
	for {
		if _, err := s.Next(t.Context()); err != nil {
			return err
		}
	}
}

// Guards against a failed order or job whose error does not match what the
// engine did.
func TestEngineFaults(t *testing.T) {
	cases := []struct {
		name     string
		fault    emulator.Fault
		order    error
		generate error
		loads    int
	}{
		{"down", emulator.Down{}, connector.ErrRefused, connector.ErrRefused, 0},
		{"response dropped", emulator.NewAnswerLost(2, 0), connector.ErrBroken, connector.ErrBroken, 1},
		{"restart", emulator.NewRestartCold(time.Hour), connector.ErrRefused, connector.ErrRefused, 0},
		{"slow", emulator.NewSlow(time.Millisecond), nil, nil, 1},
	}
	for _, c := range cases {
		each(t, c.name, func(t *testing.T, w access) {
			is := is.New(t)
			fake := newEngine(t, fastOptions()...)
			e := w.engine(t, fake)
			load(t, e, 1, reading)
			is.NoErr(fake.Inject(c.fault))
			err := e.Order(t.Context(), connector.NewLoadAdapter(fence(1), connector.NewModel("base", "b", "v1")))
			is.True(errors.Is(err, c.order))
			is.Equal(fake.Counters().Loads(), c.loads+1)
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1))
			is.True(errors.Is(err, c.generate))
			if err == nil {
				is.True(errors.Is(drain(t, s), io.EOF))
			}
		})
	}
	each(t, "load fails", func(t *testing.T, w access) {
		is := is.New(t)
		store := emulator.NewWeightStore(fastOptions()...)
		fake := emulator.NewEngine(store, fastOptions()...)
		t.Cleanup(fake.Close)
		e := w.engine(t, fake)
		is.NoErr(store.Inject(emulator.NewLoadFails(1, 0)))
		order := connector.NewLoadAdapter(fence(1), reading)
		is.True(errors.Is(e.Order(t.Context(), order), connector.ErrLoadFailed))
		is.NoErr(e.Order(t.Context(), order))
	})
	each(t, "restart breaks streams", func(t *testing.T, w access) {
		is := is.New(t)
		fake := newEngine(t, fastOptions()...)
		e := w.engine(t, fake)
		load(t, e, 1, reading)
		s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1<<30))
		is.NoErr(err)
		before := fake.Instance()
		is.NoErr(fake.Inject(emulator.NewRestartCold(0)))
		is.True(errors.Is(drain(t, s), connector.ErrBroken))
		r, err := e.Report(t.Context())
		is.NoErr(err)
		is.True(r.Instance() != before)
		is.Equal(len(r.Resident()), 0)
	})
	each(t, "crossed", func(t *testing.T, w access) {
		is := is.New(t)
		fake := newEngine(t, fastOptions()...)
		e := w.engine(t, fake)
		load(t, e, 1, reading)
		// The other job is started in process in both cases: a handler would read
		// its tokens, and the fault might hit that stream.
		_, err := fake.Generate(t.Context(), connector.NewJob("other", "s", reading, "q", 1<<30))
		is.NoErr(err)
		is.NoErr(fake.Inject(emulator.NewCrossed(1, 0)))
		s, err := e.Generate(t.Context(), connector.NewJob("own", "r", reading, "p", 3))
		is.NoErr(err)
		var attempts []string
		for {
			c, err := s.Next(t.Context())
			if errors.Is(err, io.EOF) {
				break
			}
			is.NoErr(err)
			attempts = append(attempts, c.Attempt())
		}
		is.Equal(attempts, []string{"other", "own", "own", "own"})
	})
	each(t, "crash on a prompt", func(t *testing.T, w access) {
		is := is.New(t)
		fake := newEngine(t, fastOptions()...)
		e := w.engine(t, fake)
		load(t, e, 1, reading)
		is.NoErr(fake.Inject(emulator.NewCrashOn("poison", 0)))
		innocent, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1<<30))
		is.NoErr(err)
		_, err = innocent.Next(t.Context())
		is.NoErr(err)
		s, err := e.Generate(t.Context(), connector.NewJob("b", "s", reading, "some poison", 5))
		is.NoErr(err)
		is.True(errors.Is(drain(t, s), connector.ErrBroken))
		is.True(errors.Is(drain(t, innocent), connector.ErrBroken))
		is.Equal(fake.Counters().Crashes(), 1)
	})
}

// Guards against a service client that repeats an operation or misreports
// whether it ran.
func TestServiceContract(t *testing.T) {
	cases := []struct {
		name  string
		fault emulator.Fault
		want  error
		runs  int
	}{
		{"answer", nil, nil, 1},
		{"down", emulator.Down{}, connector.ErrRefused, 0},
		{"response dropped", emulator.NewAnswerLost(1, 0), connector.ErrBroken, 1},
	}
	for _, c := range cases {
		each(t, c.name, func(t *testing.T, w access) {
			is := is.New(t)
			fake := emulator.NewService()
			svc := w.service(t, fake)
			if c.fault != nil {
				is.NoErr(fake.Inject(c.fault))
			}
			r, err := svc.Call(t.Context(), connector.NewOperation("a1", "op 1", http.MethodPost, "/postings?x=1", []byte("{}")))
			is.True(errors.Is(err, c.want))
			if err == nil {
				is.Equal(r.Attempt(), "a1")
				is.Equal(r.Status(), http.StatusOK)
				is.Equal(r.ContentType(), "application/json")
				is.Equal(string(r.Body()), `{"operation":"op 1"}`)
			}
			is.Equal(fake.Executions()["op 1"], c.runs)
		})
	}
	each(t, "crossed", func(t *testing.T, w access) {
		is := is.New(t)
		fake := emulator.NewService()
		svc := w.service(t, fake)
		is.NoErr(fake.Inject(emulator.NewCrossed(1, 0)))
		for i, want := range []string{"a0", "a0", "a2"} {
			attempt := fmt.Sprintf("a%d", i)
			r, err := svc.Call(t.Context(), connector.NewOperation(attempt, attempt, http.MethodPost, "/postings", nil))
			is.NoErr(err)
			is.Equal(r.Attempt(), want)
		}
		is.Equal(len(fake.Executions()), 3)
	})
	each(t, "revoked operation", func(t *testing.T, w access) {
		is := is.New(t)
		fake := emulator.NewService(emulator.WithFencing())
		svc := w.service(t, fake)
		op := connector.NewOperation("a", "1", http.MethodPost, "/postings", nil)
		ran, err := svc.Revoke(t.Context(), "1")
		is.NoErr(err)
		is.True(!ran)
		_, err = svc.Call(t.Context(), op)
		is.True(errors.Is(err, connector.ErrFenced))
		is.Equal(fake.Executions()["1"], 0)
		_, err = svc.Call(t.Context(), connector.NewOperation("a", "2", http.MethodPost, "/postings", nil))
		is.NoErr(err)
		ran, err = svc.Revoke(t.Context(), "2")
		is.NoErr(err)
		is.True(ran)
	})
}
