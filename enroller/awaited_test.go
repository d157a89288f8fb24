package enroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// Guards against a host that is forgotten because a restore of the store lost its row, and
// against one that is awaited although it has written its row again.
func TestAwaitedAfterRestore(t *testing.T) {
	withPair(t, func(_ *testing.T, is *is.I, a, b *host) {
		list, settled := a.View().Awaited()
		is.Equal(len(list), 0)
		is.True(settled)
		b.cut.Store(true)
		saved := a.table.save()
		delete(saved.rows, "host/h2")
		a.table.restore(saved)
		time.Sleep(time.Second)
		list, settled = a.View().Awaited()
		is.Equal(len(list), 1)
		is.Equal(list[0].Name(), "h2")
		is.True(!settled)
		time.Sleep(lostAfter)
		list, settled = a.View().Awaited()
		is.Equal(len(list), 1)
		is.True(settled)
		b.cut.Store(false)
		time.Sleep(3 * renew)
		list, _ = a.View().Awaited()
		is.Equal(len(list), 0)
	})
}

// Guards against a list of the times of copies that grows with each restore of the store.
func TestCopiedAtIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
		defer start(t, a, b)()
		time.Sleep(8 * time.Second)
		for range enroller.MaxCopies + 4 {
			saved := tab.save()
			time.Sleep(9 * time.Second)
			tab.restore(saved)
			time.Sleep(3 * time.Second)
		}
		known := a.CopiedAt()
		is.Equal(len(known), enroller.MaxCopies)
		_, latest := known[enroller.MaxCopies+4]
		is.True(latest)
	})
}
