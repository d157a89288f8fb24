package allotter

import "github.com/dragonflyford/dragonflyford/accountant"

// Role is what a host is to one that asks it for tokens: Primary, Standby or Substitute.
type Role interface{ role() }

type (
	// Primary is the quota owner.
	Primary struct{}
	// Standby takes the place of a quota owner that has just stopped to answer. That one may
	// still grant a part of the quota.
	Standby struct{}
	// Substitute takes the place of a quota owner that has ended, or has not answered for so
	// long that it grants nothing for the host that asks.
	Substitute struct{}
)

func (Primary) role()    {}
func (Standby) role()    {}
func (Substitute) role() {}

// Request asks a host for the tokens of a call.
type Request struct {
	from      string
	workspace string
	terms     accountant.Terms
	cost      float64
	returned  float64
	elsewhere float64
	role      Role
}

// NewRequest returns the request of the host named from to charge cost to a workspace.
func NewRequest(from, workspace string, t accountant.Terms, cost float64) Request {
	return Request{from: from, workspace: workspace, terms: t, cost: cost, role: Primary{}}
}

// Returning returns the request with the tokens of earlier calls that did not run.
func (r Request) Returning(tokens float64) Request {
	r.returned = tokens
	return r
}

// After returns the request with the tokens that hosts other than the quota owner granted
// because it did not answer.
func (r Request) After(elsewhere float64) Request {
	r.elsewhere = elsewhere
	return r
}

// As returns the request as one to a host in another role than that of the quota owner.
func (r Request) As(role Role) Request {
	r.role = role
	return r
}

// From returns the name of the host that asks.
func (r Request) From() string { return r.from }

// Workspace returns the name of the workspace.
func (r Request) Workspace() string { return r.workspace }

// Terms returns what the host that asks knows of the quota.
func (r Request) Terms() accountant.Terms { return r.terms }

// Cost returns the tokens to charge.
func (r Request) Cost() float64 { return r.cost }

// Returned returns the tokens of earlier calls that did not run.
func (r Request) Returned() float64 { return r.returned }

// Elsewhere returns the tokens that hosts other than the quota owner granted lately.
func (r Request) Elsewhere() float64 { return r.elsewhere }

// Role returns what the host that is asked is to the one that asks.
func (r Request) Role() Role { return r.role }

// Presence tells a host which workspaces it owns the quotas of, as seen by another host.
type Presence struct {
	from   string
	quotas []Quota
	role   Role
}

// Quota names a workspace whose quota a host asks for, and what it reports of earlier calls.
type Quota struct {
	workspace string
	returned  float64
	elsewhere float64
}

// NewQuota returns the name of a workspace, the tokens of calls that did not run, and those
// that hosts other than the quota owner granted because it did not answer.
func NewQuota(workspace string, returned, elsewhere float64) Quota {
	return Quota{workspace: workspace, returned: returned, elsewhere: elsewhere}
}

// Workspace returns the name of the workspace.
func (q Quota) Workspace() string { return q.workspace }

// Returned returns the tokens of calls that did not run.
func (q Quota) Returned() float64 { return q.returned }

// Elsewhere returns the tokens that hosts other than the quota owner granted lately.
func (q Quota) Elsewhere() float64 { return q.elsewhere }

// NewPresence returns the presence of the host named from, which sends it to a host in a role.
func NewPresence(from string, list []Quota, role Role) Presence {
	return Presence{from: from, quotas: list, role: role}
}

// From returns the name of the host.
func (p Presence) From() string { return p.from }

// Quotas returns the workspaces. The caller must not modify them.
func (p Presence) Quotas() []Quota { return p.quotas }

// Role returns what the host that gets the presence is to the one that sends it.
func (p Presence) Role() Role { return p.role }
