package recorder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/recorder"
)

func ExampleRecorder_Explain() {
	r := recorder.New(100)
	_, trail := recorder.StartTrail(context.Background(), r, "r-1")
	trail.Note(recorder.StageAdmitter, "queued", "all places are taken")
	trail.Note(recorder.StagePlacer, "engine-1", "adapter is resident")
	for _, d := range r.Explain("r-1") {
		fmt.Println(d.Stage(), d.Decision(), "-", d.Reason())
	}
	// Output:
	// admitter queued - all places are taken
	// placer engine-1 - adapter is resident
}

// Guards against a ring that grows, and against one that overwrites the latest
// decisions instead of the oldest when many requests write at once.
func TestRingKeepsTheLatest(t *testing.T) {
	is := is.New(t)
	const size, writers, each = 64, 8, 200
	r := recorder.New(size)
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range each {
				r.Record("old", recorder.StageServer, "d", "")
				r.Explain("old")
			}
		})
	}
	wg.Wait()
	is.Equal(len(r.Explain("old")), size)
	for i := range size {
		r.Record("new", recorder.StageServer, fmt.Sprint(i), "")
	}
	is.Equal(len(r.Explain("old")), 0)
	for i, d := range r.Explain("new") {
		is.Equal(d.Decision(), fmt.Sprint(i))
	}
}

// Guards against a panic of a stage when no front end started a trail.
func TestNilTrail(t *testing.T) {
	is := is.New(t)
	trail := recorder.From(context.Background())
	trail.Note(recorder.StageServer, "d", "")
	trail.SetEpoch(1)
	is.Equal(trail.Epoch(), uint64(0))
	_, ok := trail.Model()
	is.True(!ok)
}
