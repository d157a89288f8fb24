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

// Grant is a member's promise to take no engine from the asking node for a while.
// A zero grant is a refusal.
type Grant struct {
	delay      time.Duration
	assignment uint64
}

// NewGrant returns a promise for delay by a node that knows the given version of
// the assignment row.
func NewGrant(delay time.Duration, assignment uint64) Grant {
	return Grant{delay: delay, assignment: assignment}
}

// Delay returns how long the promise holds, counted from before it was asked for.
func (g Grant) Delay() time.Duration { return g.delay }

// Assignment returns the version of the assignment row that the member knows.
func (g Grant) Assignment() uint64 { return g.assignment }

// Peers leads to the other nodes.
type Peers interface {
	// Extend asks a member for its GrantExtension. From is the ID of the asking
	// node. A refusal is a zero Grant; an error means that no answer came.
	Extend(ctx context.Context, m Member, from string) (Grant, error)
}

type noPeers struct{}

func (noPeers) Extend(context.Context, Member, string) (Grant, error) {
	return Grant{}, eris.New("the node has no peers")
}

// extension is what the node knows of its lease past the table's. The guard is
// Leaser.mu.
type extension struct {
	until   time.Time
	granted map[string]time.Time // by holder id
	absent  map[string]time.Time // since when a host is not listed, by name
	// stopped is set when a node has turned up that the known assignment does not
	// name. Its promise is missing, so that nothing is extended any more before
	// the table has been read.
	stopped bool
}

func (x *extension) reset() { *x = extension{} }

// extend asks the other members for time while the table is out of reach.
func (l *Leaser) extend(ctx context.Context) {
	ticker := time.NewTicker(l.settings.scan)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if members, ok := l.toAsk(); ok {
			l.ask(ctx, members)
		}
	}
}

// toAsk returns the members whose promise is needed, and false if the node needs
// no extension or cannot have one. A lease that has ended is never extended: an
// engine may have been taken in the meantime.
func (l *Leaser) toAsk() ([]Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.outOfContact(now) {
		until := l.extension.until
		l.extension.reset()
		l.extension.until = until
		return nil, false
	}
	a := l.known[l.self.dataCentre].assignment
	r := l.right.Load()
	if l.extension.stopped || a == nil || len(r.owned) == 0 || !now.Before(r.until) {
		return nil, false
	}
	members := l.others(a)
	return members, true
}

// outOfContact reports whether the table has not answered for a while. A single
// lost request is not an outage.
func (l *Leaser) outOfContact(now time.Time) bool {
	return l.contact.failed && now.Sub(l.contact.last) >= l.settings.scan
}

// others returns the other members of the assignment and the nodes of the data
// centre that were about to become members. A member without a known row has no
// address.
func (l *Leaser) others(a *Assignment) []Member {
	var all []Member
	asked := map[Holder]bool{l.holder: true}
	for _, h := range a.members {
		if asked[h] {
			continue
		}
		asked[h] = true
		m := Member{Identity: Identity{name: h.name}, instance: h.instance, term: h.term}
		if s := l.local(h.name); s != nil && s.member.Holder() == h {
			m = s.member
		}
		all = append(all, m)
	}
	live, _ := l.observer.members()
	for _, m := range live {
		if m.dataCentre == l.self.dataCentre && !asked[m.Holder()] {
			all = append(all, m)
		}
	}
	return all
}

// ask collects promises and extends the lease to the earliest end of them.
func (l *Leaser) ask(ctx context.Context, members []Member) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	started := time.Now()
	var work sync.WaitGroup
	work.Go(func() { l.readHosts(ctx, members) })
	for _, m := range members {
		if m.peer == "" {
			continue
		}
		work.Go(func() {
			if g, err := l.peers.Extend(ctx, m, l.ID()); err == nil {
				l.take(m, g, started)
			}
		})
	}
	work.Wait()
	l.prolong(members, started)
}

// take records a promise. It counts from before it was asked for.
func (l *Leaser) take(m Member, g Grant, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.delay <= 0 {
		return
	}
	if g.assignment > uint64(l.known[l.self.dataCentre].row) {
		l.extension.stopped = true
		return
	}
	if l.extension.granted == nil {
		l.extension.granted = make(map[string]time.Time)
	}
	l.extension.granted[m.ID()] = started.Add(g.delay)
}

// readHosts notes which members the host list does not show.
func (l *Leaser) readHosts(ctx context.Context, members []Member) {
	hosts, err := l.hosts.List(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.extension.absent == nil {
		l.extension.absent = make(map[string]time.Time)
	}
	now := time.Now()
	for _, m := range members {
		_, known := l.extension.absent[m.name]
		switch {
		case listed(hosts, m.name):
			delete(l.extension.absent, m.name)
		case !known:
			l.extension.absent[m.name] = now
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

// prolong extends the lease as far as every member allows.
func (l *Leaser) prolong(members []Member, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.extension.stopped || !now.Before(l.right.Load().until) {
		return
	}
	until := started.Add(l.settings.lease)
	for _, m := range members {
		granted, ok := l.extension.granted[m.ID()]
		since, absent := l.extension.absent[m.name]
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
		l.publishRight()
	}
}

// GrantExtension answers a member that cannot reach the table. It refuses if this
// node can reach it, or if one of its own writes may still take engines over.
func (l *Leaser) GrantExtension(from string) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.known[l.self.dataCentre]
	if l.stopped || v.assignment == nil {
		return Grant{}, false
	}
	if !v.assignment.names(from) {
		l.extension.stopped = true
		return Grant{}, false
	}
	now := time.Now()
	if !l.outOfContact(now) || l.taking {
		return Grant{}, false
	}
	maps.DeleteFunc(l.promises, func(_ string, until time.Time) bool { return now.After(until.Add(l.settings.guard)) })
	l.promises[nameOf(from)] = now.Add(l.settings.lease)
	return NewGrant(l.settings.lease, uint64(v.row)), true
}

// names reports whether a process is a member.
func (a *Assignment) names(id string) bool {
	for _, h := range a.members {
		if h.ID() == id {
			return true
		}
	}
	return false
}

// nameOf returns the node's name in an id.
func nameOf(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// announce tells expired owners of a newcomer. An owner that is cut off from the
// table does not know of it otherwise and would extend its lease without it.
func (l *Leaser) announce(ctx context.Context) {
	members := l.unaware()
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.scan)
	defer cancel()
	var work sync.WaitGroup
	for _, m := range members {
		work.Go(func() {
			if _, err := l.peers.Extend(ctx, m, l.ID()); err == nil {
				l.hear(m.name)
			}
		})
	}
	work.Wait()
}

// unaware returns the expired members that may not know of this newcomer.
func (l *Leaser) unaware() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.known[l.self.dataCentre].assignment
	now := time.Now()
	if a == nil || l.holder.IsZero() || now.Sub(l.memberFrom) >= newcomerLeases*l.settings.lease {
		return nil
	}
	var members []Member
	for _, h := range a.holders() {
		s := l.local(h.name)
		if s != nil && h.name != l.self.name && s.member.Holder() == h && !s.member.ended && now.Sub(s.since) >= l.settings.lease {
			members = append(members, s.member)
		}
	}
	return members
}

func (l *Leaser) hear(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.heard[name]; !ok {
		l.heard[name] = time.Now()
	}
}
