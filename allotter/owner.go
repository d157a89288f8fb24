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
	a.record(r.workspace, r.from, r.role, r.report, now)
	t := a.newest(r)
	part := a.delegations.part(r.workspace, t, now)
	if r.ceiling != nil {
		part = part.AtMost(*r.ceiling)
	}
	return a.owned.Draw(r.workspace, t, part, r.cost, now), nil
}

// newest returns the newer of the terms in a request and those in this host's configuration.
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

// record records a delegation by a host, and what it reports.
func (a *Allotter) record(workspace, host string, role Role, report Report, now time.Time) {
	if a.delegations.record(workspace, host, role, report.elsewhere > 0, now) {
		// Another host granted the quota until now.
		a.owned.Limit(workspace, startShare, now)
		a.count()
	}
	a.settle(workspace, report, now)
}

// RecordDelegation records a delegation. It fails like Grant.
func (a *Allotter) RecordDelegation(d Delegation) error {
	if a.members.Leaving() {
		return ErrEnded
	}
	now := time.Now()
	for _, q := range d.quotas {
		a.record(q.workspace, d.from, d.role, q.report, now)
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
	a.delegations.count(a.members.View(), a.bounds.LostShare(), time.Now())
}
