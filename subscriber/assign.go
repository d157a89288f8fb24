package subscriber

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxFollowers is the number of hosts of a data centre that follow a table at the same
	// host. What that host sends would otherwise grow with the square of the hosts: with
	// their number, and with the rows, of which each host has some. In a larger data centre,
	// several hosts follow the table at the store.
	MaxFollowers = 12
	// FollowersPerSource is their number in a larger data centre, where the tables have more
	// rows.
	FollowersPerSource = 6
)

// Assign returns the host at which self follows a table, out of the other hosts of its data
// centre that may be asked. It returns false if self follows the table at the store. All
// hosts that know the same others come to the same result: the first hosts in order are
// sources, and the others are spread evenly over them.
func Assign(table string, self Peer, others []Peer) (Peer, bool) {
	list := append(slices.Clone(others), self)
	hashes := make(map[string]uint64, len(list))
	for _, p := range list {
		hashes[p.name] = hash(table, p.name)
	}
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(hashes[b.name], hashes[a.name]))
	})
	sources := sourceCount(len(list))
	i := slices.IndexFunc(list, func(p Peer) bool { return p.name == self.name })
	if i < sources {
		return self, false
	}
	return list[i%sources], true
}

// sourceCount returns how many of a number of hosts follow a table at the store.
func sourceCount(hosts int) int {
	if hosts <= MaxFollowers+1 {
		return 1
	}
	return (hosts + FollowersPerSource) / (FollowersPerSource + 1)
}

// hash ranks the hosts with links of the same width.
func hash(table, host string) uint64 { return xxhash.Sum64String(table + "\x00" + host) }
