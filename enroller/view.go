package enroller

import (
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Host is a host of the deployment as its row describes it.
type Host struct {
	name    string
	doc     hostDocument
	version storer.Version
	changed time.Time // when the present row was seen first
	// excused is the time in which the host could not renew the present row, because
	// the store was away.
	excused time.Duration
	first   time.Time // when a row of the host was seen first
	started time.Time // when the host's process was seen first
}

// Name returns the host's name, which is its IP address.
func (h *Host) Name() string { return h.name }

// CallerAddress returns the address that callers connect to.
func (h *Host) CallerAddress() string { return h.doc.Callers }

// PeerAddress returns the address that other hosts connect to.
func (h *Host) PeerAddress() string { return h.doc.Peers }

// Zone returns the data centre.
func (h *Host) Zone() string { return h.doc.Zone }

// Region returns the region.
func (h *Host) Region() string { return h.doc.Region }

// LinkMbps returns the bandwidth of the host's network link in Mbit/s, or 0 if it
// is not known.
func (h *Host) LinkMbps() uint64 { return h.doc.Link }

// Leaving reports whether the host is about to stop.
func (h *Host) Leaving() bool { return h.doc.Leaving }

// FirstSeen returns when this process first read a row of the host.
func (h *Host) FirstSeen() time.Time { return h.first }

// Owner is the owner of an engine as its row names it.
type Owner struct {
	host    string
	version storer.Version
}

// Host returns the name of the owner.
func (o Owner) Host() string { return o.host }

// Token returns the fencing token of this ownership. It never falls, because it
// is the version of the row.
func (o Owner) Token() uint64 { return uint64(o.version) }

// View is the membership at one moment. It never changes.
type View struct {
	hosts   map[string]*Host
	owners  map[string]Owner
	contact time.Time      // last answer of the store; zero before the first
	version storer.Version // up to which all rows are known
	epoch   time.Time      // when the store's steady clock was 0; zero while it is not known
	wait    time.Duration
	live    int
}

// Host returns a host, or nil.
func (v *View) Host(name string) *Host { return v.hosts[name] }

// Owner returns the owner of an engine.
func (v *View) Owner(engine string) (Owner, bool) {
	o, ok := v.owners[engine]
	return o, ok
}

// presumed is how long after its last contact with the store a host goes on
// believing that nothing changed. Silence of a host means something only to one
// that hears. A follower of the table hears at least every 2.2 s.
const presumed = 3 * time.Second

// storeClock returns the store's steady clock, or 0 if it is not known.
func (v *View) storeClock() time.Duration {
	if v.epoch.IsZero() {
		return 0
	}
	return time.Since(v.epoch)
}

// stamped returns when a host wrote its row by the store's clock. It requires epoch.
func (v *View) stamped(h *Host) time.Time {
	return v.epoch.Add(time.Duration(h.doc.ClockMS) * time.Millisecond)
}

// renewed returns when a host renewed its row, as far as that is known. A row that
// this process has just read may be old, which only the store's clock shows.
func (v *View) renewed(h *Host) time.Time {
	if h.doc.ClockMS == 0 || v.epoch.IsZero() {
		return h.changed
	}
	at := v.stamped(h).Add(h.excused)
	if at.After(h.changed) {
		return h.changed
	}
	return at
}

// Alive reports whether a host is believed to run. Without contact to the store
// the last belief stays.
func (v *View) Alive(h *Host) bool {
	if h == nil {
		return false
	}
	now := time.Now()
	if silent := now.Sub(v.contact); silent > presumed {
		now = v.contact
	}
	return now.Sub(v.renewed(h)) <= v.wait
}

// Hosts returns the hosts that are not leaving, also silent ones.
func (v *View) Hosts() []*Host {
	var list []*Host
	for _, h := range v.hosts {
		if !h.doc.Leaving {
			list = append(list, h)
		}
	}
	return list
}

// LiveCount returns the number of hosts that were alive at the last contact with
// the store, including those that are leaving.
func (v *View) LiveCount() int { return v.live }

func (v *View) countLive() int {
	n := 0
	for _, h := range v.hosts {
		if v.Alive(h) {
			n++
		}
	}
	return n
}
