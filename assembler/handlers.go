package assembler

import (
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// lapseGrace is how long after a recovery of the store an endpoint without an
// entry stays in use. A live endpoint has written its entry again by then.
const lapseGrace = 2200 * time.Millisecond

// observeEra makes all followers ask the store once one of them knows that it has been
// restored. The others may wait for changes on connections that are dead.
func (h *Host) observeEra(v storer.Version) {
	old := h.era.Load()
	if v.Era() <= old || !h.era.CompareAndSwap(old, v.Era()) {
		return
	}
	for _, f := range h.followers {
		f.EndEra()
	}
}

// memberHandler observes that the table of the hosts has been read, and its era.
type memberHandler struct{ host *Host }

func (memberHandler) Restored()               {}
func (memberHandler) Replace([]storer.Change) {}
func (memberHandler) Apply([]storer.Change)   {}

// Contact implements follower.Handler.
func (m memberHandler) Contact(v storer.Version, _, _ time.Duration) {
	m.host.observeEra(v)
	m.host.setMembersKnown()
}

// operatorHandler applies configurations and named versions. A removed row and an older one
// have no effect: a configuration stays in force until a newer one arrives.
type operatorHandler struct{ host *Host }

// applyRows applies rows. It may be called concurrently, because what the rows say is
// ordered by the versions in them. The error is that of a row that cannot be decoded.
func (o operatorHandler) applyRows(changes []storer.Change) error {
	var errs []error
	for _, c := range changes {
		if c.Removed() {
			continue
		}
		if err := o.applyRow(c); err != nil {
			o.host.log.Warn("operator-row-not-read", logger.With(logger.KeyVersion, c.Version().Number()), logger.Err(err))
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (o operatorHandler) applyRow(c storer.Change) error {
	h := o.host
	row, err := platform.DecodeOperatorRow(c.Row)
	if err != nil {
		return fmt.Errorf("apply row: %w", err)
	}
	switch n := row.(type) {
	case platform.Configuration:
		o.adopt(n.Table())
	case platform.NamedVersion:
		if h.fleet.SetNamedVersion(n.Model(), n.Version()) {
			h.log.Info("version-named", logger.With(logger.KeyModel, n.Model().Base()+"/"+n.Model().Adapter()),
				logger.With(logger.KeyVersion, n.Version()))
		}
	case platform.OtherRow:
	}
	return nil
}

// adopt puts a configuration in force.
func (o operatorHandler) adopt(t *router.Table) {
	h := o.host
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	if !h.router.Adopt(t) {
		return
	}
	h.setRoutesKnown()
	h.log.Info("configuration-in-force", logger.With(logger.KeyVersion, t.Version()), logger.With(logger.KeyCount, t.RouteCount()))
}

// endpointHandler applies the entries of endpoints.
type endpointHandler struct{ host *Host }

// Restored announces entries that may be older than those known.
func (e endpointHandler) Restored() { e.host.fleet.Restored() }

func (e endpointHandler) Contact(v storer.Version, _, age time.Duration) {
	e.host.observeEra(v)
	e.logEvents(e.host.fleet.Expire())
	e.host.archiver.EndpointsRead(age)
	e.host.setEndpointsKnown()
}

// Replace applies all entries and removes the endpoints that have none.
func (e endpointHandler) Replace(rows []storer.Change) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key()] = true
	}
	var updates []tracker.Update
	for _, id := range e.host.fleet.IDs() {
		if !listed[id] {
			updates = append(updates, tracker.NewRemoval(id))
		}
	}
	for _, u := range e.decode(rows) {
		if entry, ok := u.(tracker.Entry); ok {
			u = tracker.NewListed(entry)
		}
		updates = append(updates, u)
	}
	e.apply(updates)
}

// Apply applies all changes of a batch in order.
func (e endpointHandler) Apply(changes []storer.Change) { e.apply(e.decode(changes)) }

func (e endpointHandler) apply(updates []tracker.Update) {
	e.logEvents(e.host.fleet.Apply(e.remainingLapseGrace(), updates...))
}

// decode decodes changes of entries and leaves out those that are malformed.
func (e endpointHandler) decode(changes []storer.Change) []tracker.Update {
	updates := make([]tracker.Update, 0, len(changes))
	for _, c := range changes {
		if c.Removed() {
			updates = append(updates, tracker.NewRemoval(c.Key()))
			continue
		}
		entry, err := platform.DecodeEntry(c.Row)
		if err != nil {
			e.host.log.Warn("entry-not-read", logger.Err(err))
			continue
		}
		updates = append(updates, entry)
	}
	return updates
}

// remainingLapseGrace returns how much longer an endpoint without an entry
// stays in use, because the entry may have lapsed while the store was
// unavailable.
func (e endpointHandler) remainingLapseGrace() time.Duration {
	since, ok := e.host.endpointFollower.SinceRecovery()
	if !ok {
		return 0
	}
	return max(lapseGrace-since, 0)
}

func (e endpointHandler) logEvents(events []tracker.Event) {
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
