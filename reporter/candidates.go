package reporter

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// candidateSlots is the number of slots, and so the maximum number of candidates.
// Popular adapters rarely share a slot: of 29,000 adapters only a few hundred
// have a noticeable share of a node's requests.
const candidateSlots = 512

// candidates finds the adapters with the most requests in bounded memory.
// Adapters are hashed to slots; each slot keeps the winner of a Boyer-Moore
// majority vote among its adapters.
type candidates struct {
	slots [candidateSlots]atomic.Pointer[candidate]
}

type candidate struct {
	name  string
	votes atomic.Int64
}

// record counts a request of an adapter. It takes no lock: a vote lost in a race
// between writers only makes the estimate slightly less accurate.
func (c *candidates) record(name string) {
	slot := &c.slots[xxhash.Sum64String(name)%candidateSlots]
	current := slot.Load()
	switch {
	case current != nil && current.name == name:
		current.votes.Add(1)
	case current != nil && current.votes.Add(-1) >= 0:
	default:
		replacement := &candidate{name: name}
		replacement.votes.Store(1)
		slot.CompareAndSwap(current, replacement)
	}
}

// top returns the n names with the most votes, in alphabetical order. It halves
// all votes, so that adapters that became idle are replaced.
func (c *candidates) top(n int) []string {
	type ranked struct {
		name  string
		votes int64
	}
	var all []ranked
	for i := range c.slots {
		current := c.slots[i].Load()
		if current == nil {
			continue
		}
		if votes := current.votes.Load(); votes > 0 {
			all = append(all, ranked{current.name, votes})
			current.votes.Add(-votes / 2)
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
