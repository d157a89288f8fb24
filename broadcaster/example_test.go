package broadcaster_test

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/broadcaster"
)

func ExampleBroadcaster() {
	now := time.Unix(0, 0)
	b := broadcaster.New[string](time.Minute)
	b.Add(now, "news")
	for _, d := range b.Next(now, []broadcaster.Peer{broadcaster.NewPeer("host-2", now)}) {
		fmt.Println(d.Peer(), d.Items())
		d.Delivered()
	}
	// Output: host-2 [news]
}
