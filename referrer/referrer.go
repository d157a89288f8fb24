package referrer

import (
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// TTL is how long callers may use an answer. A host that fails is left out of the
// answers after some seconds, so a longer TTL would keep callers at it.
const TTL = 2 * time.Second

// maxEntries bounds an answer.
const maxEntries = 64

// Membership knows the hosts.
type Membership interface {
	View() *enroller.View
	Self() string
	Zone() string
}

// Liveness knows which hosts of the own data centre were heard of lately.
type Liveness interface {
	Alive(host string) (alive, known bool)
}

// Referrer chooses hosts for callers.
type Referrer struct {
	members Membership
	signs   Liveness
}

// New returns a referrer.
func New(m Membership, s Liveness) *Referrer { return &Referrer{members: m, signs: s} }

// Addresses returns the addresses for callers in a data centre: its own hosts, else
// those of its region, else all.
func (r *Referrer) Addresses(region, zone string) []string {
	var near, around, all []string
	for _, h := range r.members.View().Hosts() {
		if !r.serves(h) {
			continue
		}
		all = append(all, h.CallerAddress())
		if h.Region() == region {
			around = append(around, h.CallerAddress())
		}
		if h.Zone() == zone {
			near = append(near, h.CallerAddress())
		}
	}
	for _, list := range [][]string{near, around, all} {
		if len(list) > 0 {
			slices.Sort(list)
			return list[:min(len(list), maxEntries)]
		}
	}
	return nil
}

// newTime is how long a host of the own data centre may take until it is heard of.
const newTime = 2500 * time.Millisecond

// serves reports whether a host is believed to take calls. Hosts of other data
// centres send no signs of life here.
func (r *Referrer) serves(h *enroller.Host) bool {
	if h.Name() == r.members.Self() {
		return true
	}
	view := r.members.View()
	if h.Zone() != r.members.Zone() {
		return view.Alive(h)
	}
	alive, known := r.signs.Alive(h.Name())
	return alive || !known && view.Alive(h) && time.Since(h.FirstSeen()) < newTime
}
