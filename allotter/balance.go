package allotter

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// balance is what a quota owner had left of a workspace's quota by its latest answer to this
// host. The next quota owner continues from there: with a burst of its own, each change of the
// owner would add to what a workspace may use in a window.
type balance struct {
	mu     sync.Mutex
	host   string // the quota owner
	left   accountant.Balance
	readAt time.Time
}

// recordOwner records which host decided on a call that was charged at now, and what it had left. A
// standby grants for the quota owner, which stays the owner.
func (a *Allotter) recordOwner(host, workspace string, role Role, v accountant.Verdict, now time.Time) {
	if _, partial := role.(Standby); partial {
		return
	}
	known, ok := a.balances.Load(workspace)
	if !ok {
		known, _ = a.balances.LoadOrStore(workspace, &balance{})
	}
	b := known.(*balance)
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.readAt) {
		return // a later call was answered before
	}
	a.changes.record(workspace, host)
	b.host, b.left, b.readAt = host, v.Balance(), now
}

// withBalance returns a request to a host with the most that can be left of the quota, if
// another host granted it before.
func (a *Allotter) withBalance(r Request, host string, now time.Time) Request {
	recorded, ok := a.balances.Load(r.workspace)
	if !ok {
		return r
	}
	b := recorded.(*balance)
	b.mu.Lock()
	defer b.mu.Unlock()
	left, known := b.left.Units()
	if b.host == host || !known {
		return r
	}
	units := left + now.Sub(b.readAt).Seconds()*r.terms.Rate()
	if units >= r.terms.Burst() {
		return r
	}
	return r.AtMost(units)
}
