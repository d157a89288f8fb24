package allotter

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// countInterval is the time between two counts of the hosts that reach this one.
const countInterval = 100 * time.Millisecond

// Run keeps quota owners informed that this host reaches them, and counts the hosts that reach
// this one, until ctx is done.
func (a *Allotter) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		for ; ctx.Err() == nil; _ = sleeper.Sleep(ctx, countInterval) {
			a.count()
		}
	})
	running.Go(func() { a.runReleases(ctx) })
	for ctx.Err() == nil {
		next := time.Now().Add(delegationInterval)
		a.maintain(ctx)
		_ = sleeper.Sleep(ctx, time.Until(next))
	}
	running.Wait()
}

// maintain sends delegations and removes outdated state.
func (a *Allotter) maintain(ctx context.Context) {
	table := a.tables.Current()
	if table == nil {
		return
	}
	view := a.members.View()
	a.delegations.sweep(func(host string) bool {
		h := view.Host(host)
		return host == a.members.Self() || h != nil && view.Alive(h)
	}, time.Now())
	a.ended.Range(func(host, _ any) bool {
		if view.Host(host.(string)) == nil {
			a.ended.Delete(host)
		}
		return true
	})
	a.refusals.Range(func(key, _ any) bool {
		if table.Workspace(key.(string)) == nil {
			a.refusals.Delete(key)
		}
		return true
	})
	a.balances.Range(func(key, _ any) bool {
		if table.Workspace(key.(string)) == nil {
			a.balances.Delete(key)
		}
		return true
	})
	a.changes.keep(func(workspace string) bool { return table.Workspace(workspace) != nil })
	a.reports.clear(func(key account) bool { return a.asks(view.Ranking(key.workspace), key.host) })
	a.sendDelegations(ctx, view, table)
}

// asks reports whether this host asks another one for tokens at present.
func (a *Allotter) asks(r *enroller.Ranking, host string) bool {
	for _, h := range r.Hosts() {
		if h.Name() == host {
			return true
		}
		if !a.unresponsive.Avoids(h.Name()) {
			return false
		}
	}
	return false
}

// recipient is a host that gets a delegation.
type recipient struct {
	host *enroller.Host
	role Role
}

// sendDelegations delegates this host's parts of all quotas to the quota owners, or to the hosts
// next in rank where an owner does not answer. Each of them gets one message for all
// of its workspaces.
func (a *Allotter) sendDelegations(ctx context.Context, view *enroller.View, table *router.Table) {
	var open []string
	for w := range table.Workspaces() {
		if w.Quota().Limited() {
			open = append(open, w.Name())
		}
	}
	for i := 0; len(open) > 0; i++ {
		quotas := make(map[recipient][]Quota)
		for _, workspace := range open {
			ranking := view.Ranking(workspace)
			if i < len(ranking.Hosts()) {
				h := ranking.Hosts()[i]
				to := recipient{h, a.role(ranking, i)}
				quotas[to] = append(quotas[to], NewQuota(workspace, a.reports.take(account{h.Name(), workspace})))
			}
		}
		open = a.sendTo(ctx, quotas)
	}
}

// sendTo sends delegations to hosts and returns the workspaces of those that do not answer.
func (a *Allotter) sendTo(ctx context.Context, quotas map[recipient][]Quota) (unanswered []string) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for to, list := range quotas {
		running.Go(func() {
			if a.sendDelegation(ctx, to.host, NewDelegation(a.members.Self(), list, to.role)) == nil {
				a.recordDelegated(to, list)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, q := range list {
				a.reports.restore(account{to.host.Name(), q.workspace}, q.report)
				unanswered = append(unanswered, q.workspace)
			}
		})
	}
	running.Wait()
	return unanswered
}

// recordDelegated records that a host has received a delegation.
func (a *Allotter) recordDelegated(to recipient, list []Quota) {
	if _, partial := to.role.(Standby); partial {
		return
	}
	for _, q := range list {
		a.changes.record(q.workspace, to.host.Name())
	}
}

func (a *Allotter) sendDelegation(ctx context.Context, h *enroller.Host, d Delegation) error {
	if h.Name() == a.members.Self() {
		return a.RecordDelegation(d)
	}
	return a.send(ctx, h, func(ctx context.Context) error {
		return a.remote.SendDelegation(ctx, h.PeerAddress(), d)
	})
}
