package roller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against a lease that counts as valid after its node has gone, or as
// expired while the node renews it.
func TestTableNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		renew := func(key string, version storer.Version) {
			is.NoErr(table.Commit(t.Context(), storer.NewPut(key, []byte("lj"), version)))
		}
		decode := func(row storer.Row) (string, string, uint64, uint64, error) {
			return row.Key(), string(row.Value()), 2, 1, nil
		}
		nodes := roller.NewTableNodes(table, "node/", 7*time.Second, decode)
		renew("node/gone", 0)
		renew("node/here", 0)
		live := func() (gone, here bool) {
			list, err := nodes.List(t.Context())
			is.NoErr(err)
			is.Equal(len(list), 2)
			return list[0].Live(), list[1].Live()
		}
		for i := range storer.Version(4) {
			gone, here := live()
			is.Equal(gone, i < 3) // 0, 3 and 6 s after the first sight
			is.True(here)
			renew("node/here", i+1)
			time.Sleep(3 * time.Second)
		}
	})
}
