package storer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/storer"
)

// limited is a store that takes 100 entries in one commit.
type limited struct{ storer.Committer }

func (limited) MaxEntries() int { return 100 }

func ExampleBatches() {
	var writes []storer.Write
	for i := range 120 {
		writes = append(writes, storer.NewDelete(fmt.Sprint("key", i), 7))
	}
	for _, b := range storer.Batches(limited{}, writes) {
		fmt.Println(len(b.Writes()), "writes")
	}
	// Output:
	// 50 writes
	// 50 writes
	// 20 writes
}

// Guards against commits that a store rejects for their size, and against writes that are
// left out because nothing else fits beside them.
func TestBatch(t *testing.T) {
	is := is.New(t)
	large := make([]byte, 300_000)
	b := storer.NewBatch(limited{})
	for i := range 48 {
		is.True(b.Add(storer.NewPut(fmt.Sprint("key", i), nil, 0)))
	}
	is.True(!b.Add(storer.NewPut("a", nil, 0), storer.NewCheck("b", 1), storer.NewCheck("c", 1), storer.NewCheck("d", 1)))
	is.Equal(len(b.Writes()), 48)
	is.True(!b.Add(storer.NewPut("large", large, 0), storer.NewPut("large too", large, 0)))
	is.True(b.Add(storer.NewPut("large", large, 0)))
	is.True(b.Add(storer.NewCheck("a", 1), storer.NewCheck("b", 1)))
	is.True(!b.Add(storer.NewCheck("c", 1)))

	alone := storer.NewBatch(limited{})
	is.True(alone.Add(storer.NewPut("large", append(large, large...), 0)))
	is.True(!alone.Add(storer.NewCheck("a", 1)))
}
