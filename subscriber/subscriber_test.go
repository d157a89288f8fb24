package subscriber_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/subscriber"
)

// feed counts its calls. Each Follow takes the given time.
type feed struct {
	takes time.Duration
	calls int
}

func (f *feed) Snapshot(context.Context) (storer.Changes, error) {
	f.calls++
	return storer.NewChanges(nil, 1, 0), nil
}

func (f *feed) Follow(ctx context.Context, _ storer.Version, _ time.Duration) (storer.Changes, error) {
	f.calls++
	select {
	case <-time.After(f.takes):
		return storer.NewChanges(nil, 1, 0), nil
	case <-ctx.Done():
		return storer.Changes{}, ctx.Err()
	}
}

const (
	storeLatency = 290 * time.Millisecond // of a call to a busy store
	callTimeout  = 1400 * time.Millisecond
)

// remote returns copies of the given age, an error, or no response.
type remote struct {
	age    time.Duration
	err    error
	silent bool
	calls  int
}

func (r *remote) Snapshot(ctx context.Context, _, _ string) (mirrorer.Copy, error) {
	r.calls++
	if r.silent {
		<-ctx.Done()
		return mirrorer.Copy{}, ctx.Err()
	}
	return mirrorer.NewCopy(storer.NewChanges(nil, 1, 0), r.age), r.err
}

func (r *remote) Follow(ctx context.Context, address, table string, _ storer.Version, _ time.Duration) (mirrorer.Copy, error) {
	return r.Snapshot(ctx, address, table)
}

// Guards against the use of a copy from a host that lost contact with the store,
// against calls to the store that another host already makes, against a host that
// does not respond and leaves no time for a call to the store, and against a read of
// the whole table where only the history of the other host is too short.
func TestSource(t *testing.T) {
	tests := []struct {
		name                    string
		remote                  remote
		storeCalls, remoteCalls int // expected calls after ten Follow calls
	}{
		{"fresh copy", remote{}, 0, 10},
		{"old copy", remote{age: 2 * time.Second}, 10, 1},
		{"error", remote{err: errors.New("refused")}, 10, 1},
		{"no answer", remote{silent: true}, 10, 1},
		{"short history", remote{err: storer.ErrHistoryLost}, 10, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &feed{takes: storeLatency}
				// The name is chosen so that the other host is first by hash.
				peers := func() []subscriber.Peer { return []subscriber.Peer{subscriber.NewPeer(sourceFor("self"), "x:1", 0)} }
				s := subscriber.New("t", store, &tt.remote, subscriber.NewPeer("self", "", 0), peers, time.Second, logger.Nop())
				follow := func() {
					ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
					defer cancel()
					_, err := s.Follow(ctx, 0, time.Second)
					is.NoErr(err)
				}
				for range 10 {
					follow()
				}
				is.Equal(store.calls, tt.storeCalls)
				is.Equal(tt.remote.calls, tt.remoteCalls)
				time.Sleep(10 * time.Second)
				follow()
				is.True(tt.remote.calls > tt.remoteCalls) // the skip time is over
			})
		})
	}
}

// sourceFor returns the name of a host that the given host chooses as its source.
func sourceFor(self string) string {
	for i := range 100 {
		name := "peer-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		store, r := &feed{}, &remote{}
		peers := func() []subscriber.Peer { return []subscriber.Peer{subscriber.NewPeer(name, "x:1", 0)} }
		s := subscriber.New("t", store, r, subscriber.NewPeer(self, "", 0), peers, time.Second, logger.Nop())
		if _, err := s.Follow(context.Background(), 0, 0); err == nil && r.calls == 1 {
			return name
		}
	}
	return ""
}

// Guards against a host without peers that does not read from the store.
func TestAlone(t *testing.T) {
	is := is.New(t)
	store := &feed{}
	s := subscriber.New("t", store, &remote{}, subscriber.NewPeer("self", "", 0), func() []subscriber.Peer { return nil }, time.Second, logger.Nop())
	_, err := s.Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(store.calls, 1)
}

// Guards against a host with a narrow link that is chosen as the source while a host
// with a wider link is available.
func TestWidestLink(t *testing.T) {
	is := is.New(t)
	wide := subscriber.NewPeer("wide", "x:1", 200)
	narrow := subscriber.NewPeer("narrow", "x:2", 10)
	for _, tt := range []struct {
		self, peer subscriber.Peer
		wantCalls  int
	}{{narrow, wide, 1}, {wide, narrow, 0}} {
		r := &remote{}
		s := subscriber.New("t", &feed{}, r, tt.self, func() []subscriber.Peer { return []subscriber.Peer{tt.peer} }, time.Second, logger.Nop())
		_, err := s.Follow(t.Context(), 0, time.Second)
		is.NoErr(err)
		is.Equal(r.calls, tt.wantCalls)
	}
}

// brokenFeed is a store that does not answer this host.
type brokenFeed struct{ feed }

func (f *brokenFeed) Follow(context.Context, storer.Version, time.Duration) (storer.Changes, error) {
	f.calls++
	return storer.Changes{}, storer.ErrUnavailable
}

// Guards against a host that the store does not answer and that uses no copy of a host that
// it would not choose otherwise; against a copy that counts as new although it is not; and
// against hosts that go on with each other's copies once the store is back for all.
func TestSourceWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, r := &brokenFeed{}, &remote{age: time.Second}
		s := subscriber.New("t", store, r, subscriber.NewPeer("self", "", 100),
			func() []subscriber.Peer { return []subscriber.Peer{subscriber.NewPeer("narrow", "a", 10)} }, 1300*time.Millisecond, logger.Nop())
		follow := func() (storer.Changes, error) { return s.Follow(t.Context(), 1, 0) }
		_, err := follow()
		is.True(err != nil) // it chose itself
		_, err = follow()
		is.True(err != nil) // the copy is from before the failure
		is.Equal(store.calls, 2)
		time.Sleep(1100 * time.Millisecond)
		got, err := follow()
		is.NoErr(err)
		is.Equal(got.Age(), time.Second)
		is.Equal(store.calls, 2)

		r.age = 2 * time.Second // the other host has lost the store, too
		_, err = follow()
		is.True(err != nil)
		is.Equal(store.calls, 3)
	})
}
