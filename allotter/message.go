package allotter

import "github.com/dragonflyford/dragonflyford/accountant"

// Role is what a host is to one that sends it a message: Primary, Standby, Substitute or Former.
type Role interface{ role() }

type (
	// Primary is the quota owner.
	Primary struct{}
	// Standby takes the place of a quota owner that has just stopped answering and may still
	// grant a part of the quota.
	Standby struct{}
	// Substitute takes the place of a quota owner that has ended, or has not answered for so
	// long that it grants nothing for the host that asks.
	Substitute struct{}
	// Former was the quota owner before. The host that sends a delegation to it delegates to
	// another one now.
	Former struct{}
)

func (Primary) role()    {}
func (Standby) role()    {}
func (Substitute) role() {}
func (Former) role()     {}

// Report is what a message to a host reports of earlier calls of a workspace, in tokens.
type Report struct {
	returned  float64
	late      float64
	elsewhere float64
}

// NewReport returns a report. Returned and late are what the host granted to calls that did not
// run; late counts the calls that took long to end. Elsewhere is what others granted recently
// because the host did not answer.
func NewReport(returned, late, elsewhere float64) Report {
	return Report{returned: returned, late: late, elsewhere: elsewhere}
}

// Returned returns what was granted to calls that did not run, without late ones.
func (r Report) Returned() float64 { return r.returned }

// Late returns what was granted to calls that took long to end, and did not run.
func (r Report) Late() float64 { return r.late }

// Elsewhere returns what others granted recently because the host did not answer.
func (r Report) Elsewhere() float64 { return r.elsewhere }

// Request asks a host for the tokens of a call.
type Request struct {
	from      string
	workspace string
	terms     accountant.Terms
	cost      float64
	report    Report
	role      Role
	ceiling   *float64
}

// NewRequest returns the request of the host named from to charge cost to a workspace.
func NewRequest(from, workspace string, t accountant.Terms, cost float64) Request {
	return Request{from: from, workspace: workspace, terms: t, cost: cost, role: Primary{}}
}

// With returns the request with a report on earlier calls.
func (r Request) With(report Report) Request {
	r.report = report
	return r
}

// As returns the request as one to a host in another role than that of the quota owner.
func (r Request) As(role Role) Request {
	r.role = role
	return r
}

// AtMost returns the request with the most that can be left of the quota, because another host
// granted it until now.
func (r Request) AtMost(units float64) Request {
	r.ceiling = &units
	return r
}

// Ceiling returns the most that can be left of the quota, or nil if it is unknown.
func (r Request) Ceiling() *float64 { return r.ceiling }

// From returns the name of the host that asks.
func (r Request) From() string { return r.from }

// Workspace returns the name of the workspace.
func (r Request) Workspace() string { return r.workspace }

// Terms returns what the host that asks knows of the quota.
func (r Request) Terms() accountant.Terms { return r.terms }

// Cost returns the tokens to charge.
func (r Request) Cost() float64 { return r.cost }

// Report returns the report on earlier calls.
func (r Request) Report() Report { return r.report }

// Role returns what the host that is asked is to the one that asks.
func (r Request) Role() Role { return r.role }

// Delegation transfers the sender's equal parts of quotas to the quota owner that receives it, for
// as long as it is repeated.
type Delegation struct {
	from   string
	quotas []Quota
	role   Role
}

// Quota names a workspace whose quota a host asks for, and reports on earlier calls.
type Quota struct {
	workspace string
	report    Report
}

// NewQuota returns the name of a workspace with a report.
func NewQuota(workspace string, r Report) Quota { return Quota{workspace: workspace, report: r} }

// Workspace returns the name of the workspace.
func (q Quota) Workspace() string { return q.workspace }

// Report returns the report on earlier calls.
func (q Quota) Report() Report { return q.report }

// NewDelegation returns a delegation by the host named from to a host in a role.
func NewDelegation(from string, list []Quota, role Role) Delegation {
	return Delegation{from: from, quotas: list, role: role}
}

// From returns the name of the host that delegates.
func (d Delegation) From() string { return d.from }

// Quotas returns the workspaces. The caller must not modify them.
func (d Delegation) Quotas() []Quota { return d.quotas }

// Role returns what the host that gets the delegation is to the one that sends it.
func (d Delegation) Role() Role { return d.role }
