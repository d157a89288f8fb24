package leaser_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/storer"
)

// counted counts the bytes of response bodies.
type counted struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.ResponseWriter.Write(b)
	if err != nil {
		return n, fmt.Errorf("answer: %w", err)
	}
	return n, nil
}

// Measures a scan of the lease rows over loopback HTTP and the bytes that it
// reads. The fake table runs in the same process.
func BenchmarkScan(b *testing.B) {
	value := leaseRow(b)
	for _, members := range []int{6, 60, 280, 560} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			ctx := context.Background()
			table := emulator.NewTable()
			for i := range members {
				if err := table.Commit(ctx, storer.NewPut(leaser.NodeKey("superior1", fmt.Sprintf("superior-entry-%03d", i)), value, 0)); err != nil {
					b.Fatal(err)
				}
			}
			var bytes atomic.Int64
			handler := emulator.PlatformHandler(table, nil, nil, nil)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handler.ServeHTTP(counted{w, &bytes}, r)
			}))
			defer srv.Close()
			remote := storer.NewHTTPTable(srv.Listener.Addr().String())
			defer remote.Close()
			b.ReportAllocs()
			for b.Loop() {
				rows, err := storer.GetAll(ctx, remote, "node/")
				if err != nil || len(rows) != members {
					b.Fatalf("%d rows, %v", len(rows), err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "body-B/op")
		})
	}
}

// leaseRow returns the value of a lease row as a node writes it.
func leaseRow(b *testing.B) []byte {
	b.Helper()
	ctx := context.Background()
	table := emulator.NewTable()
	id := leaser.NewIdentity("superior-entry-001", "203.0.113.10:8100", "203.0.113.10:9100", "superior", "superior1")
	l := leaser.New(id, table, emulator.NewHostList())
	defer l.Abandon()
	for range 100 {
		if row, err := table.Get(ctx, leaser.NodeKey("superior1", "superior-entry-001")); err == nil {
			return row.Value()
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal(io.ErrUnexpectedEOF)
	return nil
}

// Measures the assignment of a data centre: the size of its row, and the time
// to plan and encode it after the loss of one of 20 members.
func BenchmarkAssignment(b *testing.B) {
	for _, engines := range []int{12, 100, 380} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var names []string
			for i := range engines {
				names = append(names, fmt.Sprintf("engine-superior1-%03d", i))
			}
			var members []leaser.Candidate
			for i := range 20 {
				h := leaser.NewHolder(fmt.Sprintf("superior-entry-%03d", i), fmt.Sprintf("%016x", i), 1)
				members = append(members, leaser.NewCandidate(h, false))
			}
			may := func(leaser.Holder) bool { return true }
			first, _ := leaser.Plan(&leaser.Assignment{}, members, leaser.NewEngines(1, names), may)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				next, changed := leaser.Plan(first, members[1:], leaser.NewEngines(1, names), may)
				row, err := next.Encode()
				if err != nil || !changed {
					b.Fatal(err)
				}
				size = len(row)
			}
			b.ReportMetric(float64(size), "row-B")
		})
	}
}
