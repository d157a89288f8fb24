package reporter

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// candidateSlots is how many adapters compete for a counter of their own. Popular
// adapters rarely share a slot: of 29,000 adapters only a few hundred have a
// noticeable share of a node's requests.
const candidateSlots = 512

// candidates finds the adapters with the most requests in bounded memory. Each
// slot holds the adapter that wins the majority vote among those that fall in it.
type candidates struct {
	slots [candidateSlots]atomic.Pointer[candidate]
}

type candidate struct {
	name  string
	votes atomic.Int64
}

// note counts a request. A vote that is lost in a race between writers only makes
// the estimate a little worse.
func (c *candidates) note(name string) {
	slot := &c.slots[xxhash.Sum64String(name)%candidateSlots]
	held := slot.Load()
	switch {
	case held != nil && held.name == name:
		held.votes.Add(1)
	case held != nil && held.votes.Add(-1) >= 0:
	default:
		next := &candidate{name: name}
		next.votes.Store(1)
		slot.CompareAndSwap(held, next)
	}
}

// top returns the names with the most votes in alphabetical order, and halves all
// votes, so that adapters that have become idle make room.
func (c *candidates) top(n int) []string {
	type ranked struct {
		name  string
		votes int64
	}
	var all []ranked
	for i := range c.slots {
		held := c.slots[i].Load()
		if held == nil {
			continue
		}
		if votes := held.votes.Load(); votes > 0 {
			all = append(all, ranked{held.name, votes})
			held.votes.Add(-votes / 2)
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.votes, a.votes), strings.Compare(a.name, b.name))
	})
	var names []string
	for _, r := range all[:min(n, len(all))] {
		names = append(names, r.name)
	}
	slices.Sort(names)
	return names
}
