package assembler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// lapseGrace is how long after the store's return an endpoint whose entry
// disappeared is still used. The entry of one that lives is back by then.
const lapseGrace = 2200 * time.Millisecond

// operatorReader takes over configurations and named versions.
type operatorReader struct{ host *Host }

func (operatorReader) Contact(storer.Version, time.Duration) {}

// Replace takes over all rows. A row that is gone changes nothing: a
// configuration stays in force until a newer one comes.
func (o operatorReader) Replace(rows []storer.Change) { o.Apply(rows) }

func (o operatorReader) Apply(changes []storer.Change) {
	for _, c := range changes {
		if !c.Removed() {
			o.learn(c)
		}
	}
}

func (o operatorReader) learn(c storer.Change) {
	h := o.host
	notice, err := platform.DecodeOperatorRow(c.Row)
	if err != nil {
		h.log.Warn("operator-row-not-read", logger.With(logger.KeyVersion, uint64(c.Version())), logger.Err(err))
		return
	}
	switch n := notice.(type) {
	case platform.Configuration:
		if h.router.Adopt(n.Table()) {
			h.routed()
			h.log.Info("configuration-in-force", logger.With(logger.KeyVersion, n.Table().Version()),
				logger.With(logger.KeyCount, n.Table().RouteCount()))
		}
	case platform.NamedVersion:
		if h.fleet.SetNamedVersion(n.Model(), n.Version()) {
			h.log.Info("version-named", logger.With(logger.KeyModel, n.Model().Base()+"/"+n.Model().Adapter()),
				logger.With(logger.KeyVersion, n.Version()))
		}
	case platform.OtherRow:
	}
}

// endpointReader takes over the entries of endpoints.
type endpointReader struct{ host *Host }

func (e endpointReader) Contact(storer.Version, time.Duration) {
	e.note(e.host.fleet.Expire())
	e.host.listed()
}

// Replace takes over all entries. Endpoints without one have left.
func (e endpointReader) Replace(rows []storer.Change) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key()] = true
	}
	var gone []string
	for _, id := range e.host.fleet.IDs() {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	e.note(e.host.fleet.Remove(e.grace(), gone...))
	e.Apply(rows)
}

// Apply takes over changed entries. Only the last change of each counts.
func (e endpointReader) Apply(changes []storer.Change) {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Key()] = i
	}
	var gone []string
	var entries []tracker.Entry
	for i, c := range changes {
		switch {
		case last[c.Key()] != i:
		case c.Removed():
			gone = append(gone, c.Key())
		default:
			entry, err := platform.DecodeEntry(c.Row)
			if err != nil {
				e.host.log.Warn("entry-not-read", logger.Err(err))
				continue
			}
			entries = append(entries, entry)
		}
	}
	e.note(e.host.fleet.Remove(e.grace(), gone...))
	e.note(e.host.fleet.Upsert(entries...))
}

// grace returns how long an endpoint without an entry may have only lapsed.
func (e endpointReader) grace() time.Duration {
	since, ok := e.host.endpoints.SinceRecovery()
	if !ok {
		return 0
	}
	return max(lapseGrace-since, 0)
}

func (e endpointReader) note(events []tracker.Event) {
	for _, event := range events {
		name := ""
		switch event.(type) {
		case tracker.Arrived:
			name = "endpoint-arrived"
		case tracker.Draining:
			name = "endpoint-draining"
		case tracker.Lapsed:
			name = "endpoint-lapsed"
		case tracker.Gone:
			name = "endpoint-gone"
		}
		e.host.log.Info(name, logger.With(logger.KeyEndpoint, event.Endpoint()))
	}
}
