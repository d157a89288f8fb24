package reporter_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/reporter"
	"github.com/dragonflyford/dragonflyford/responder"
)

func levels(thresholdMS float64) *bundler.Document {
	return &bundler.Document{ServiceLevels: []bundler.ServiceLevelDocument{
		{Name: "first", Measure: bundler.MeasureFirstToken, ThresholdMS: thresholdMS, Objective: 0.95},
		{Name: "gap", Measure: bundler.MeasureTokenGap, ThresholdMS: 53, Objective: 0.95},
		{Name: "stall", Measure: bundler.MeasureLoadStall, ThresholdMS: 500, Objective: 0.99},
		{Name: "success", Measure: bundler.MeasureSuccess, Objective: 0.999},
	}}
}

func publish(thresholdMS float64) *publisher.Publisher {
	p := publisher.New()
	p.Publish(bundler.NewSnapshot(1, levels(thresholdMS)))
	return p
}

// reportDelay is the time after which counts are included in a report.
const reportDelay = reporter.Lag + time.Minute

func read(t *testing.T, objects *emulator.Objects) *reporter.Report {
	t.Helper()
	r, err := reporter.Read(t.Context(), objects, time.Now(), reporter.ThreeDays)
	is.New(t).NoErr(err)
	return r
}

// counts returns the good and bad events of a line in the longest window.
func counts(r *reporter.Report, level, scope string) [2]uint64 {
	for _, l := range r.Lines() {
		if l.Level().Name() == level && l.Scope().String() == scope {
			last := l.Rates()[len(l.Rates())-1]
			return [2]uint64{last.Good(), last.Bad()}
		}
	}
	return [2]uint64{}
}

// stream returns tokens after delays, and then an error.
type stream struct {
	delays []time.Duration
	end    error
	next   int
}

func (s *stream) Next(context.Context) (connector.Chunk, error) {
	if s.next == len(s.delays) {
		return connector.Chunk{}, s.end
	}
	time.Sleep(s.delays[s.next])
	s.next++
	return connector.NewChunk("r.1", connector.NewModel("b", "a", "v"), s.next-1, "x", s.end == io.EOF && s.next == len(s.delays)), nil
}

func (*stream) Close() error { return nil }

// pipeline returns a pipeline that returns body or err after a delay.
func pipeline(delay time.Duration, body responder.Body, err error) reporter.Pipeline {
	return chainer.Func[*receiver.Call, *responder.Answer](func(ctx context.Context, _ *receiver.Call) (*responder.Answer, error) {
		time.Sleep(delay)
		m := connector.NewModel("b", "a", "v")
		if _, ok := body.(*responder.ReplyBody); ok {
			m = connector.Model{}
		}
		recorder.From(ctx).SetModel(&m)
		if err != nil {
			return nil, err
		}
		return responder.NewAnswer("r", m, 1, body), nil
	})
}

func tokens(end error, delays ...time.Duration) *responder.TokenBody {
	return responder.NewTokenBody(&stream{delays: delays, end: end})
}

func reply(status int) *responder.ReplyBody {
	return responder.NewReplyBody(connector.NewReply("r.1", status, "text/plain", nil), false)
}

// consume reads an answer to its end, or up to limit tokens, as the front end
// does.
func consume(ctx context.Context, p reporter.Pipeline, limit int, pause time.Duration) {
	a, err := p.Apply(ctx, receiver.NewGeneration("a@v", "p", 9, 0))
	if err != nil {
		return
	}
	b, ok := a.Body().(*responder.TokenBody)
	if !ok {
		return
	}
	defer func() { _ = b.Stream().Close() }()
	for range limit {
		if _, err := b.Stream().Next(ctx); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against events that are counted with the wrong outcome: invalid calls
// that burn the error budget, or failures of the system that do not.
func TestOutcomes(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name                string
		next                reporter.Pipeline
		limit               int
		pause               time.Duration
		canceled            bool
		first, gap, success [2]uint64
	}{
		{"complete", pipeline(0, tokens(io.EOF, 900*ms, 53*ms, 54*ms), nil), 9, 0, false, [2]uint64{1, 0}, [2]uint64{1, 1}, [2]uint64{1, 0}},
		{"late first token", pipeline(800*ms, tokens(io.EOF, 101*ms), nil), 9, 0, false, [2]uint64{0, 1}, [2]uint64{}, [2]uint64{1, 0}},
		{"reader stops at the last token", pipeline(0, tokens(io.EOF, ms, ms), nil), 2, 0, false, [2]uint64{1, 0}, [2]uint64{1, 0}, [2]uint64{1, 0}},
		{"slow reader", pipeline(0, tokens(io.EOF, ms, ms), nil), 9, time.Second, false, [2]uint64{1, 0}, [2]uint64{1, 0}, [2]uint64{1, 0}},
		{"broken", pipeline(0, tokens(connector.ErrBroken, ms), nil), 9, 0, false, [2]uint64{1, 0}, [2]uint64{}, [2]uint64{0, 1}},
		{"broken before the first token", pipeline(0, tokens(connector.ErrBroken), nil), 9, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{0, 1}},
		{"broken late before the first token", pipeline(time.Second, tokens(connector.ErrBroken), nil), 9, 0, false, [2]uint64{0, 1}, [2]uint64{}, [2]uint64{0, 1}},
		{"caller closes", pipeline(0, tokens(io.EOF, ms, ms, ms), nil), 2, 0, false, [2]uint64{1, 0}, [2]uint64{1, 0}, [2]uint64{}},
		{"caller disconnects after waiting too long", pipeline(time.Second, nil, context.Canceled), 0, 0, true, [2]uint64{0, 1}, [2]uint64{}, [2]uint64{}},
		{"caller disconnects while the answer breaks", pipeline(0, tokens(connector.ErrBroken, ms), nil), 9, 0, true, [2]uint64{1, 0}, [2]uint64{}, [2]uint64{}},
		{"deadline", pipeline(0, nil, context.DeadlineExceeded), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{0, 1}},
		{"overloaded", pipeline(0, nil, classifier.NewOverloaded("full")), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{0, 1}},
		{"unclassified", pipeline(0, nil, errors.New("fault")), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{0, 1}},
		{"not offered", pipeline(0, nil, classifier.NewNotOffered("no")), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{}},
		{"key reused", pipeline(0, nil, classifier.NewKeyReused("no")), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{}},
		{"stopped request", pipeline(0, nil, classifier.NewStopped("no")), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{}},
		{"service call", pipeline(0, reply(404), nil), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{1, 0}},
		{"service fails", pipeline(0, reply(500), nil), 0, 0, false, [2]uint64{}, [2]uint64{}, [2]uint64{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				objects := emulator.NewObjects()
				r := reporter.New("n1", "lj", publish(900), objects)
				ctx, cancel := context.WithCancel(t.Context())
				if tt.canceled {
					cancel()
				}
				ctx, _ = recorder.StartTrail(ctx, nil, "r")
				consume(ctx, r.Instrument(tt.next), tt.limit, tt.pause)
				cancel()
				is.NoErr(r.Close())
				time.Sleep(reportDelay)
				report := read(t, objects)
				is.Equal(counts(report, "first", "everywhere"), tt.first)
				is.Equal(counts(report, "gap", "region lj"), tt.gap)
				is.Equal(counts(report, "success", "everywhere"), tt.success)
			})
		})
	}
}

// Guards against events that are lost or counted twice when writes fail, responses
// to writes are lost, hours end, nodes are replaced or the bundle changes.
func TestCountedOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults func(o *emulator.Objects) error // injected while events are counted
		bundle bool                            // another bundle comes into force halfway
	}{
		{"no fault", func(*emulator.Objects) error { return nil }, false},
		{"store down", func(o *emulator.Objects) error { return o.Inject(emulator.Down{}) }, false},
		{"responses dropped", func(o *emulator.Objects) error { return o.Inject(emulator.NewAnswerLost(7, 0.3)) }, false},
		{"bundle changes", func(*emulator.Objects) error { return nil }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				objects := emulator.NewObjects()
				is.NoErr(tt.faults(objects))
				bundles := publish(900)
				var nodes []*reporter.Reporter
				for _, name := range []string{"n1", "n2"} {
					nodes = append(nodes, reporter.New(name, "lj", bundles, objects))
				}
				// One event per second for 150 minutes, which include ends of hours.
				for second := range 150 * 60 {
					if second == 4000 && tt.bundle {
						bundles.Publish(bundler.NewSnapshot(2, levels(800)))
					}
					if second == 6000 {
						objects.Clear()
					}
					nodes[second%2].ObserveLoadWait("a", time.Duration(second%4)*200*time.Millisecond)
					time.Sleep(time.Second)
				}
				for _, n := range nodes {
					is.NoErr(n.Close())
					is.Equal(n.Dropped(), int64(0))
				}
				// Replace the first node by one of the same name.
				again := reporter.New("n1", "lj", bundles, objects)
				again.ObserveLoadWait("a", 0)
				again.ObserveLoadWait("", 0)
				is.NoErr(again.Close())
				time.Sleep(reportDelay)
				report := read(t, objects)
				is.Equal(counts(report, "stall", "everywhere"), [2]uint64{6752, 2250})
				is.Equal(counts(report, "stall", "other adapters"), [2]uint64{6752, 2250})
				is.Equal(report.Nodes(), 2)
				is.Equal(report.Failed(), 0)
			})
		})
	}
}

// Guards against objects whose size grows with the number of adapters, and against
// a popular adapter that is not counted by name.
func TestBoundedAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := emulator.NewObjects()
		r := reporter.New("n1", "lj", publish(900), objects)
		time.Sleep(30 * time.Second) // away from the start of a minute
		for minute := range 30 {
			for i := range 1000 {
				m := connector.NewModel("b", "rare-"+strings.Repeat("i", i%100)+strings.Repeat("j", minute), "v")
				if i%3 == 0 {
					m = connector.NewModel("b", "popular", "v")
				}
				next := chainer.Func[*receiver.Call, *responder.Answer](func(context.Context, *receiver.Call) (*responder.Answer, error) {
					return responder.NewAnswer("r", m, 1, reply(200)), nil
				})
				_, err := r.Instrument(next).Apply(t.Context(), nil)
				is.NoErr(err)
			}
			time.Sleep(time.Minute)
		}
		is.NoErr(r.Close())
		time.Sleep(reportDelay)
		report := read(t, objects)
		is.Equal(counts(report, "success", "everywhere"), [2]uint64{30000, 0})
		// Adapters are counted by name only from the second minute on.
		is.Equal(counts(report, "success", "adapter popular"), [2]uint64{29 * 334, 0})
		keys, err := objects.List(t.Context(), "report/")
		is.NoErr(err)
		for _, k := range keys {
			body, err := objects.Get(t.Context(), k)
			is.NoErr(err)
			is.True(len(body) < 16<<10)
		}
	})
}

// Guards against a node whose memory grows while the store is down for days, and
// against counts that are dropped without being reported.
func TestOutageMemoryBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := emulator.NewObjects()
		is.NoErr(objects.Inject(emulator.Down{}))
		r := reporter.New("n1", "lj", publish(900), objects, reporter.WithInterval(time.Hour))
		const hours = 60
		time.Sleep(30 * time.Second) // away from the start of a minute
		for range hours {
			r.ObserveLoadWait("a", 0)
			time.Sleep(time.Hour)
		}
		objects.Clear()
		is.NoErr(r.Close())
		time.Sleep(reportDelay)
		kept := counts(read(t, objects), "stall", "everywhere")[0]
		is.True(kept >= 40 && kept < hours)
		is.Equal(int64(kept)+r.Dropped(), int64(hours))
	})
}

// Guards against Close returning nil although counts were not stored.
func TestCloseWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := emulator.NewObjects()
		r := reporter.New("n1", "lj", publish(900), objects)
		r.ObserveLoadWait("a", 0)
		is.NoErr(objects.Inject(emulator.Down{}))
		is.True(errors.Is(r.Close(), reporter.ErrNotStored))
	})
}

// Guards against history that is never deleted, or deleted too early. A node
// deletes its own objects; PruneAll also deletes those of nodes that no longer
// exist.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := emulator.NewObjects()
		gone := reporter.New("gone", "lj", publish(900), objects)
		gone.ObserveLoadWait("a", 0)
		is.NoErr(gone.Close())
		r := reporter.New("n1", "lj", publish(900), objects, reporter.WithRetention(5*time.Hour))
		time.Sleep(30 * time.Second) // away from the start of a minute
		for range 10 {
			r.ObserveLoadWait("a", 0)
			time.Sleep(time.Hour)
		}
		is.NoErr(r.Close())
		keys, err := objects.List(t.Context(), "report/n1/")
		is.NoErr(err)
		is.True(len(keys) >= 5 && len(keys) <= 7)
		removed, err := reporter.PruneAll(t.Context(), objects, time.Now().Add(-8*time.Hour))
		is.NoErr(err)
		is.Equal(removed, 1)
		keys, err = objects.List(t.Context(), "report/gone/")
		is.NoErr(err)
		is.Equal(len(keys), 0)
	})
}

// BenchmarkObserveLoadWait measures the cost of counting an event on all cores at
// the same time.
func BenchmarkObserveLoadWait(b *testing.B) {
	r := reporter.New("n1", "lj", publish(900), emulator.NewObjects())
	defer func() { _ = r.Close() }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.ObserveLoadWait("a", time.Millisecond)
		}
	})
}
