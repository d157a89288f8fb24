package assembler_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// endlessServer answers each connection with the beginning of an answer and then repeats a
// text until the connection is closed.
func endlessServer(t *testing.T, beginning, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096)) // the request
				_, err := conn.Write([]byte(beginning))
				for err == nil {
					_, err = conn.Write([]byte(repeated))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an endpoint that sends bytes without end to 200 calls at once and thereby
// takes the memory of its host, or delays the answers of other endpoints. A second host
// without such calls shows by how much the machine itself delays answers.
func TestBytesWithoutEndBesideOthers(t *testing.T) {
	const (
		calls   = 200
		allowed = 64 << 20 // bytes of memory
		// others are answered in time, within the aim of their route.
		others    = 40
		objective = time.Second
	)
	tests := []struct{ name, beginning, repeated string }{
		{"head", "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
		{"head lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: x\r\n", 400)},
		{"event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 4096)},
	}
	for _, tt := range tests { // one after the other, as memory is measured
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			for _, host := range []string{hostA, hostB} {
				d.start(host)
				d.eventually(func() bool {
					status, _, _ := d.call(http.DefaultClient, host, "first", "/look/x", "")
					return status == http.StatusOK
				})
			}
			bad := emulator.NewEndpoint("i-bad", emulator.NewStreamOptions(time.Millisecond, 1))
			d.address[bad.ID()] = endlessServer(t, tt.beginning, tt.repeated)
			d.setEntry(bad, "streams", "ready")
			d.store.Set("op", "config", fmt.Appendf(nil, `{"version":2,"routes":[
				{"name":"stream","host":"h","prefix":"/llm/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":1000,"service":"streams","max_attempts":1,"gap_aim_ms":300},
				{"name":"look","host":"h","prefix":"/look/","route_type":"safe","timeout_ms":2000,"target_latency_ms":%d,"service":"ledger","max_attempts":2}],
				"services":[{"name":"streams","max_conns":400},{"name":"ledger","max_conns":100}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":6000}}`, objective.Milliseconds()))
			time.Sleep(2 * time.Second)
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)

			var endless, running sync.WaitGroup
			var complete atomic.Int64
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: calls}}
			for i := range calls {
				endless.Go(func() {
					status, _, err := d.call(client, hostA, fmt.Sprint("endless", i), "/llm/x", "")
					if status == http.StatusOK && err == nil {
						complete.Add(1)
					}
				})
			}
			peak := uint64(0)
			var slowest, slowestAlone atomic.Int64
			look := func(host, id string, slowest *atomic.Int64) {
				began := time.Now()
				status, _, err := d.call(http.DefaultClient, host, id, "/look/x", "")
				if err != nil || status != http.StatusOK {
					t.Errorf("call %s at host %s beside endless answers: status %d after %v, error %v, log %v", id, host, status, time.Since(began), err, d.logs.lines(id))
				}
				for took, old := int64(time.Since(began)), slowest.Load(); took > old && !slowest.CompareAndSwap(old, took); {
					old = slowest.Load()
				}
			}
			for i := range others {
				running.Go(func() { look(hostA, fmt.Sprint("other", i), &slowest) })
				running.Go(func() { look(hostB, fmt.Sprint("alone", i), &slowestAlone) })
				time.Sleep(25 * time.Millisecond)
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapInuse)
			}
			running.Wait()
			endless.Wait()
			is.Equal(complete.Load(), int64(0))
			is.True(time.Duration(slowest.Load()) <= objective+time.Duration(slowestAlone.Load()))
			is.True(peak < before.HeapInuse+allowed)
		})
	}
}
