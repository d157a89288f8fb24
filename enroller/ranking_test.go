package enroller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hosts that rank each other differently for a key, against a ranking that names
// a host which leaves, and against one that is computed for each call.
func TestRanking(t *testing.T) {
	withPair(t, func(t *testing.T, is *is.I, a, b *host) {
		time.Sleep(10 * time.Second)
		firsts := make(map[string]int)
		seen := a.View() // a later view has other hosts after a renewal
		for i := range 100 {
			key := fmt.Sprint("key", i)
			ranking := seen.Ranking(key)
			is.Equal(len(ranking.Hosts()), 2)
			for j, h := range seen.Ranked(key, 2) {
				is.Equal(ranking.Hosts()[j], h)
				is.Equal(b.View().Ranking(key).Hosts()[j].Name(), h.Name())
			}
			firsts[ranking.Hosts()[0].Name()]++
		}
		is.Equal(len(firsts), 2)
		view := a.View()
		is.Equal(view.ServingCount(), 2)
		is.Equal(view.Ranking("key"), view.Ranking("key"))
		is.Equal(testing.AllocsPerRun(100, func() { view.Ranking("key") }), 0.0)

		a.Leave(t.Context())
		time.Sleep(3 * time.Second)
		is.Equal(b.View().ServingCount(), 1)
		is.Equal(b.View().Ranking("key").Hosts()[0].Name(), b.Self())
	})
}
