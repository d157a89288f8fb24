package viewer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

func view(engine string, running int) *viewer.View {
	m := connector.NewModel("base", "a", "v1")
	return viewer.NewView(engine, "node", map[connector.Model]viewer.Residency{m: viewer.Resident}, 4, 8, running, 0, time.Now(), true)
}

// Guards against views that are lost or stale after an update or a removal of
// others, and against a removal that changes a set loaded earlier.
func TestUpdate(t *testing.T) {
	is := is.New(t)
	v := viewer.New()
	v.Update(view("a", 1), view("b", 2))
	v.Update(view("a", 3))
	is.Equal(v.Load().Engine("a").Running(), 3)
	is.Equal(v.Load().Engine("b").Running(), 2)
	m := connector.NewModel("base", "a", "v1")
	is.Equal(v.Load().Engine("a").ResidencyOf(viewer.HashModel(m), m), viewer.Resident)
	other := connector.NewModel("base", "a", "v2")
	is.Equal(v.Load().Engine("a").ResidencyOf(viewer.HashModel(other), other), viewer.Absent)
	before := v.Load()
	v.Remove("a")
	is.Equal(v.Load().Engine("a"), nil)
	is.Equal(v.Load().Len(), 1)
	is.Equal(before.Len(), 2)
	is.Equal(v.Load().Engine("none"), nil)
}

// Guards against an update whose cost grows with the number of engines: owners
// publish up to 50 views per second for each engine.
func BenchmarkUpdate(b *testing.B) {
	v := viewer.New()
	var all []*viewer.View
	for i := range 11_000 {
		all = append(all, view(fmt.Sprintf("engine-%d", i), 0))
	}
	v.Update(all...)
	next := view("engine-5000", 1)
	b.ReportAllocs()
	for b.Loop() {
		v.Update(next)
	}
}
