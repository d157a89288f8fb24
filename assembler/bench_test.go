package assembler_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Measures the CPU time of calls through a host over loopback, with and without
// log lines for calls. Callers and endpoints run in the same process; a profile
// shows the time of the host alone below platform.(*FrontEnd).ServeHTTP.
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
	const callersPerCPU = 1 // an engine has eight slots
	d := newDeployment(b)
	d.level = level
	stop := d.start(hostA)
	d.eventually(func() bool { return d.memberRows() == 2 })
	d.eventually(func() bool {
		status, _, err := d.call(&http.Client{}, hostA, "first", path, model)
		return err == nil && status == http.StatusOK
	})
	var calls, refused atomic.Int64
	b.SetParallelism(callersPerCPU)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{}}
		for pb.Next() {
			id := fmt.Sprint("call-", calls.Add(1))
			status, _, err := d.call(client, hostA, id, path, model)
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
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
	stop()
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
