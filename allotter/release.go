package allotter

import (
	"context"
	"sync"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// ownerChanges records to which host this one delegates each quota, and which former owners have
// not been notified of the change.
type ownerChanges struct {
	mu       sync.Mutex
	owners   map[string]string // by workspace
	former   map[account]struct{}
	recorded chan struct{} // signals that former may have entries
}

func newOwnerChanges() *ownerChanges {
	return &ownerChanges{owners: make(map[string]string), former: make(map[account]struct{}), recorded: make(chan struct{}, 1)}
}

// record records that a host decides on the calls of a workspace.
func (c *ownerChanges) record(workspace, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.owners[workspace]
	if before == host {
		return
	}
	c.owners[workspace] = host
	delete(c.former, account{host, workspace})
	if before == "" {
		return
	}
	c.former[account{before, workspace}] = struct{}{}
	select {
	case c.recorded <- struct{}{}:
	default: // a signal is already pending
	}
}

// take returns the workspaces of former owners that have not been notified, by host, and forgets them.
func (c *ownerChanges) take() map[string][]Quota {
	c.mu.Lock()
	defer c.mu.Unlock()
	byHost := make(map[string][]Quota)
	for a := range c.former {
		byHost[a.host] = append(byHost[a.host], NewQuota(a.workspace, Report{}))
	}
	clear(c.former)
	return byHost
}

// keep drops the workspaces that are not in the configuration any more.
func (c *ownerChanges) keep(known func(workspace string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for workspace := range c.owners {
		if !known(workspace) {
			delete(c.owners, workspace)
		}
	}
}

// runReleases notifies former quota owners that this host delegates its parts to others, until ctx is
// done. They would otherwise count these parts for another retainTime, and the new owners count
// at least half of them at once.
func (a *Allotter) runReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.changes.recorded:
		}
		view := a.members.View()
		var running sync.WaitGroup
		for host, list := range a.changes.take() {
			if h := view.Host(host); h != nil && !a.unresponsive.Avoids(host) {
				running.Go(func() { a.release(ctx, h, list) })
			}
		}
		running.Wait()
	}
}

// release is not repeated if it fails: the former owner stops counting after retainTime.
func (a *Allotter) release(ctx context.Context, h *enroller.Host, list []Quota) {
	_ = a.sendDelegation(ctx, h, NewDelegation(a.members.Self(), list, Former{}))
}
