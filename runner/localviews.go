package runner

import (
	"sync"

	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// journal numbers the changes of the node's own views, so that peers fetch only
// what changed.
type journal struct {
	mu      sync.Mutex
	version uint64
	changed map[string]uint64
	removed uint64 // version of the last removal
	views   map[string]*viewer.View
}

func newJournal() *journal {
	return &journal{changed: make(map[string]uint64), views: make(map[string]*viewer.View)}
}

func (j *journal) put(v *viewer.View) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.version++
	j.changed[v.Engine()] = j.version
	j.views[v.Engine()] = v
}

func (j *journal) remove(engine string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.version++
	j.removed = j.version
	delete(j.changed, engine)
	delete(j.views, engine)
}

func (j *journal) engines() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	names := make([]string, 0, len(j.views))
	for name := range j.views {
		names = append(names, name)
	}
	return names
}

// since returns what changed after a version. After a removal, and to a peer
// that knows a later version than there is, it returns everything.
func (j *journal) since(version uint64) forwarder.State {
	j.mu.Lock()
	defer j.mu.Unlock()
	full := version == 0 || version < j.removed || version > j.version
	var views []*viewer.View
	for engine, v := range j.views {
		if full || j.changed[engine] > version {
			views = append(views, v)
		}
	}
	return forwarder.NewState(j.version, full, views)
}
