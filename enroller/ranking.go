package enroller

// rankedHosts is the number of hosts of a ranking. The first one that answers decides, and
// a host that reaches neither of two decides for itself.
const rankedHosts = 2

// Ranking is the order of the live hosts of a view for a key.
type Ranking struct {
	hosts      []*Host
	serving    int
	handedOver bool
}

// Hosts returns the first two serving hosts by the rendezvous hash of the key, the best
// first. The caller must not modify the list.
func (r *Ranking) Hosts() []*Host { return r.hosts }

// Serving returns the number of hosts that were ranked.
func (r *Ranking) Serving() int { return r.serving }

// HandedOver reports whether the first host takes the place of one that leaves.
func (r *Ranking) HandedOver() bool { return r.handedOver }

// Ranking returns the ranking of the hosts for a key. It is computed once a view and key, and
// counts the hosts that were alive at that time; the next contact to the store brings a new
// view. The keys have to be few, such as the names of the configuration.
func (v *View) Ranking(key string) *Ranking {
	if r, ok := v.rankings.Load(key); ok {
		return r.(*Ranking)
	}
	r, _ := v.rankings.LoadOrStore(key, v.rank(key))
	return r.(*Ranking)
}

func (v *View) rank(key string) *Ranking {
	r := &Ranking{hosts: make([]*Host, 0, rankedHosts+1)}
	hashes := make([]uint64, 0, rankedHosts+1)
	leaving := uint64(0) // highest hash of a host that leaves
	for name, h := range v.hosts {
		hash := rendezvousHash(key, name)
		if !v.Serves(h) {
			if h.doc.Leaving && v.Alive(h) {
				leaving = max(leaving, hash)
			}
			continue
		}
		r.serving++
		r.hosts, hashes = append(r.hosts, h), append(hashes, hash)
		for i := len(hashes) - 1; i > 0 && hashes[i] > hashes[i-1]; i-- {
			hashes[i], hashes[i-1] = hashes[i-1], hashes[i]
			r.hosts[i], r.hosts[i-1] = r.hosts[i-1], r.hosts[i]
		}
		r.hosts, hashes = r.hosts[:min(len(hashes), rankedHosts)], hashes[:min(len(hashes), rankedHosts)]
	}
	r.handedOver = len(hashes) > 0 && leaving > hashes[0]
	return r
}

// ServingCount returns the number of live hosts that are not leaving.
func (v *View) ServingCount() int { return v.Ranking("").serving }
