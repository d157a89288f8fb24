package emulator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// body counts the bytes of a response body.
type body struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c body) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

// Measures one load report of an engine over loopback, which its owner reads
// twice a second. The fake runs in the same process.
func BenchmarkReport(b *testing.B) {
	e := emulator.NewEngine(emulator.NewWeightStore(emulator.WithLoadTime(time.Microsecond, 8)), emulator.WithSlots(4))
	defer e.Close()
	for i := range 3 {
		m := connector.NewModel("base-7b", fmt.Sprintf("branch-%05d-amounts", i), "v1")
		if err := e.Order(b.Context(), connector.NewLoadAdapter(connector.NewFence(1, time.Now().Add(time.Minute)), m)); err != nil {
			b.Fatal(err)
		}
	}
	var bytes atomic.Int64
	handler := emulator.EngineHandler(e)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(body{w, &bytes}, r)
	}))
	defer srv.Close()
	client := connector.NewHTTPEngine(srv.Listener.Addr().String())
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Report(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "body-B/op")
}
