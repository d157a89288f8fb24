package referrer

import (
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// TTL is how long callers may cache the addresses. A failed host is omitted
// within a few seconds, and a longer TTL would keep callers connecting to it.
const TTL = 2 * time.Second

// maxAddresses bounds the number of addresses that are returned.
const maxAddresses = 64

// Membership provides the hosts of the system.
type Membership interface {
	View() *enroller.View
	Self() string
	DataCentre() string
}

// Liveness reports which hosts of the local data centre are alive. Known is
// false for a host that has sent no heartbeat yet.
type Liveness interface {
	Alive(host string) (alive, known bool)
}

// Referrer selects hosts for callers.
type Referrer struct {
	members  Membership
	liveness Liveness
}

// New returns a referrer.
func New(m Membership, l Liveness) *Referrer { return &Referrer{members: m, liveness: l} }

// Addresses returns the addresses of the hosts that callers in a data centre
// connect to: those in the data centre, else those in its region, else all.
func (r *Referrer) Addresses(region, dataCentre string) []string {
	var inDataCentre, inRegion, all []string
	for _, h := range r.members.View().Hosts() {
		if !r.available(h) {
			continue
		}
		all = append(all, h.CallerAddress())
		if h.Region() == region {
			inRegion = append(inRegion, h.CallerAddress())
		}
		if h.DataCentre() == dataCentre {
			inDataCentre = append(inDataCentre, h.CallerAddress())
		}
	}
	for _, list := range [][]string{inDataCentre, inRegion, all} {
		if len(list) > 0 {
			slices.Sort(list)
			return list[:min(len(list), maxAddresses)]
		}
	}
	return nil
}

// firstHeartbeatWait is how long a new host of the local data centre counts as
// alive before its first heartbeat.
const firstHeartbeatWait = 2500 * time.Millisecond

// available reports whether a host is assumed to accept calls. Hosts of other
// data centres send no heartbeats to this one.
func (r *Referrer) available(h *enroller.Host) bool {
	if h.Name() == r.members.Self() {
		return true
	}
	view := r.members.View()
	if h.DataCentre() != r.members.DataCentre() {
		return view.Alive(h)
	}
	alive, known := r.liveness.Alive(h.Name())
	return alive || !known && view.Alive(h) && time.Since(h.FirstSeen()) < firstHeartbeatWait
}
