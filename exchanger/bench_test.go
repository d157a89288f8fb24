package exchanger_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
)

// BenchmarkDo measures a call on a kept connection: a short one, and one whose body is
// written while the answer may already be read.
func BenchmarkDo(b *testing.B) {
	const longBody = 64 << 10 // bytes
	for _, bench := range []struct{ name, body string }{{"short body", "body"}, {"long body", strings.Repeat("x", longBody)}} {
		b.Run(bench.name, func(b *testing.B) {
			_, e := newPeer(b, func(w net.Conn, id string, _ int) bool { return write(w, reply(id, "good")) })
			c := exchanger.New(dialect{})
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, []byte(bench.body))
				a, err := c.Do(b.Context(), e, exchanger.NewOutbound(call, e.ID(), time.Now().Add(time.Minute)), time.Minute, 1)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, a.Body()); err != nil {
					b.Fatal(err)
				}
				if err := a.Body().Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
