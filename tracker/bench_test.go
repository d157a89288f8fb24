package tracker_test

import (
	"fmt"
	"testing"

	"github.com/dragonflyford/dragonflyford/tracker"
)

// Measures the first read of a deployment's entries by a host, as one batch and one
// entry at a time.
func BenchmarkUpsert(b *testing.B) {
	for _, n := range []int{100, 3000} {
		entries := make([]tracker.Entry, n)
		for i := range entries {
			entries[i] = tracker.NewEntry(fmt.Sprint("e", i), fmt.Sprint("svc", i%20), "1.1.1.1:1", "z1", 4, false, 1, nil)
		}
		b.Run(fmt.Sprint("together=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.New(nil).Upsert(entries...)
			}
		})
		b.Run(fmt.Sprint("apart=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t := tracker.New(nil)
				for _, e := range entries {
					t.Upsert(e)
				}
			}
		})
	}
}
