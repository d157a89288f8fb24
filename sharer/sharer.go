package sharer

import (
	"container/list"
	"time"
)

const (
	// MaxWorkspaces is the number of workspaces of an engine that are remembered. Beyond it,
	// the one whose latest request is the oldest is forgotten.
	MaxWorkspaces = 1024
	// activeTime is how long a workspace has a share after a request. It is not longer, so
	// that a workspace without calls does not keep others waiting.
	activeTime = 2 * time.Second
	// minFactor is the lowest share of its maximum wait that a call is left with.
	minFactor = 0.25
	// minServed is the ratio of a workspace's served calls, relative to that of all
	// workspaces, below which its maximum wait is not reduced. The requirement is 0.25, and
	// the rest is a margin for the variation of decayed counts. Without this rule, one
	// workspace at 12 times the load of 40 others is served 0.22 times as often as all
	// together (TestLoadPatterns).
	minServed = 0.35
)

// Workspace identifies a customer whose calls compete for an engine with those of other
// workspaces of the same priority. The zero value stands for no workspace.
type Workspace struct {
	name     string
	priority int
}

// NewWorkspace returns the workspace with the given name and priority.
func NewWorkspace(name string, priority int) Workspace {
	return Workspace{name: name, priority: priority}
}

// Name returns the name of the workspace, which is empty for no workspace.
func (w Workspace) Name() string { return w.name }

// Priority returns the priority of the workspace's calls.
func (w Workspace) Priority() int { return w.priority }

// Sharer holds the recent use of one engine by workspaces. The zero value is ready for
// use. It is not safe for concurrent use. Each operation takes constant time on average.
type Sharer struct {
	now         time.Time // latest time that was passed in
	accounts    map[Workspace]*account
	classes     map[int]*class // by priority
	order       list.List      // of all accounts, by the time of the latest request
	firstActive *list.Element  // the active accounts are this one and all after it
}

// account is the recent use by one workspace.
type account struct {
	workspace   Workspace
	class       *class
	element     *list.Element
	use         use
	requestedAt time.Time
	active      bool // it made a request within activeTime
}

// class groups the accounts of one priority.
type class struct {
	accounts int
	active   int
	use      use // sum over the active accounts
}

// Request records a request of a workspace, and returns the factor by which the maximum
// wait of its call is to be multiplied if the call cannot start at once.
func (s *Sharer) Request(now time.Time, w Workspace) float64 {
	if w.name == "" {
		return 1
	}
	now = s.advance(now)
	a := s.accounts[w]
	if a == nil {
		a = s.open(w)
	}
	s.activate(a, now)
	s.add(a, use{requests: 1})
	return a.factor()
}

// Charge records slot time that was reserved for a call after its request.
func (s *Sharer) Charge(now time.Time, w Workspace, slotTime time.Duration) {
	a := s.accounts[w]
	if a == nil {
		return
	}
	now = s.advance(now)
	s.activate(a, now)
	s.add(a, use{grants: 1, slotTime: slotTime.Seconds()})
}

// advance moves the time on and ends the shares of workspaces without recent requests. It
// returns the time to use: concurrent callers may pass times that are out of order.
func (s *Sharer) advance(now time.Time) time.Time {
	if now.Before(s.now) {
		return s.now
	}
	s.now = now
	for s.firstActive != nil {
		a := s.firstActive.Value.(*account)
		if now.Sub(a.requestedAt) <= activeTime {
			break
		}
		s.deactivate(a)
	}
	return now
}

// activate makes an account the one with the latest request.
func (s *Sharer) activate(a *account, now time.Time) {
	a.use.decay(now)
	a.class.use.decay(now)
	a.requestedAt = now
	if s.firstActive == a.element {
		s.firstActive = a.element.Next()
	}
	s.order.MoveToBack(a.element)
	if s.firstActive == nil {
		s.firstActive = a.element
	}
	if !a.active {
		a.active = true
		a.class.active++
		a.class.use.add(a.use)
	}
}

// deactivate ends the share of the account that is first among the active ones. Its use is
// kept in case that the workspace returns soon.
func (s *Sharer) deactivate(a *account) {
	s.firstActive = a.element.Next()
	a.active = false
	a.use.decay(s.now)
	a.class.use.decay(s.now)
	a.class.use.subtract(a.use)
	if a.class.active--; a.class.active == 0 {
		a.class.use = use{at: s.now} // discards rounding errors
	}
}

func (s *Sharer) add(a *account, u use) {
	a.use.add(u)
	a.class.use.add(u)
}

// open returns a new account, in place of the one that was unused for longest if there
// are too many.
func (s *Sharer) open(w Workspace) *account {
	if s.accounts == nil {
		s.accounts, s.classes = make(map[Workspace]*account), make(map[int]*class)
	}
	if len(s.accounts) >= MaxWorkspaces {
		s.forgetOldest()
	}
	c := s.classes[w.priority]
	if c == nil {
		c = &class{}
		s.classes[w.priority] = c
	}
	c.accounts++
	a := &account{workspace: w, class: c}
	a.element = s.order.PushBack(a)
	s.accounts[w] = a
	return a
}

func (s *Sharer) forgetOldest() {
	a := s.order.Front().Value.(*account)
	if a.active {
		s.deactivate(a)
	}
	s.order.Remove(a.element)
	delete(s.accounts, a.workspace)
	if a.class.accounts--; a.class.accounts == 0 {
		delete(s.classes, a.workspace.priority)
	}
}

// factor returns by how much the maximum wait of the workspace's calls is reduced.
func (a *account) factor() float64 {
	if a.class.active < 2 {
		return 1
	}
	all := a.class.use
	fair := all.slotTime / float64(a.class.active)
	if a.use.slotTime <= fair || a.use.grants*all.requests < minServed*a.use.requests*all.grants {
		return 1
	}
	return max(fair/a.use.slotTime, minFactor)
}
