package inspector

import (
	"fmt"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/router"
)

// Deployment is what findings depend on besides the configuration.
type Deployment struct {
	bounds accountant.Bounds
	hosts  int // 0 if not known
	tokens int // of the largest call; 0 if not known
}

// DeploymentOption sets an optional property of a Deployment.
type DeploymentOption func(*Deployment)

// WithHosts sets the number of hosts.
func WithHosts(n int) DeploymentOption { return func(d *Deployment) { d.hosts = n } }

// WithLargestCall sets the tokens of the largest call. Without it, quotas are compared with
// a call that has no token counts.
func WithLargestCall(tokens int) DeploymentOption { return func(d *Deployment) { d.tokens = tokens } }

// NewDeployment returns a deployment whose hosts have the given bounds on quotas.
func NewDeployment(b accountant.Bounds, opts ...DeploymentOption) Deployment {
	d := Deployment{bounds: b}
	for _, opt := range opts {
		opt(&d)
	}
	return d
}

// Inspect returns the findings in the order of the routes, services and workspaces.
func Inspect(t *router.Table, d Deployment) []Finding {
	i := &inspection{table: t, deployment: d}
	for _, r := range t.Routes() {
		i.route(r)
	}
	for _, s := range t.ListedServices() {
		i.service(s)
	}
	holders := make(map[router.KeyHash]holder)
	for _, w := range t.ListedWorkspaces() {
		i.workspace(w)
		i.keys(w, holders)
	}
	return i.findings
}

// inspection collects findings about a table.
type inspection struct {
	table      *router.Table
	deployment Deployment
	findings   []Finding
}

func (i *inspection) add(entry, permitted, problem string, args ...any) {
	i.findings = append(i.findings, Finding{entry: entry, problem: fmt.Sprintf(problem, args...), permitted: permitted})
}

// hiddenBy returns the route that gets all calls that a route matches, or nil if there is
// none. The path that equals the prefix decides: routes with a longer prefix do not match
// it, and the table prefers the route to those with a shorter one. Another route that gets
// this path therefore has the same prefix, and gets every longer path in the same way.
func hiddenBy(t *router.Table, r *router.Route) *router.Route {
	if first := t.Lookup(r.Host(), r.Prefix()); first != r {
		return first
	}
	return nil
}

func (i *inspection) route(r *router.Route) {
	entry := routeEntry(r)
	if first := hiddenBy(i.table, r); first != nil {
		i.add(entry, "another host or prefix", "gets no calls, because the earlier %s has the same host and prefix", routeEntry(first))
	}
	for _, t := range r.Targets() {
		if t.Weight() <= 0 {
			i.add(entry, "1 or more", "weight %d of its target %s, which gets no calls", t.Weight(), serviceEntry(t.Service()))
		} else if i.table.Service(t.Service()) == nil {
			i.add(entry, "one of the services of the configuration", "its target %s does not exist, so that calls get 503", serviceEntry(t.Service()))
		}
	}
	if r.Timeout() > 0 && r.Objective() > r.Timeout() {
		i.add(entry, fmt.Sprintf("at most the timeout of %v", r.Timeout()), "latency objective %v is above its timeout", r.Objective())
	}
}

func (i *inspection) service(s *router.Service) {
	entry := serviceEntry(s.Name())
	if i.table.Service(s.Name()) != s {
		i.add(entry, "a name that no other service has", "takes no effect, because a later service has the same name")
	}
	if s.MaxConnections() > 0 && s.MaxConnections() < i.deployment.hosts {
		i.add(entry, fmt.Sprintf("at least %d, the number of hosts", i.deployment.hosts),
			"connection limit %d is below the number of hosts", s.MaxConnections())
	}
}

func (i *inspection) workspace(w *router.Workspace) {
	entry := workspaceEntry(w)
	if i.table.Workspace(w.Name()) != w {
		i.add(entry, "a name that no other workspace has", "shares its name, and so the state of its quota, with a later workspace")
	}
	q := w.Quota()
	if !q.Limited() {
		return
	}
	terms := accountant.NewTerms(i.table.Version(), q.Rate(), q.Burst())
	if cost, largest := q.Cost(i.largestCall()), i.deployment.bounds.Largest(terms); cost > largest {
		i.add(entry, fmt.Sprintf("at least %s with what the bounds allow beyond the quota", number(cost)),
			"burst %s never grants the largest call, which costs %s: at most %s is granted", number(q.Burst()), number(cost), number(largest))
	}
	if q.Burst() < q.Rate() {
		i.add(entry, fmt.Sprintf("at least %s, one second of the rate", number(q.Rate())),
			"burst %s is below one second of the rate", number(q.Burst()))
	}
}

func (i *inspection) largestCall() *router.Call {
	return router.NewCall("", "", "", "", "", nil, nil, router.WithCountedTokens(i.deployment.tokens))
}

// holder is a workspace that lists a key, and the key's position in it.
type holder struct {
	workspace *router.Workspace
	index     int
}

func (i *inspection) keys(w *router.Workspace, holders map[router.KeyHash]holder) {
	for index, k := range w.Keys() {
		if !k.IsUsable() {
			i.add(keyEntry(w, index), fmt.Sprintf("1 to %d bytes long", router.MaxKeyLength), "no call can present the key")
			continue
		}
		first, held := holders[k]
		if !held {
			holders[k] = holder{workspace: w, index: index}
			continue
		}
		if first.workspace != w {
			i.add(keyEntry(w, index), "held by one workspace", "is also %s; calls with it are those of %s",
				keyEntry(first.workspace, first.index), workspaceEntry(i.table.WorkspaceByHash(k)))
		}
	}
}
