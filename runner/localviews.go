package runner

import (
	"maps"
	"slices"
	"sync"

	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// localViews holds the views of the engines that the node owns. It numbers their
// changes, so that peers fetch only the views that changed.
type localViews struct {
	mu      sync.Mutex
	version uint64
	changed map[string]uint64       // version of the last change, by engine
	removed uint64                  // version of the last removal
	views   map[string]*viewer.View // by engine
}

func newLocalViews() *localViews {
	return &localViews{changed: make(map[string]uint64), views: make(map[string]*viewer.View)}
}

func (l *localViews) put(v *viewer.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.changed[v.Engine()] = l.version
	l.views[v.Engine()] = v
}

func (l *localViews) remove(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.removed = l.version
	delete(l.changed, engine)
	delete(l.views, engine)
}

func (l *localViews) engines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.views))
}

// since returns the views that changed after a version. It returns all views if an
// engine has been removed since then, or if the version is higher than the current
// one, which means that the peer last polled an earlier process of this node.
func (l *localViews) since(version uint64) forwarder.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := version == 0 || version < l.removed || version > l.version
	var views []*viewer.View
	for engine, v := range l.views {
		if full || l.changed[engine] > version {
			views = append(views, v)
		}
	}
	return forwarder.NewState(l.version, full, views)
}
