package exchanger_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Guards against a chosen endpoint whose claim ends before the call counts as in flight, or
// never because the endpoint cannot be reached.
func TestOnBegin(t *testing.T) {
	is := is.New(t)
	_, e := newPeer(t, func(w net.Conn, id string, _ int) bool { return write(w, reply(id, "x")) })
	gone := func() *tracker.Endpoint {
		tr := tracker.New(nil)
		tr.Upsert(tracker.NewEntry("gone", "svc", "127.0.0.1:1", "z", 1, false, 1, nil))
		return tr.Current().Endpoint("gone")
	}()
	c := exchanger.New(dialect{})
	defer c.Close()
	for _, target := range []*tracker.Endpoint{e, gone} {
		inFlight := -1
		out := exchanger.NewOutbound(router.NewCall("a", "POST", "h", "/x", "/x", http.Header{}, []byte("x")), target.ID(),
			time.Now().Add(time.Second), exchanger.OnBegin(func() { inFlight = target.Outstanding() }))
		a, err := c.Do(t.Context(), target, out, time.Minute, 10)
		if target == gone {
			is.True(err != nil)
			is.Equal(inFlight, 0)
			continue
		}
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(inFlight, 1)
	}
}
