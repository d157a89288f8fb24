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

// seeds answers with copies of the ages by address. An address without one gives no answer.
type seeds map[string]time.Duration

func (s seeds) Snapshot(ctx context.Context, address, _ string) (mirrorer.Copy, error) {
	age, ok := s[address]
	if !ok {
		<-ctx.Done()
		return mirrorer.Copy{}, ctx.Err()
	}
	return mirrorer.NewCopy(storer.NewChanges(nil, storer.Version(age/time.Second), 0), age), nil
}

func (s seeds) Follow(context.Context, string, string, storer.Version, time.Duration) (mirrorer.Copy, error) {
	return mirrorer.Copy{}, errors.New("not asked")
}

// Guards against a host that refuses all calls because it starts while the store does not answer,
// against the use of an older copy than necessary, and against copies from seeds in place of
// a store that answers.
func TestSeeds(t *testing.T) {
	const minute, second = time.Minute, time.Second
	tests := []struct {
		name   string
		seeds  seeds
		listed []subscriber.Peer // hosts that the store lists; nil if it does not answer
		want   storer.Version
		fails  bool
	}{
		{"store is away", seeds{"a": minute, "b": 20 * second}, nil, 20, false},
		{"one seed has ended", seeds{"b": minute}, nil, 60, false},
		{"all seeds have ended", seeds{}, nil, 0, true},
		{"store answers", seeds{"a": minute, "b": 20 * second}, []subscriber.Peer{}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := storer.Feed(&feed{})
				if tt.listed == nil {
					table = away{}
				}
				s := subscriber.New("t", table, tt.seeds, subscriber.NewPeer("self", "", 0), func() []subscriber.Peer { return nil }, second, logger.Nop(),
					subscriber.WithStartPeers(func(context.Context) []subscriber.Peer { return tt.listed }),
					subscriber.WithSeeds([]subscriber.Peer{subscriber.NewPeer("a", "a", 0), subscriber.NewPeer("b", "b", 0)}))
				began := time.Now()
				changes, err := s.Snapshot(t.Context())
				is.Equal(err != nil, tt.fails)
				is.True(time.Since(began) <= 1500*time.Millisecond)
				if err == nil {
					is.Equal(changes.Version(), tt.want)
				}
			})
		})
	}
}

// away is a store that refuses all calls.
type away struct{}

func (away) Snapshot(context.Context) (storer.Changes, error) {
	return storer.Changes{}, storer.ErrUnavailable
}

func (away) Follow(context.Context, storer.Version, time.Duration) (storer.Changes, error) {
	return storer.Changes{}, storer.ErrUnavailable
}
