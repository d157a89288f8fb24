package allotter

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/enroller"
)

const (
	// delegationInterval is the time between two delegations that a host sends to a quota owner.
	delegationInterval = time.Second
	// delegationTimeout is how long after its last message a delegator counts as active. It allows
	// for a late message.
	delegationTimeout = 1500 * time.Millisecond
	// retainTime is how long after its last message the quota owner keeps half of a host's part,
	// which it granted before. A host that has reached nobody for longer uses its whole part.
	retainTime = 2 * delegationTimeout
	// unresponsiveTime is how long a quota owner has to be unresponsive before a host delegates its
	// whole part to another one. It is longer than retainTime by the time that a message may take.
	unresponsiveTime = retainTime + 500*time.Millisecond
	// halfShare is the share that a host grants of an equal part of the rate while another host
	// may grant the rest of that part.
	halfShare = 0.5
	// startShare is the share of a burst that the bucket of a new quota owner starts with.
	startShare = 0.5
)

// delegator is a host that delegates its part of a workspace's quota to this one.
type delegator struct {
	since time.Time // first message of an uninterrupted series
	last  time.Time
	role  Role
}

// active reports whether the host has sent a message within delegationTimeout.
func (d *delegator) active(now time.Time) bool { return now.Sub(d.last) <= delegationTimeout }

// weight returns the share that this host may grant of a delegator's equal part of the rate.
// Another host may still grant the rest: the one that the delegator asked before, the one that
// has just stopped answering it, or the delegator itself, which has its own bucket while it is
// isolated. Current is whether this host knows who the quota owner is.
func (d *delegator) weight(current bool, now time.Time) float64 {
	age := now.Sub(d.last)
	switch d.role.(type) {
	case Standby:
		if d.active(now) {
			return halfShare
		}
	case Substitute:
		if d.active(now) {
			return 1
		}
	default:
		switch {
		case d.active(now) && now.Sub(d.since) > delegationTimeout:
			return 1
		case d.active(now), current && age <= retainTime:
			return halfShare
		}
	}
	return 0
}

// delegatedElsewhere reports whether the sender of a message delegated its part to another host
// before. A host whose messages were only late did not, and a substitute that becomes the quota
// owner already has the whole part.
func (d *delegator) delegatedElsewhere(role Role, elsewhere bool, now time.Time) bool {
	_, whole := d.role.(Substitute)
	return !d.active(now) && elsewhere || now.Sub(d.last) > retainTime || d.role != role && !whole
}

// workspaceDelegations holds the parts of a workspace's quota that hosts delegate to this one.
type workspaceDelegations struct {
	delegators map[string]*delegator
	began      time.Time // start of the period in which there has always been an active delegator
	last       time.Time // latest message
	share      float64   // of the rate, as of the latest count
}

// delegations holds the delegators by workspace. The sum of what all hosts grant of a workspace's
// rate stays within the rate, because each host delegates its equal part to one host at a time.
type delegations struct {
	mu          sync.Mutex
	byWorkspace map[string]*workspaceDelegations
}

// record records a message of a host, and reports whether it is the first one after a time
// in which no host sent any. Elsewhere is whether others granted tokens to the host recently.
func (s *delegations) record(workspace, host string, role Role, elsewhere bool, now time.Time) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byWorkspace[workspace]
	if _, ends := role.(Former); ends {
		if w != nil {
			delete(w.delegators, host)
		}
		return false
	}
	if w == nil {
		w = &workspaceDelegations{delegators: make(map[string]*delegator)}
		s.byWorkspace[workspace] = w
	}
	if began = now.Sub(w.last) > delegationTimeout; began {
		w.began = now
	}
	w.last = now
	d := w.delegators[host]
	if d == nil {
		d = &delegator{since: now, role: role}
		w.delegators[host] = d
	}
	if d.delegatedElsewhere(role, elsewhere, now) {
		d.since = now
	}
	d.last, d.role = now, role
	return began
}

// part returns the part of a quota that this host grants.
func (s *delegations) part(workspace string, t accountant.Terms, now time.Time) accountant.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byWorkspace[workspace]
	if w == nil {
		return accountant.NewPart(0, 0)
	}
	start := startShare * t.Burst()
	if w.share > halfShare && now.Sub(w.began) > 2*delegationTimeout {
		start = t.Burst()
	}
	return accountant.NewPart(w.share, start)
}

// count updates the shares of all workspaces, so that a draw does not iterate over the delegators.
// LostShare is what is granted of the parts of hosts that others may count as lost.
func (s *delegations) count(view *enroller.View, lostShare float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.byWorkspace {
		w.count(view, lostShare, now)
	}
}

func (w *workspaceDelegations) count(view *enroller.View, lostShare float64, now time.Time) {
	current := view.Current()
	listedWeight, expiredWeight, active, notServing := 0.0, 0.0, 0, 0
	for name, d := range w.delegators {
		h := view.Host(name)
		if d.active(now) {
			active++
			if !view.Serves(h) {
				notServing++
			}
		}
		if h == nil || view.Expired(h) {
			expiredWeight += d.weight(current, now)
		} else {
			listedWeight += d.weight(current, now)
		}
	}
	// A host that delegates may leave, or not have renewed its row yet after a time without the store.
	hosts := view.ServingCount() + notServing
	if !current && active < hosts-hosts/10 {
		expiredWeight *= lostShare // the rest may have another quota owner, which counts these hosts as lost
	}
	w.share = min((listedWeight+expiredWeight)/float64(max(hosts, 1)), 1)
}

// sweep removes the delegators that have left or that have no weight any more, and workspaces
// without any.
func (s *delegations) sweep(live func(host string) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, w := range s.byWorkspace {
		for host, d := range w.delegators {
			if !live(host) || now.Sub(d.last) > retainTime {
				delete(w.delegators, host)
			}
		}
		if len(w.delegators) == 0 {
			delete(s.byWorkspace, workspace)
		}
	}
}
