package asserter_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
)

func ExampleAsserter_Check() {
	a := asserter.New(func(v asserter.Violation) { fmt.Println(v) })
	a.Check(asserter.EpochNeverFalls, 7 >= 6, "epoch fell from %d to %d", 6, 7)
	a.Check(asserter.EpochNeverFalls, 5 >= 7, "epoch fell from %d to %d", 7, 5)
	fmt.Println(a.Checks(asserter.EpochNeverFalls), a.Violations(asserter.EpochNeverFalls), a.Total())
	// Output:
	// epoch-never-falls: epoch fell from 7 to 5
	// 2 1 1
}

// Guards against a violation that is lost when several goroutines check
// concurrently, and against one that is counted under another invariant.
func TestConcurrentChecks(t *testing.T) {
	is := is.New(t)
	a := asserter.New(nil)
	var wg sync.WaitGroup
	for i, invariant := range asserter.All() {
		for range 4 {
			wg.Go(func() {
				for range 100 {
					a.Check(invariant, i%2 == 0, "%d", i)
				}
			})
		}
	}
	wg.Wait()
	for i, invariant := range asserter.All() {
		is.Equal(a.Checks(invariant), int64(400))
		is.Equal(a.Violations(invariant), int64(400*(i%2)))
		is.Equal(invariant.String(), asserter.Names()[i])
	}
}
