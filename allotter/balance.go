package allotter

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// balance is what a quota owner had left of a workspace's quota in its latest answer to this
// host. The next quota owner continues from there: with a burst of its own, each change of the
// owner would add to what a workspace may use in a window.
type balance struct {
	mu     sync.Mutex
	host   string // the quota owner
	units  float64
	readAt time.Time
}

// recordOwner records which host in a role decided, and what it had left. A standby grants a
// part of the rate only, so that its balance says little about the quota.
func (a *Allotter) recordOwner(host, workspace string, role Role, v accountant.Verdict, now time.Time) {
	if _, partial := role.(Standby); partial {
		return
	}
	a.changes.record(workspace, host)
	known, ok := a.balances.Load(workspace)
	if !ok {
		known, _ = a.balances.LoadOrStore(workspace, &balance{})
	}
	b := known.(*balance)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.host, b.units, b.readAt = host, v.Remaining(), now
}

// withBalance returns a request to a host with the most that can be left of the quota, if
// another host granted it before.
func (a *Allotter) withBalance(r Request, host string, now time.Time) Request {
	known, ok := a.balances.Load(r.workspace)
	if !ok {
		return r
	}
	b := known.(*balance)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.host == host {
		return r
	}
	units := b.units + now.Sub(b.readAt).Seconds()*r.terms.Rate()
	if units >= r.terms.Burst() {
		return r
	}
	return r.AtMost(units)
}
