package allotter

import (
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/router"
)

// Grant decides on the request of a host, which may be this one. It fails with ErrEnded once this
// host leaves, so that all hosts ask the next one from the same moment on.
func (a *Allotter) Grant(r Request) (accountant.Verdict, error) {
	if a.members.Leaving() {
		return nil, ErrEnded
	}
	now := time.Now()
	a.hear(r.workspace, r.from, r.role, r.report, now)
	t := a.newest(r)
	return a.owned.Draw(r.workspace, t, a.lendings.part(r.workspace, t, now), r.cost, now), nil
}

// newest returns the newer one of the terms that the host that asks knows and those that this
// host knows.
func (a *Allotter) newest(r Request) accountant.Terms {
	table := a.tables.Current()
	if table == nil || table.Version() <= r.terms.Version() {
		return r.terms
	}
	w := table.Workspace(r.workspace)
	if w == nil || !w.Quota().Limited() {
		return r.terms
	}
	return termsOf(table, w)
}

func termsOf(t *router.Table, w *router.Workspace) accountant.Terms {
	return accountant.NewTerms(t.Version(), w.Quota().Rate(), w.Quota().Burst())
}

// hear records that a host reaches this one, and what it reports.
func (a *Allotter) hear(workspace, host string, role Role, report Report, now time.Time) {
	if a.lendings.record(workspace, host, role, report.elsewhere > 0, now) {
		// Another host granted the quota until now.
		a.owned.Limit(workspace, startShare, now)
		a.count()
	}
	a.settle(workspace, report, now)
}

// Hear records the presence of a host. It fails like Grant.
func (a *Allotter) Hear(p Presence) error {
	if a.members.Leaving() {
		return ErrEnded
	}
	now := time.Now()
	for _, q := range p.quotas {
		a.hear(q.workspace, p.from, p.role, q.report, now)
	}
	return nil
}

// settle applies what a host reports of earlier calls of a workspace.
func (a *Allotter) settle(workspace string, r Report, now time.Time) {
	if r == (Report{}) {
		return
	}
	a.owned.Return(workspace, r.returned, now)
	a.owned.ReturnLate(workspace, r.late, now)
	a.owned.Charge(workspace, r.elsewhere, now)
}

func (a *Allotter) count() {
	view := a.members.View()
	a.lendings.count(view.ServingCount(), view.Current(), time.Now())
}
