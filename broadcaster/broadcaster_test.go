package broadcaster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/broadcaster"
)

// Guards against an item that a peer never gets because it was cut off, joined later
// or started again, and against items that are sent after they were acknowledged.
func TestEachPeerGetsAll(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := broadcaster.New[int](time.Minute)
	p, q := broadcaster.NewPeer("p", now), broadcaster.NewPeer("q", now)
	peers := []broadcaster.Peer{p, q}
	is.Equal(len(b.Next(now, peers)), 0)
	b.Add(now, 1, 2)
	first := b.Next(now, peers)
	is.Equal(len(first), 2)
	is.Equal(first[0].Items(), []int{1, 2})
	is.Equal(len(b.Next(now, peers)), 0) // under way
	b.Add(now, 3)
	first[0].Delivered()
	first[1].Failed(now)
	second := b.Next(now, peers)
	is.Equal(len(second), 1) // q is retried later
	is.Equal(second[0].Items(), []int{3})
	second[0].Delivered()
	now = now.Add(2 * time.Second)
	third := b.Next(now, peers)
	is.Equal(len(third), 1)
	is.Equal(third[0].Peer(), "q")
	is.Equal(third[0].Items(), []int{1, 2, 3})

	again := broadcaster.NewPeer("q", now) // a new process
	fourth := b.Next(now, []broadcaster.Peer{p, again, broadcaster.NewPeer("r", now)})
	is.Equal(len(fourth), 2)
	is.Equal(fourth[0].Items(), []int{1, 2, 3})
	is.Equal(fourth[1].Items(), []int{1, 2, 3})
	third[0].Delivered() // to the process before: changes nothing
	fourth[0].Failed(now)
	is.Equal(len(b.Next(now.Add(2*time.Second), []broadcaster.Peer{again})), 1)
}

// Guards against items that are kept without end.
func TestBounds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := broadcaster.New[int](time.Minute)
	peers := []broadcaster.Peer{broadcaster.NewPeer("p", now)}
	for i := range 10_000 {
		b.Add(now, i)
	}
	n, last := 0, 0
	for list := b.Next(now, peers); len(list) > 0; list = b.Next(now, peers) {
		n += len(list[0].Items())
		last = list[0].Items()[len(list[0].Items())-1]
		list[0].Delivered()
	}
	is.Equal(n, 1024)
	is.Equal(last, 9999)
	is.Equal(len(b.Next(now.Add(2*time.Minute), []broadcaster.Peer{broadcaster.NewPeer("q", now)})), 0)
}
