package allotter

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
)

const (
	// presenceInterval is the time between two messages that a host sends to a quota owner
	// without a call.
	presenceInterval = time.Second
	// presenceTime is how long after its last message a host counts as one that reaches this
	// host. It allows for a late message.
	presenceTime = 1500 * time.Millisecond
	// retainTime is how long after its last message the quota owner keeps half of a host's part,
	// which it granted before. A host that has reached nobody for longer uses its whole part.
	retainTime = 2 * presenceTime
	// silenceTime is how long a quota owner has to be silent before a host lends its whole part
	// to another one. It is longer than retainTime by the time that a message may take.
	silenceTime = retainTime + 500*time.Millisecond
	// halfShare is the share that a host grants of an equal part of the rate while another host
	// may grant the rest of that part.
	halfShare = 0.5
	// startShare is the share of a burst that the bucket of a new quota owner starts with.
	startShare = 0.5
)

// lender is a host that asks this one for tokens of a workspace.
type lender struct {
	since time.Time // first message without a gap
	last  time.Time
	role  Role
}

// heard reports whether the host has sent a message lately.
func (l *lender) heard(now time.Time) bool { return now.Sub(l.last) <= presenceTime }

// weight returns the share that this host may grant of a lender's equal part of the rate.
// Another host may still grant the rest: the one that the lender asked before, the one that
// has just stopped to answer it, or the lender itself, which has its own bucket while it
// reaches nobody. Current tells whether this host knows who the quota owner is.
func (l *lender) weight(current bool, now time.Time) float64 {
	age := now.Sub(l.last)
	switch l.role.(type) {
	case Standby:
		if l.heard(now) {
			return halfShare
		}
	case Substitute:
		if l.heard(now) {
			return 1
		}
	default:
		switch {
		case l.heard(now) && now.Sub(l.since) > presenceTime:
			return 1
		case l.heard(now), current && age <= retainTime:
			return halfShare
		}
	}
	return 0
}

// returns reports whether a message is that of a lender which lent its part to another host before.
// A host whose messages were only late did not, and a substitute that becomes the quota
// owner was lent the whole part.
func (l *lender) returns(role Role, elsewhere bool, now time.Time) bool {
	_, whole := l.role.(Substitute)
	return !l.heard(now) && elsewhere || now.Sub(l.last) > retainTime || l.role != role && !whole
}

// lending is what the hosts of a deployment lend this host of the quota of a workspace.
type lending struct {
	lenders map[string]*lender
	began   time.Time // since then there has been a lender without a gap
	last    time.Time // latest message
	share   float64   // of the rate, as of the latest count
}

// lendings holds the lenders by workspace. The sum of what all hosts grant of a workspace's
// rate stays within the rate, because each host lends its equal part to one host at a time.
type lendings struct {
	mu          sync.Mutex
	byWorkspace map[string]*lending
}

// record records a message of a host, and reports whether it is the first one after a time
// in which no host sent any.
// Elsewhere tells that others granted tokens to the host lately.
func (s *lendings) record(workspace, host string, role Role, elsewhere bool, now time.Time) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byWorkspace[workspace]
	if l == nil {
		l = &lending{lenders: make(map[string]*lender)}
		s.byWorkspace[workspace] = l
	}
	if began = now.Sub(l.last) > presenceTime; began {
		l.began = now
	}
	l.last = now
	h := l.lenders[host]
	if h == nil {
		h = &lender{since: now, role: role}
		l.lenders[host] = h
	}
	if h.returns(role, elsewhere, now) {
		h.since = now
	}
	h.last, h.role = now, role
	return began
}

// part returns the part of a quota that this host grants.
func (s *lendings) part(workspace string, t accountant.Terms, now time.Time) accountant.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byWorkspace[workspace]
	if l == nil {
		return accountant.NewPart(0, 0)
	}
	start := startShare * t.Burst()
	if l.share > halfShare && now.Sub(l.began) > 2*presenceTime {
		start = t.Burst()
	}
	return accountant.NewPart(l.share, start)
}

// count updates the shares of all workspaces. No draw walks the lenders.
func (s *lendings) count(hosts int, current bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byWorkspace {
		l.count(hosts, current, now)
	}
}

func (l *lending) count(hosts int, current bool, now time.Time) {
	sum, heard := 0.0, 0
	for _, h := range l.lenders {
		sum += h.weight(current, now)
		if h.heard(now) {
			heard++
		}
	}
	l.share = min(sum/float64(max(hosts, 1)), 1)
	if !current && heard < hosts-hosts/10 {
		l.share *= halfShare // the rest may have another quota owner, which counts these hosts as lost
	}
}

// sweep forgets the lenders that have left or that count no more, and workspaces without any.
func (s *lendings) sweep(live func(host string) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, l := range s.byWorkspace {
		for host, h := range l.lenders {
			if !live(host) || now.Sub(h.last) > retainTime {
				delete(l.lenders, host)
			}
		}
		if len(l.lenders) == 0 {
			delete(s.byWorkspace, workspace)
		}
	}
}
