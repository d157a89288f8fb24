package allotter

import "github.com/dragonflyford/dragonflyford/accountant"

// Request asks a host for the tokens of a call.
type Request struct {
	from      string
	workspace string
	terms     accountant.Terms
	cost      float64
	returned  float64
	fallback  bool
}

// NewRequest returns the request of the host named from to charge cost to a workspace.
func NewRequest(from, workspace string, t accountant.Terms, cost float64) Request {
	return Request{from: from, workspace: workspace, terms: t, cost: cost}
}

// Returning returns the request with the tokens of earlier calls that did not run.
func (r Request) Returning(tokens float64) Request {
	r.returned = tokens
	return r
}

// AsFallback returns the request as one to a host that is not the quota owner, because that
// one does not answer.
func (r Request) AsFallback() Request {
	r.fallback = true
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

// Fallback reports whether the quota owner does not answer.
func (r Request) Fallback() bool { return r.fallback }

// Presence tells a host which workspaces it owns the quotas of, as seen by another host.
type Presence struct {
	from     string
	quotas   []Quota
	fallback bool
}

// Quota names a workspace whose quota a host asks for, and the tokens that it returns.
type Quota struct {
	workspace string
	returned  float64
}

// NewQuota returns the name of a workspace and the tokens of calls that did not run.
func NewQuota(workspace string, returned float64) Quota {
	return Quota{workspace: workspace, returned: returned}
}

// Workspace returns the name of the workspace.
func (q Quota) Workspace() string { return q.workspace }

// Returned returns the tokens of calls that did not run.
func (q Quota) Returned() float64 { return q.returned }

// NewPresence returns the presence of the host named from. Fallback tells that the quota owner
// does not answer.
func NewPresence(from string, list []Quota, fallback bool) Presence {
	return Presence{from: from, quotas: list, fallback: fallback}
}

// From returns the name of the host.
func (p Presence) From() string { return p.from }

// Quotas returns the workspaces. The caller must not modify them.
func (p Presence) Quotas() []Quota { return p.quotas }

// Fallback reports whether the quota owner does not answer.
func (p Presence) Fallback() bool { return p.fallback }
