package leaser

import (
	"strings"
	"time"
)

// maxMissing bounds how many ids without a row are remembered.
const maxMissing = 4096

// Gone reports that the lease of a process has expired, with the guard, or that
// another process has taken its name. Node is a Member's ID; a bare name stands for
// any process of that name. It answers from the last scan, except for the node's
// own name: its lease proves that no other process holds the name, and the scan may
// be older than the lease.
func (l *Leaser) Gone(node string) bool {
	name, instance, whole := strings.Cut(node, idSeparator)
	if name == l.self.Name() && l.LeaseValid() {
		return whole && instance != l.instance
	}
	v := l.view.Load()
	if m, ok := v.Member(name); ok {
		return whole && m.instance != instance
	}
	if _, ok := findMember(v.expired, name); ok {
		return true
	}
	return l.stillMissing(node, v.wideAt)
}

// stillMissing reports whether a node without a row has had none for the time of a
// lease. The row of a node that has just joined may be newer than the scan.
func (l *Leaser) stillMissing(id string, wideAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.missing[id]
	if !ok && len(l.missing) < maxMissing {
		l.missing[id] = time.Now()
	}
	return ok && wideAt.Sub(since) >= l.settings.lease+l.settings.guard
}
