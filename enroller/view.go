package enroller

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Host is a host of the deployment as described by its row.
type Host struct {
	name      string
	doc       hostDocument
	version   storer.Version
	changedAt time.Time // when the current version of the row was first read
	// storeOutage is how long the host could not renew the current version of
	// the row because the store was unavailable.
	storeOutage time.Duration
	firstSeen   time.Time // when a row of the host was first read
	processSeen time.Time // when a row of the host's current process was first read
}

// ListedHosts returns the hosts that the rows of a list describe, without those that are
// leaving. They may not be alive.
func ListedHosts(rows []storer.Change) []*Host {
	var list []*Host
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key(), HostPrefix)
		if !ok || r.Removed() {
			continue
		}
		if doc, err := encoder.Unmarshal[hostDocument](r.Value()); err == nil && !doc.Leaving {
			list = append(list, &Host{name: name, doc: doc, version: r.Version()})
		}
	}
	return list
}

// Name returns the name of the host, which is its IP address.
func (h *Host) Name() string { return h.name }

// CallerAddress returns the address that callers connect to.
func (h *Host) CallerAddress() string { return h.doc.Callers }

// PeerAddress returns the address that other hosts connect to.
func (h *Host) PeerAddress() string { return h.doc.Peers }

// DataCentre returns the data centre of the host.
func (h *Host) DataCentre() string { return h.doc.DataCentre }

// Region returns the region of the host.
func (h *Host) Region() string { return h.doc.Region }

// LinkMbps returns the bandwidth of the host's network link in Mbit/s, or 0 if it
// is not known.
func (h *Host) LinkMbps() uint64 { return h.doc.Link }

// Leaving reports whether the host has given up its engines and is about to
// stop.
func (h *Host) Leaving() bool { return h.doc.Leaving }

// FirstSeen returns when this process first read a row of the host.
func (h *Host) FirstSeen() time.Time { return h.firstSeen }

// Process returns the id of the host's current process.
func (h *Host) Process() uint64 { return h.doc.Process }

// ProcessSeen returns when this process first read a row of the host's current process.
func (h *Host) ProcessSeen() time.Time { return h.processSeen }

// Owner is the owner of an engine as named by the engine's row.
type Owner struct {
	host    string
	version storer.Version
}

// Host returns the name of the host that owns the engine.
func (o Owner) Host() string { return o.host }

// Token returns the fencing token of the ownership. It never decreases, because
// it is the version of the row.
func (o Owner) Token() uint64 { return uint64(o.version) }

// View is an immutable snapshot of the membership.
type View struct {
	hosts          map[string]*Host
	owners         map[string]Owner
	lastContact    time.Time      // last answer of the store, or of a host with a copy; zero before the first
	confirmed      time.Time      // when the store confirmed the rows; earlier than lastContact if they are from a copy
	version        storer.Version // all changes up to this version have been applied
	storeClockZero time.Time      // when the store's steady clock was 0; zero if unknown
	lostAfter      time.Duration  // time without a renewal after which a host is not alive
	liveCount      int
	rankings       sync.Map // by key, *Ranking
	awaited        awaited
}

// Host returns the host with the given name, or nil.
func (v *View) Host(name string) *Host { return v.hosts[name] }

// Owner returns the owner of an engine.
func (v *View) Owner(engine string) (Owner, bool) {
	o, ok := v.owners[engine]
	return o, ok
}

// contactTimeout is how long after its last answer the store counts as
// reachable. When it is not, missing renewals of other hosts mean nothing,
// because this host would not see them. A follower of the table receives an
// answer at least every 2.2 s.
const contactTimeout = 3 * time.Second

// storeClock returns the current time of the store's steady clock, or 0 if it
// is unknown.
func (v *View) storeClock() time.Duration {
	if v.storeClockZero.IsZero() {
		return 0
	}
	return time.Since(v.storeClockZero)
}

// writtenAt returns when a host wrote its row according to the store's clock.
// storeClockZero must be set.
func (v *View) writtenAt(h *Host) time.Time {
	return v.storeClockZero.Add(time.Duration(h.doc.ClockMS) * time.Millisecond)
}

// renewedAt returns the best estimate of when a host renewed its row. A row
// that this process has only just read may be old, which only the store's clock
// reveals.
func (v *View) renewedAt(h *Host) time.Time {
	if h.doc.ClockMS == 0 || v.storeClockZero.IsZero() {
		return h.changedAt
	}
	at := v.writtenAt(h).Add(h.storeOutage)
	if at.After(h.changedAt) {
		return h.changedAt
	}
	return at
}

// Alive reports whether a host has renewed its row recently enough. Without
// contact to the store the result as of the last contact is kept.
func (v *View) Alive(h *Host) bool {
	if h == nil {
		return false
	}
	now := time.Now()
	if now.Sub(v.confirmed) > contactTimeout {
		now = v.confirmed
	}
	return now.Sub(v.renewedAt(h)) <= v.lostAfter
}

// Expired reports whether hosts that reach the store count a host as lost by now, unless its row
// has been renewed since this host last read it.
func (v *View) Expired(h *Host) bool { return time.Since(v.renewedAt(h)) > v.lostAfter }

// Hosts returns the hosts that are not leaving, in no particular order,
// including those that are not alive.
func (v *View) Hosts() []*Host {
	var list []*Host
	for _, h := range v.hosts {
		if !h.doc.Leaving {
			list = append(list, h)
		}
	}
	return list
}

// SettleTime is the time after which every host that reaches the store, directly or
// through another host, knows that a host has joined or is leaving.
const SettleTime = contactTimeout

// Current reports whether the store confirmed the rows recently. If it did not, other hosts may
// have joined, or may count this one as lost.
func (v *View) Current() bool { return time.Since(v.confirmed) <= contactTimeout }

// FirstChoice returns the name of the host that serves an endpoint for all hosts: the one
// with the highest rendezvous hash among the live hosts of the endpoint's data centre or,
// if there are none, of its region or else of the deployment. It returns "" if no host is
// alive.
func (v *View) FirstChoice(endpoint Engine) string {
	if h := v.firstChoice(endpoint, v.Serves); h != nil {
		return h.name
	}
	return ""
}

// SettledChoice reports whether all hosts know by now that the host with the given name is
// the first choice for an endpoint. They may not while that host has just joined, while a
// better one has just left, and while this host does not reach the store.
func (v *View) SettledChoice(endpoint Engine, name string) bool {
	if time.Since(v.lastContact) > contactTimeout {
		return false
	}
	counted := func(h *Host) bool {
		if h.doc.Leaving {
			return time.Since(h.changedAt) <= SettleTime
		}
		return v.Serves(h)
	}
	h := v.firstChoice(endpoint, counted)
	return h != nil && h.name == name && !h.doc.Leaving && time.Since(h.processSeen) > SettleTime
}

// Serves reports whether a host is alive and does not leave.
func (v *View) Serves(h *Host) bool { return h != nil && !h.doc.Leaving && v.Alive(h) }

// firstChoice returns the first choice for an endpoint among the hosts that are eligible,
// or nil if none is.
func (v *View) firstChoice(endpoint Engine, eligible func(*Host) bool) *Host {
	var first *Host
	best, nearest := uint64(0), 0
	for _, h := range v.hosts {
		if !eligible(h) {
			continue
		}
		near, hash := proximity(h, endpoint), rendezvousHash(endpoint.ID(), h.name)
		if first == nil || near > nearest || near == nearest && hash > best {
			first, best, nearest = h, hash, near
		}
	}
	return first
}

// Serving returns the live hosts that are not leaving, in no particular order.
func (v *View) Serving() []*Host {
	return slices.DeleteFunc(v.Hosts(), func(h *Host) bool { return !v.Alive(h) })
}

// Ranked returns the first n live hosts by the rendezvous hash of a key, the best first. It
// does not depend on the host that asks.
func (v *View) Ranked(key string, n int) []*Host {
	n = min(n, len(v.hosts))
	hashes := make([]uint64, 0, n+1)
	list := make([]*Host, 0, n+1)
	for name, h := range v.hosts {
		if !v.Serves(h) {
			continue
		}
		hash := rendezvousHash(key, name)
		i, _ := slices.BinarySearchFunc(hashes, hash, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i == n {
			continue
		}
		hashes, list = slices.Insert(hashes, i, hash), slices.Insert(list, i, h)
		if len(list) > n {
			hashes, list = hashes[:n], list[:n]
		}
	}
	return list
}

// rendezvousHash ranks a host for a key. All hosts compute the same.
func rendezvousHash(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// proximity ranks how near a host is to an endpoint.
func proximity(h *Host, endpoint Engine) int {
	switch {
	case h.doc.DataCentre == endpoint.DataCentre():
		return 2
	case h.doc.Region == endpoint.Region():
		return 1
	default:
		return 0
	}
}

// LiveCount returns the number of hosts that were alive at the last contact with
// the store, including those that are leaving.
func (v *View) LiveCount() int { return v.liveCount }

// KnownCount returns the number of hosts that have a row, alive or not.
func (v *View) KnownCount() int { return len(v.hosts) }

func (v *View) countLive() int {
	n := 0
	for _, h := range v.hosts {
		if v.Alive(h) {
			n++
		}
	}
	return n
}
