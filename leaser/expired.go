package leaser

import (
	"strings"
	"time"
)

// maxMissing limits how many IDs without a row are tracked.
const maxMissing = 4096

// Expired reports whether the lease of a process has expired, including the guard,
// or another process has taken its name. Node is a Member's ID; a bare name
// stands for any process of that name. The result is that of the last scan,
// except for the node's own name: a valid lease proves that no other process
// holds the name, and the scan may be older than the lease.
func (l *Leaser) Expired(node string) bool {
	name, instance, hasInstance := strings.Cut(node, idSeparator)
	if name == l.self.Name() && l.LeaseValid() {
		return hasInstance && instance != l.instance
	}
	v := l.view.Load()
	if m, ok := v.Member(name); ok {
		return hasInstance && m.instance != instance
	}
	if _, ok := findMember(v.expired, name); ok {
		return true
	}
	return l.stillMissing(node, v.fullScanAt)
}

// stillMissing reports whether a node without a row has had none for the lease
// plus the guard. The row of a node that has just joined may be newer than the
// scan.
func (l *Leaser) stillMissing(id string, wideAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.missingSince[id]
	if !ok && len(l.missingSince) < maxMissing {
		l.missingSince[id] = time.Now()
	}
	return ok && wideAt.Sub(since) >= l.settings.lease+l.settings.guard
}
