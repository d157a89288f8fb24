package assembler_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Measures the processor time of a host's calls over loopback, with and without
// the logs of calls. Callers and endpoints run in the same process; the time of
// the host alone is in the profile, below platform.(*Front).ServeHTTP.
func BenchmarkCalls(b *testing.B) {
	for _, call := range []struct{ name, path, model string }{
		{"posting", "/post/x", ""}, {"idempotent", "/look/x", ""}, {"stream", "/llm/x", "m/a1"},
	} {
		for _, level := range []string{"info", "error"} {
			b.Run(fmt.Sprintf("%s/log=%s", call.name, level), func(b *testing.B) { measureCalls(b, call.path, call.model, level) })
		}
	}
}

func measureCalls(b *testing.B, path, model, level string) {
	b.Helper()
	const callersPerProcessor = 1 // an engine has eight slots
	w := newWorld(b)
	w.level = level
	stop := w.start(hostA)
	w.eventually(func() bool { return len(w.store.Rows("fleet")) == 2 })
	w.eventually(func() bool {
		status, _, err := w.call(&http.Client{}, hostA, "first", path, model)
		return err == nil && status == http.StatusOK
	})
	var calls, refused atomic.Int64
	b.SetParallelism(callersPerProcessor)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{}}
		for pb.Next() {
			id := fmt.Sprint("call-", calls.Add(1))
			status, _, err := w.call(client, hostA, id, path, model)
			if err != nil {
				b.Errorf("call %s: %v", id, err)
				return
			}
			if status != http.StatusOK {
				refused.Add(1)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
	stop()
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
