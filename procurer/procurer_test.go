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
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// owners is the table of the membership.
type owners struct {
	mu   sync.Mutex
	rows []storer.Change
}

func (o *owners) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
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

func host(o *owners, name string) *enroller.Enroller {
	times := enroller.NewTiming(time.Second, time.Minute, time.Second, time.Second, time.Minute)
	return enroller.New(enroller.NewLocalHost(name, name+":80", name+":81", "z", "r", 0), times, o, logger.Nop())
}

// asked records what an owner is asked.
type asked struct {
	wants     []supplier.ReserveRequest
	addresses []string
	err       error
}

func (a *asked) Reserve(_ context.Context, address string, w supplier.ReserveRequest) (supplier.ReserveResponse, error) {
	a.wants, a.addresses = append(a.wants, w), append(a.addresses, address)
	return supplier.NewGranted(1, 0), a.err
}

type local struct{ asked *asked }

func (l local) Reserve(ctx context.Context, w supplier.ReserveRequest) supplier.ReserveResponse {
	s, _ := l.asked.Reserve(ctx, "", w)
	return s
}

func engine() *tracker.Endpoint {
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "s", "1.1.1.1:1", "z", 8, false, 1, nil))
	return fleet.Current().Endpoint("e1")
}

var (
	first  = connector.NewModel("base", "a1", "")
	second = connector.NewModel("base", "a2", "")
)

// Guards against an owner that does not hear which models are in use, and so evicts
// them.
func TestUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, remote := &owners{}, &asked{}
		owner, self := host(rows, "owner"), host(rows, "self")
		claim(t, owner)
		self.Apply(rows.rows)
		self.Contact(9, 0)
		p := procurer.New(local{&asked{}}, remote, self)
		release := p.Use("e1", first)
		ended := p.Use("e1", second)
		ended()
		used := func() []connector.Model {
			_, err := p.Reserve(t.Context(), engine(), first)
			is.NoErr(err)
			return remote.wants[len(remote.wants)-1].ModelsInUse()
		}
		is.Equal(len(used()), 2)
		is.Equal(used(), []connector.Model{first}) // still running
		release()
		is.Equal(used(), []connector.Model{first}) // ended since the last question
		is.Equal(len(used()), 0)
		is.Equal(remote.addresses[0], "owner:81")
	})
}

// claim makes a host the owner of engine e1.
func claim(t *testing.T, h *enroller.Enroller) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	time.Sleep(4 * time.Second)
	h.Contact(5, 0)
	h.Claim(t.Context(), []enroller.Engine{engine()})
	cancel()
	<-done
}

// Guards against calls that each wait for an owner that does not answer, and
// against one without an owner that counts as declined.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, remote := &owners{}, &asked{err: errors.New("silent")}
		owner, self := host(rows, "owner"), host(rows, "self")
		p := procurer.New(local{&asked{}}, remote, self)
		_, err := p.Reserve(t.Context(), engine(), first)
		is.True(err != nil)
		is.Equal(len(remote.wants), 0)
		claim(t, owner)
		self.Apply(rows.rows)
		self.Contact(9, 0)
		for range 5 {
			_, err = p.Reserve(t.Context(), engine(), first)
			is.True(err != nil)
		}
		is.Equal(len(remote.wants), 1)
		time.Sleep(2 * time.Second)
		remote.err = nil
		_, err = p.Reserve(t.Context(), engine(), first)
		is.NoErr(err)
	})
}

// Guards against an owner that asks itself over the network.
func TestOwnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, here := &owners{}, &asked{}
		self := host(rows, "self")
		claim(t, self)
		p := procurer.New(local{here}, &asked{err: errors.New("not reached")}, self)
		_, err := p.Reserve(t.Context(), engine(), first, supplier.WithMinVersion(3))
		is.NoErr(err)
		is.Equal(here.wants[0].MinVersion(), int64(3))
	})
}
