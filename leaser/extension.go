package leaser

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Grant is a member's commitment not to take engines from the requesting node
// for a limited time. The zero Grant is a refusal.
type Grant struct {
	duration   time.Duration
	assignment uint64
}

// NewGrant returns a grant for the given duration by a node that has read the
// given version of the assignment row.
func NewGrant(duration time.Duration, assignment uint64) Grant {
	return Grant{duration: duration, assignment: assignment}
}

// Duration returns the duration of the grant, counted from before it was
// requested.
func (g Grant) Duration() time.Duration { return g.duration }

// Assignment returns the version of the assignment row that the member has
// read.
func (g Grant) Assignment() uint64 { return g.assignment }

// Peers sends requests to the other nodes.
type Peers interface {
	// Extend calls GrantExtension of a member. From is the ID of the requesting
	// node. A refusal is the zero Grant; an error means that no answer arrived.
	Extend(ctx context.Context, m Member, from string) (Grant, error)
}

type noPeers struct{}

func (noPeers) Extend(context.Context, Member, string) (Grant, error) {
	return Grant{}, eris.New("the node has no peers")
}

// extension is the state of a lease that peers extend past its end in the
// table. It is guarded by Leaser.mu.
type extension struct {
	until         time.Time
	grants        map[string]time.Time // end of each grant, by holder ID
	unlistedSince map[string]time.Time // when a member was first missing from the host list, by name
	// blocked is set when a node appears that the cached assignment does not
	// list. Its grant is missing, so the lease is not extended any further
	// until the table has been read.
	blocked bool
}

func (x *extension) reset() { *x = extension{} }

// runExtensions periodically requests grants from the other members while the
// table is unreachable.
func (l *Leaser) runExtensions(ctx context.Context) {
	ticker := time.NewTicker(l.settings.scan)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if members, ok := l.grantsNeeded(); ok {
			l.requestGrants(ctx, members)
		}
	}
}

// grantsNeeded returns the members whose grants are required, and false if the
// node needs no extension or cannot have one. A lease that has ended is never
// extended: an engine may have been taken over in the meantime.
func (l *Leaser) grantsNeeded() ([]Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.outOfContact(now) {
		until := l.extension.until
		l.extension.reset()
		l.extension.until = until
		return nil, false
	}
	a := l.assignments[l.self.dataCentre].assignment
	o := l.ownership.Load()
	if l.extension.blocked || a == nil || len(o.owned) == 0 || !now.Before(o.validUntil) {
		return nil, false
	}
	members := l.otherMembers(a)
	return members, true
}

// outOfContact reports whether the table has not answered for at least one scan
// interval. A single lost request is not an outage.
func (l *Leaser) outOfContact(now time.Time) bool {
	return l.contact.lastFailed && now.Sub(l.contact.lastSuccess) >= l.settings.scan
}

// otherMembers returns the other members of the assignment and the live nodes
// of the data centre that are not members yet. A member whose row is not cached
// has no address.
func (l *Leaser) otherMembers(a *Assignment) []Member {
	var all []Member
	included := map[Holder]bool{l.holder: true}
	for _, h := range a.members {
		if included[h] {
			continue
		}
		included[h] = true
		m := Member{Identity: Identity{name: h.name}, instance: h.instance, term: h.term}
		if s := l.localRow(h.name); s != nil && s.member.Holder() == h {
			m = s.member
		}
		all = append(all, m)
	}
	live, _ := l.observer.members()
	for _, m := range live {
		if m.dataCentre == l.self.dataCentre && !included[m.Holder()] {
			all = append(all, m)
		}
	}
	return all
}

// requestGrants requests a grant from each member and extends the lease to the
// earliest end of the grants.
func (l *Leaser) requestGrants(ctx context.Context, members []Member) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	started := time.Now()
	var work sync.WaitGroup
	work.Go(func() { l.recordUnlisted(ctx, members) })
	for _, m := range members {
		if m.peer == "" {
			continue
		}
		work.Go(func() {
			if g, err := l.peers.Extend(ctx, m, l.ID()); err == nil {
				l.recordGrant(m, g, started)
			}
		})
	}
	work.Wait()
	l.extendLease(members, started)
}

// recordGrant records a grant, which runs from before it was requested.
func (l *Leaser) recordGrant(m Member, g Grant, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.duration <= 0 {
		return
	}
	if g.assignment > uint64(l.assignments[l.self.dataCentre].version) {
		l.extension.blocked = true
		return
	}
	if l.extension.grants == nil {
		l.extension.grants = make(map[string]time.Time)
	}
	l.extension.grants[m.ID()] = started.Add(g.duration)
}

// recordUnlisted records which members are missing from the host list.
func (l *Leaser) recordUnlisted(ctx context.Context, members []Member) {
	hosts, err := l.hosts.List(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extension.unlistedSince == nil {
		l.extension.unlistedSince = make(map[string]time.Time)
	}
	now := time.Now()
	for _, m := range members {
		_, known := l.extension.unlistedSince[m.name]
		switch {
		case listed(hosts, m.name):
			delete(l.extension.unlistedSince, m.name)
		case !known:
			l.extension.unlistedSince[m.name] = now
		}
	}
}

func listed(hosts []storer.Host, name string) bool {
	for _, h := range hosts {
		if h.Name() == name {
			return true
		}
	}
	return false
}

// extendLease extends the lease to the earliest end of the grants. A member
// that has been missing from the host list for longer than hostLag needs no
// grant.
func (l *Leaser) extendLease(members []Member, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.extension.blocked || !now.Before(l.ownership.Load().validUntil) {
		return
	}
	until := started.Add(l.settings.lease)
	for _, m := range members {
		granted, ok := l.extension.grants[m.ID()]
		since, absent := l.extension.unlistedSince[m.name]
		switch {
		case absent && now.Sub(since) > l.settings.hostLag:
		case !ok:
			return
		case granted.Before(until):
			until = granted
		}
	}
	if until.After(l.extension.until) {
		l.extension.until = until
		l.publishOwnership()
	}
}

// GrantExtension handles the request of a member that cannot reach the table.
// It refuses if this node can reach the table, or if one of its own pending
// writes may take engines over.
func (l *Leaser) GrantExtension(from string) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.assignments[l.self.dataCentre]
	if l.stopped || v.assignment == nil {
		return Grant{}, false
	}
	if !v.assignment.hasMember(from) {
		l.extension.blocked = true
		return Grant{}, false
	}
	now := time.Now()
	if !l.outOfContact(now) || l.takeoverPending {
		return Grant{}, false
	}
	maps.DeleteFunc(l.grantedUntil, func(_ string, until time.Time) bool { return now.After(until.Add(l.settings.guard)) })
	l.grantedUntil[nodeName(from)] = now.Add(l.settings.lease)
	return NewGrant(l.settings.lease, uint64(v.version)), true
}

// hasMember reports whether the process with the given ID is a member.
func (a *Assignment) hasMember(id string) bool {
	for _, h := range a.members {
		if h.ID() == id {
			return true
		}
	}
	return false
}

// nodeName returns the node name within a process ID.
func nodeName(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// announceSelf sends a request to expired owners when this node has just become
// a member. An owner that cannot reach the table has no other way to learn of
// the new member and would extend its lease without the new member's grant.
func (l *Leaser) announceSelf(ctx context.Context) {
	members := l.expiredHolders()
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.scan)
	defer cancel()
	var work sync.WaitGroup
	for _, m := range members {
		work.Go(func() {
			if _, err := l.peers.Extend(ctx, m, l.ID()); err == nil {
				l.recordAnnounced(m.name)
			}
		})
	}
	work.Wait()
}

// expiredHolders returns the holders whose lease has expired in the table and
// that may not have read that this node is a member. It returns none once the
// node has been a member for newMemberLeases.
func (l *Leaser) expiredHolders() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.assignments[l.self.dataCentre].assignment
	now := time.Now()
	if a == nil || l.holder.IsZero() || now.Sub(l.memberSince) >= newMemberLeases*l.settings.lease {
		return nil
	}
	var members []Member
	for _, h := range a.holders() {
		s := l.localRow(h.name)
		if s != nil && h.name != l.self.name && s.member.Holder() == h && !s.member.ended && now.Sub(s.unchangedSince) >= l.settings.lease {
			members = append(members, s.member)
		}
	}
	return members
}

func (l *Leaser) recordAnnounced(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.announcedAt[name]; !ok {
		l.announcedAt[name] = time.Now()
	}
}
