package enroller

import "time"

// awaited holds what a restore of the store may have taken from the view: the other hosts
// that were serving before it. It is immutable.
type awaited struct {
	byName map[string]*Host
	since  time.Time // first contact in the latest era of the store
}

// Awaited returns the other hosts that were serving before the latest restore of the store,
// whose rows it has lost, and that have not written them again. Settled reports whether the
// rows have been followed since then for as long as a live host may take to write its row: a
// host that has not done so is not alive, or does not reach the store. Settled is also
// false for as long after the first contact of this process, which does not know who was serving
// earlier.
func (v *View) Awaited() (list []*Host, settled bool) {
	for name, h := range v.awaited.byName {
		if v.rowLost(h, v.hosts[name]) {
			list = append(list, h)
		}
	}
	return list, !v.awaited.since.IsZero() && v.confirmed.Sub(v.awaited.since) > v.lostAfter
}

// rowLost reports whether the row of a host that was known before the restore is missing, or
// is the restored row of an earlier process. The row of a process that has started since the
// restore names the era of the restore once that process has read the rows.
func (v *View) rowLost(before, now *Host) bool {
	return now == nil || now.doc.Process != before.doc.Process && now.doc.Eras < v.knownEras()
}

// awaitHosts makes the view await the hosts that are serving, and those that it awaits,
// without the host self.
func (v *View) awaitHosts(self string) {
	next := make(map[string]*Host)
	list, _ := v.Awaited()
	for _, h := range append(list, v.Serving()...) {
		next[h.name] = h
	}
	delete(next, self)
	v.awaited = awaited{byName: next} // settles from the next contact on
}

// reachEra records a contact with the store in an era.
func (v *View) reachEra(era uint64, now time.Time) {
	if v.awaited.since.IsZero() || era > v.version.Era() {
		v.awaited.since = now
	}
}
