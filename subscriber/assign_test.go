package subscriber_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/subscriber"
)

// dataCentre returns the hosts of one of six data centres of a deployment, with links of
// three widths.
func dataCentre(hosts int) []subscriber.Peer {
	var list []subscriber.Peer
	for i := range hosts / 6 {
		list = append(list, subscriber.NewPeer(fmt.Sprint("host", i), fmt.Sprint(i), []uint64{10, 100, 200}[i%3]))
	}
	return list
}

// without returns the hosts other than the one at an index.
func without(list []subscriber.Peer, i int) []subscriber.Peer {
	return append(append([]subscriber.Peer(nil), list[:i]...), list[i+1:]...)
}

// Guards against hosts that send a table to a number of others that grows with the
// deployment, and against calls to the store that grow with the hosts rather than with
// a small part of them.
func TestWhoReadsAndWhoCopies(t *testing.T) {
	tests := []struct {
		hosts   int
		readers int // most in a data centre
	}{{30, 1}, {62, 1}, {78, 1}, {90, 3}, {300, 8}, {3000, 72}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) {
			is := is.New(t)
			list := dataCentre(tt.hosts)
			followers := make(map[subscriber.Peer]int)
			readers := make(map[subscriber.Peer]bool)
			for i, self := range list {
				source, ok := subscriber.Assign("t", self, without(list, i))
				if ok {
					followers[source]++
				} else {
					readers[self] = true
				}
			}
			is.Equal(len(readers), tt.readers)
			for source, n := range followers {
				is.True(readers[source]) // no copy of a copy
				is.True(n <= subscriber.MaxFollowers)
				is.True(n <= subscriber.FollowersPerSource || len(list) <= subscriber.MaxFollowers+1)
			}
		})
	}
}

// starting is a host that starts. It has its copy only after a time.
type starting struct {
	began time.Time
	takes time.Duration
	calls int
}

func (s *starting) Snapshot(context.Context, string, string) (mirrorer.Copy, error) {
	s.calls++
	if time.Since(s.began) < s.takes {
		return mirrorer.Copy{}, storer.ErrUnavailable
	}
	return mirrorer.NewCopy(storer.NewChanges(nil, 1, 0), 0), nil
}

func (s *starting) Follow(ctx context.Context, address, table string, _ storer.Version, _ time.Duration) (mirrorer.Copy, error) {
	return s.Snapshot(ctx, address, table)
}

// Guards against hosts that all read the whole tables at the store when all of them have
// started at once; against small data centres that wait for each other; and against a host
// that waits for long for one that does not start.
func TestWhoReadsAtStart(t *testing.T) {
	none := func([]subscriber.Peer) []subscriber.Peer { return nil }
	few := func(others []subscriber.Peer) []subscriber.Peer { return others[:2] }
	tests := []struct {
		hosts   int
		takes   time.Duration // until a reader has its copy
		alive   func(others []subscriber.Peer) []subscriber.Peer
		readers int // of the hosts of a data centre
	}{
		{30, time.Second, none, 5},
		{62, time.Second, none, 10},
		{300, time.Second, none, 8},
		{300, time.Second, few, 8},
		{3000, time.Second, none, 72},
		{300, time.Minute, none, 50},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts, tt.takes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				list := dataCentre(tt.hosts)
				store, readers := &feed{}, 0
				for i, self := range list {
					r := &starting{began: time.Now(), takes: tt.takes}
					s := subscriber.New("t", store, r, self, func() []subscriber.Peer { return tt.alive(without(list, i)) }, time.Second, logger.Nop(),
						subscriber.WithStartPeers(func(context.Context) []subscriber.Peer { return without(list, i) }))
					before := store.calls
					began := time.Now()
					_, err := s.Snapshot(t.Context())
					is.NoErr(err)
					is.True(time.Since(began) <= 2500*time.Millisecond)
					is.True(r.calls <= 21)
					readers += store.calls - before
				}
				is.Equal(readers, tt.readers)
			})
		})
	}
}
