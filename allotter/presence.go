package allotter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// countInterval is the time between two counts of the hosts that reach this one.
const countInterval = 100 * time.Millisecond

// Run keeps quota owners informed that this host reaches them, until ctx is done.
func (a *Allotter) Run(ctx context.Context) {
	var sent time.Time
	for ctx.Err() == nil {
		a.count()
		if time.Since(sent) >= presenceInterval {
			sent = time.Now()
			a.maintain(ctx)
		}
		_ = sleeper.Sleep(ctx, countInterval)
	}
}

// maintain sends presences, and forgets what is not needed any more.
func (a *Allotter) maintain(ctx context.Context) {
	table := a.tables.Current()
	if table == nil {
		return
	}
	view := a.members.View()
	a.lendings.sweep(func(host string) bool {
		h := view.Host(host)
		return host == a.members.Self() || h != nil && view.Alive(h)
	})
	a.refusals.Range(func(key, _ any) bool {
		if table.Workspace(key.(string)) == nil {
			a.refusals.Delete(key)
		}
		return true
	})
	a.sendPresences(ctx, view, table)
}

// recipient is a host that gets a presence.
type recipient struct {
	host     *enroller.Host
	fallback bool
}

// sendPresences tells the quota owners of all workspaces that this host reaches them, and
// those next in rank where an owner does not answer. Each of them gets one message for all
// of its workspaces.
func (a *Allotter) sendPresences(ctx context.Context, view *enroller.View, table *router.Table) {
	quotas := make(map[recipient][]Quota)
	for w := range table.Workspaces() {
		if !w.Quota().Limited() {
			continue
		}
		for i, h := range view.Ranking(w.Name()).Hosts() {
			if !a.unresponsive.Avoids(h.Name()) {
				to := recipient{h, i > 0}
				quotas[to] = append(quotas[to], NewQuota(w.Name(), a.returns.take(account{h.Name(), w.Name()})))
				break
			}
		}
	}
	a.returns.clear()
	var running sync.WaitGroup
	for to, list := range quotas {
		p := NewPresence(a.members.Self(), list, to.fallback)
		if to.host.Name() == a.members.Self() {
			a.Hear(p)
			continue
		}
		running.Go(func() { a.sendPresence(ctx, to.host, p) })
	}
	running.Wait()
}

func (a *Allotter) sendPresence(ctx context.Context, h *enroller.Host, p Presence) {
	err := a.unresponsive.Do(ctx, h.Name(), requestTimeout, func(ctx context.Context) error {
		return a.remote.SendPresence(ctx, h.PeerAddress(), p)
	})
	if err != nil && ctx.Err() == nil {
		a.log.Warn("quota-owner-silent", logger.With(logger.KeyPeer, h.Name()), logger.Err(fmt.Errorf("send presence: %w", err)))
	}
}
