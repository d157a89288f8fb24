package assembler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	// tableStreams holds the software versions at which streams began.
	tableStreams = "streams"
	// softwareInterval is the time between two looks at the versions that serve.
	softwareInterval = 250 * time.Millisecond
	// recordInterval is the time between two looks at the records of streams.
	recordInterval = time.Minute
	// catchUpInterval is the time between two requests for the records that other hosts hold.
	catchUpInterval = time.Second
	// restateInterval is the time between two requests for what other hosts have stored
	// again after a restore of the store.
	restateInterval = time.Second
)

// softwareDuty is what one host does for all: it writes the software versions of services.
type softwareDuty struct{}

func (softwareDuty) ID() string         { return "software" }
func (softwareDuty) DataCentre() string { return "" }
func (softwareDuty) Region() string     { return "" }

// keepSoftwareVersions observes which versions of endpoints' software serve, and keeps
// what the store holds of them.
func (h *Host) keepSoftwareVersions(ctx context.Context) {
	lastLook := time.Now()
	mayBeLeft := true // an earlier process may have stored records
	var lastRestate time.Time
	for sleeper.Sleep(ctx, softwareInterval) == nil {
		mayBeLeft = h.observeSoftware() || mayBeLeft
		h.archiver.Restate()
		if h.members.View().FirstChoice(softwareDuty{}) != h.members.Self() {
			continue
		}
		if time.Since(lastRestate) > restateInterval && h.pinner.AwaitsRestatement(time.Now()) {
			lastRestate = time.Now()
			h.collectRestatements(ctx)
		}
		h.archiver.Synchronise(ctx)
		if !mayBeLeft || time.Since(lastLook) < recordInterval {
			continue
		}
		lastLook = time.Now()
		listed, err := h.archiver.DeleteOld(ctx)
		if err != nil {
			h.log.Warn("records-not-deleted", logger.Err(err))
		}
		mayBeLeft = err != nil || listed > 0
	}
}

// collectRestatements asks all hosts whether they have stored again what a restore of the
// store may have lost.
func (h *Host) collectRestatements(ctx context.Context) {
	hosts, ok := h.replicator.Restatements(ctx)
	if !ok {
		return
	}
	own := h.replicator.Status(h.members.Process(), h.archiver.RestatedEra())
	hosts = append(hosts, own.Restatement)
	for _, service := range h.pinner.Services() {
		h.pinner.Restate(service, hosts)
	}
}

// catchUpRecords takes over the records of streams that other hosts hold when this host has
// started, or has stood still, while several versions of a service serve.
func (h *Host) catchUpRecords(ctx context.Context) {
	for sleeper.Sleep(ctx, catchUpInterval) == nil {
		from, ok := h.replicator.CatchUp(ctx)
		if !ok {
			continue
		}
		for service, at := range from {
			h.pinner.CatchUp(service, at)
		}
	}
}

// observeSoftware records the versions that serve, and reports whether a service has
// several.
func (h *Host) observeSoftware() (mixed bool) {
	byService := make(map[string]map[string]bool)
	for _, e := range h.fleet.Current().All() {
		if e.Software() == "" {
			continue
		}
		if byService[e.Service()] == nil {
			byService[e.Service()] = make(map[string]bool)
		}
		byService[e.Service()][e.Software()] = true
	}
	now, reading := time.Now(), h.archiver.Reading()
	for _, service := range h.pinner.Services() {
		if byService[service] == nil { // no endpoint is left, but records of its streams still arrive
			h.pinner.Observe(service, reading, now)
		}
	}
	for service, versions := range byService {
		h.pinner.Observe(service, reading, now, slices.Sorted(maps.Keys(versions))...)
		mixed = mixed || len(versions) > 1
	}
	return mixed
}
