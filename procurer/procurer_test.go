package procurer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// membershipTable is an in-memory membership table.
type membershipTable struct {
	mu   sync.Mutex
	rows []storer.Change
}

func (o *membershipTable) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := storer.Version(len(o.rows) + 1)
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			o.rows = append(o.rows, storer.NewChange(storer.NewRow(put.Key(), put.Value(), v)))
		}
	}
	return v, nil
}

func host(o *membershipTable, name string) *enroller.Enroller {
	times := enroller.NewTiming(time.Second, time.Minute, time.Second, time.Second, time.Minute)
	return enroller.New(enroller.NewLocalHost(name, name+":80", name+":81", "z", "r", 0), times, o, logger.Nop())
}

// recorder is an owner that records the requests it receives.
type recorder struct {
	mu        sync.Mutex
	reports   []procurer.SpeedReport
	requests  []supplier.ReserveRequest
	addresses []string
	err       error
	unsure    bool
}

func (a *recorder) Reserve(_ context.Context, address string, req supplier.ReserveRequest) (supplier.ReserveResponse, error) {
	a.requests, a.addresses = append(a.requests, req), append(a.addresses, address)
	granted := supplier.NewGranted(1, 0)
	if a.unsure {
		granted = granted.AsUnsure()
	}
	return granted, a.err
}

func (a *recorder) ReportSpeed(ctx context.Context, _ string, r procurer.SpeedReport) error {
	a.mu.Lock()
	a.reports = append(a.reports, r)
	a.mu.Unlock()
	<-ctx.Done() // the owner does not answer
	return ctx.Err()
}

// samples records the engines whose samples were requested.
type samples struct {
	list   []estimator.Sample
	resent []string
}

func (s *samples) Pending(string) []estimator.Sample {
	list := s.list
	s.list = nil
	return list
}

func (s *samples) Resend(engine string) { s.resent = append(s.resent, engine) }

type local struct{ recorder *recorder }

func (l local) Reserve(ctx context.Context, req supplier.ReserveRequest) supplier.ReserveResponse {
	s, _ := l.recorder.Reserve(ctx, "", req)
	return s
}

func engine() *tracker.Endpoint {
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "s", "1.1.1.1:1", "z", 8, false, 1, nil))
	return fleet.Current().Endpoint("e1")
}

// hostBesideOwner returns a host that knows another one, "owner", as the owner of engine e1.
func hostBesideOwner(t *testing.T) *enroller.Enroller {
	t.Helper()
	rows := &membershipTable{}
	owner, self := host(rows, "owner"), host(rows, "self")
	claim(t, owner)
	self.Apply(rows.rows)
	self.Contact(9, 0, 0)
	return self
}

var (
	first  = connector.NewModel("base", "a1", "")
	second = connector.NewModel("base", "a2", "")
)

// Guards against requests that do not list the models in use, which their owner would
// then evict.
func TestModelsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self, remote := hostBesideOwner(t), &recorder{}
		p := procurer.New(local{&recorder{}}, remote, self, &samples{})
		release := p.Use("e1", first)
		ended := p.Use("e1", second)
		ended()
		used := func() []connector.Model {
			_, err := p.Reserve(t.Context(), engine(), first)
			is.NoErr(err)
			return remote.requests[len(remote.requests)-1].ModelsInUse()
		}
		is.Equal(len(used()), 2)
		is.Equal(used(), []connector.Model{first}) // still running
		release()
		is.Equal(used(), []connector.Model{first}) // ended since the last request
		is.Equal(len(used()), 0)
		is.Equal(remote.addresses[0], "owner:81")
	})
}

// Guards against an owner that learns of a slowdown only when it is over, and against reports
// that pile up for an owner that does not answer.
func TestSlowdownIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self, remote := hostBesideOwner(t), &recorder{}
		p := procurer.New(local{&recorder{}}, remote, self, &samples{})
		defer p.Close()
		reported := func() int {
			synctest.Wait()
			remote.mu.Lock()
			defer remote.mu.Unlock()
			return len(remote.reports)
		}
		p.Report(engine(), estimator.NewSlowdown(2.5))
		is.Equal(reported(), 1)
		is.Equal(remote.reports[0], procurer.NewSpeedReport("e1", estimator.NewSlowdown(2.5)))
		for range 10 {
			p.Report(engine(), estimator.NewSlowdown(2.5))
		}
		is.Equal(reported(), 1) // one at a time
		time.Sleep(time.Second)
		p.Report(engine(), estimator.NewSlowdown(2.5))
		is.Equal(reported(), 2)
	})
}

// Guards against an owner that learns from its own calls only, and against one that
// was restarted and does not get what the other hosts know.
func TestSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self, remote := hostBesideOwner(t), &recorder{}
		known := &samples{list: []estimator.Sample{estimator.NewPrefill(100, time.Millisecond)}}
		p := procurer.New(local{&recorder{}}, remote, self, known)
		_, err := p.Reserve(t.Context(), engine(), first)
		is.NoErr(err)
		is.Equal(len(remote.requests[0].Samples()), 1)
		is.Equal(len(known.resent), 0)
		remote.unsure = true
		_, err = p.Reserve(t.Context(), engine(), first)
		is.NoErr(err)
		is.Equal(len(remote.requests[1].Samples()), 0)
		is.Equal(known.resent, []string{"e1"})
	})
}

// claim makes a host the owner of engine e1.
func claim(t *testing.T, h *enroller.Enroller) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	time.Sleep(4 * time.Second)
	h.Contact(5, 0, 0)
	h.Claim(t.Context(), []enroller.Engine{engine()})
	cancel()
	<-done
}

// Guards against calls that each wait for the same unresponsive owner, and against a
// request for an engine without an owner that does not fail.
func TestUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, remote := &membershipTable{}, &recorder{err: errors.New("owner does not answer")}
		owner, self := host(rows, "owner"), host(rows, "self")
		p := procurer.New(local{&recorder{}}, remote, self, &samples{})
		_, err := p.Reserve(t.Context(), engine(), first)
		is.True(err != nil)
		is.Equal(len(remote.requests), 0)
		claim(t, owner)
		self.Apply(rows.rows)
		self.Contact(9, 0, 0)
		for range 5 {
			_, err = p.Reserve(t.Context(), engine(), first)
			is.True(err != nil)
		}
		is.Equal(len(remote.requests), 1)
		time.Sleep(2 * time.Second)
		remote.err = nil
		_, err = p.Reserve(t.Context(), engine(), first)
		is.NoErr(err)
	})
}

// Guards against a host that sends requests for its own engines over the network.
func TestOwnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, own := &membershipTable{}, &recorder{}
		self := host(rows, "self")
		claim(t, self)
		p := procurer.New(local{own}, &recorder{err: errors.New("remote must not be called")}, self, &samples{})
		_, err := p.Reserve(t.Context(), engine(), first, supplier.WithMinVersion(3))
		is.NoErr(err)
		is.Equal(own.requests[0].MinVersion(), int64(3))
	})
}
