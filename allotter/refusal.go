package allotter

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// refusal is the latest refusal of a call of a workspace by a quota owner.
type refusal struct {
	mu      sync.Mutex
	until   time.Time // no call that costs as much is asked for before
	cost    float64
	retryAt time.Time // when the call that was refused may try again
	retries accountant.Retries
}

// recordRefusal makes this host refuse calls of a workspace for a while without asking.
func (a *Allotter) recordRefusal(workspace string, v accountant.Verdict, cost float64, now time.Time) {
	exceeded, ok := v.(accountant.Exceeded)
	if !ok {
		return
	}
	known, ok := a.refusals.Load(workspace)
	if !ok {
		known, _ = a.refusals.LoadOrStore(workspace, &refusal{})
	}
	r := known.(*refusal)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.cost = now.Add(min(exceeded.Wait(), maxLocalRefusal)), cost
	r.retryAt = now.Add(exceeded.Wait())
}

// refusedRecently returns the wait of a call that is refused without asking. Calls that cost
// less than the refused one are asked for, because the bucket may have enough for them.
func (a *Allotter) refusedRecently(workspace string, t accountant.Terms, cost float64, now time.Time) (time.Duration, bool) {
	known, ok := a.refusals.Load(workspace)
	if !ok {
		return 0, false
	}
	r := known.(*refusal)
	r.mu.Lock()
	defer r.mu.Unlock()
	if cost < r.cost || !now.Before(r.until) {
		return 0, false
	}
	hosts := max(a.members.View().ServingCount(), 1)
	step := time.Duration(cost / t.Rate() * float64(hosts) * float64(time.Second))
	return r.retries.Next(now, r.retryAt.Sub(now), min(step, accountant.MaxWait)), true
}
