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

// feed counts its calls, which take a while.
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
	storeTime = 290 * time.Millisecond // of a call at a busy store
	callTime  = 1400 * time.Millisecond
)

// remote answers with copies of an age, with an error, or not at all.
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

// Guards against a host that trusts another one that has lost the store, against
// calls to the store that another host makes already, against a silent host that
// leaves no time for the store, and against a whole table read for a short history.
func TestSource(t *testing.T) {
	tests := []struct {
		name           string
		remote         remote
		store, remote2 int // calls of ten
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
				store := &feed{takes: storeTime}
				// The names are chosen so that the other host is first by hash.
				peers := func() []subscriber.Peer { return []subscriber.Peer{subscriber.NewPeer(first("self"), "x:1", 0)} }
				s := subscriber.New("t", store, &tt.remote, subscriber.NewPeer("self", "", 0), peers, time.Second, logger.Nop())
				follow := func() {
					ctx, cancel := context.WithTimeout(t.Context(), callTime)
					defer cancel()
					_, err := s.Follow(ctx, 0, time.Second)
					is.NoErr(err)
				}
				for range 10 {
					follow()
				}
				is.Equal(store.calls, tt.store)
				is.Equal(tt.remote.calls, tt.remote2)
				time.Sleep(10 * time.Second)
				follow()
				is.True(tt.remote.calls > tt.remote2) // it is tried again later
			})
		})
	}
}

// first returns a host that follows the table at the store for a host.
func first(self string) string {
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

// Guards against a host without others that follows nothing.
func TestAlone(t *testing.T) {
	is := is.New(t)
	store := &feed{}
	s := subscriber.New("t", store, &remote{}, subscriber.NewPeer("self", "", 0), func() []subscriber.Peer { return nil }, time.Second, logger.Nop())
	_, err := s.Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(store.calls, 1)
}

// Guards against a host with a narrow link that follows tables for others while one
// with a wider link is there.
func TestWidestLink(t *testing.T) {
	is := is.New(t)
	wide := subscriber.NewPeer("wide", "x:1", 200)
	narrow := subscriber.NewPeer("narrow", "x:2", 10)
	for _, tt := range []struct {
		self, peer subscriber.Peer
		asked      int
	}{{narrow, wide, 1}, {wide, narrow, 0}} {
		r := &remote{}
		s := subscriber.New("t", &feed{}, r, tt.self, func() []subscriber.Peer { return []subscriber.Peer{tt.peer} }, time.Second, logger.Nop())
		_, err := s.Follow(t.Context(), 0, time.Second)
		is.NoErr(err)
		is.Equal(r.calls, tt.asked)
	}
}
