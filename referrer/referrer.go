package referrer

import (
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// Life is how long callers may use an answer. A host that fails is left out of the
// answers after some seconds, so a longer life would keep callers at it.
const Life = 2 * time.Second

// maxEntries bounds an answer.
const maxEntries = 64

// Members knows the hosts.
type Members interface {
	View() *enroller.View
}

// Referrer chooses hosts for callers.
type Referrer struct{ members Members }

// New returns a referrer.
func New(m Members) *Referrer { return &Referrer{members: m} }

// Refer returns the addresses for callers in a data centre: its own hosts, else
// those of its region, else all.
func (r *Referrer) Refer(region, zone string) []string {
	entries := r.members.View().Entries()
	var near, around, all []string
	for _, h := range entries {
		all = append(all, h.Callers())
		if h.Region() == region {
			around = append(around, h.Callers())
		}
		if h.Zone() == zone {
			near = append(near, h.Callers())
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
