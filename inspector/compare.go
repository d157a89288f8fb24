package inspector

import (
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/router"
)

// Difference is what distinguishes a configuration from an older one.
type Difference struct {
	changes  []Change
	findings []Finding
}

// Changes returns the changes of the limits, routes, services and workspaces, in this order.
func (d *Difference) Changes() []Change { return d.changes }

// Findings returns what keeps the new configuration from replacing the old one.
func (d *Difference) Findings() []Finding { return d.findings }

// Compare returns the difference of after from before. Entries are compared by name, and
// those that share a name in their order. The version alone is not a change.
func Compare(before, after *router.Table) *Difference {
	c := &comparison{before: before, after: after}
	c.properties("limits", limitProperties(before.Limits()), limitProperties(after.Limits()))
	c.routes()
	c.services()
	c.workspaces()
	c.keys()
	d := &Difference{changes: c.changes}
	hosts := router.New()
	hosts.Adopt(before)
	if len(c.changes) > 0 && !hosts.Adopt(after) {
		d.findings = append(d.findings, Finding{
			entry:     "version",
			problem:   fmt.Sprintf("hosts that have version %d in force ignore version %d", before.Version(), after.Version()),
			permitted: fmt.Sprintf("above %d", before.Version()),
		})
	}
	return d
}

// comparison collects the changes between two tables.
type comparison struct {
	before, after *router.Table
	changes       []Change
}

func (c *comparison) added(entry, value, effect string) {
	c.changes = append(c.changes, Added{subject: subject{entry, effect}, after: value})
}

func (c *comparison) removed(entry, value, effect string) {
	c.changes = append(c.changes, Removed{subject: subject{entry, effect}, before: value})
}

func (c *comparison) changed(entry, name, before, after, effect string) {
	c.changes = append(c.changes, Changed{subject: subject{entry, effect}, property: name, before: before, after: after})
}

func (c *comparison) properties(entry string, before, after []property) {
	for i, p := range after {
		if p.value != before[i].value {
			c.changed(entry, p.name, before[i].value, p.value, p.effect)
		}
	}
}

// pair is an entry of both lists, or of one of them.
type pair[T any] struct {
	before, after *T
}

// align pairs the entries of two lists by name. Those that only the old list has come first.
func align[T any](before, after []*T, name func(*T) string) []pair[T] {
	type identity struct {
		name  string
		count int // of entries of the same name before this one
	}
	index := func(list []*T) ([]identity, map[identity]*T) {
		seen, ids, byID := make(map[string]int), make([]identity, 0, len(list)), make(map[identity]*T, len(list))
		for _, v := range list {
			id := identity{name(v), seen[name(v)]}
			seen[name(v)]++
			ids, byID[id] = append(ids, id), v
		}
		return ids, byID
	}
	oldIDs, old := index(before)
	newIDs, current := index(after)
	var pairs []pair[T]
	for _, id := range oldIDs {
		if current[id] == nil {
			pairs = append(pairs, pair[T]{before: old[id]})
		}
	}
	for _, id := range newIDs {
		pairs = append(pairs, pair[T]{before: old[id], after: current[id]})
	}
	return pairs
}

func (c *comparison) routes() {
	for _, p := range align(c.before.Routes(), c.after.Routes(), (*router.Route).Name) {
		switch {
		case p.after == nil:
			c.removed(routeEntry(p.before), describe(routeProperties(c.before, p.before)), c.leaving(p))
		case p.before == nil:
			c.added(routeEntry(p.after), describe(routeProperties(c.after, p.after)), c.arriving(p))
		default:
			before, after := routeProperties(c.before, p.before), routeProperties(c.after, p.after)
			after[0].effect = c.leaving(p) + "; " + c.arriving(p)
			c.properties(routeEntry(p.after), before, after)
		}
	}
}

// leaving returns what happens to the calls that the old route matched.
func (c *comparison) leaving(p pair[router.Route]) string {
	r := p.before
	if first := hiddenBy(c.before, r); first != nil {
		return "no calls leave, because " + routeEntry(first) + " got them"
	}
	switch next := c.after.Lookup(r.Host(), r.Prefix()); next {
	case nil:
		return "calls under " + path(r) + " get 404" + unlessLonger
	case p.after:
		return "calls under " + path(r) + " still come here" + unlessLonger
	default:
		return "calls under " + path(r) + " go to " + routeEntry(next) + unlessLonger
	}
}

// arriving returns what happens to the calls that the new route matches.
func (c *comparison) arriving(p pair[router.Route]) string {
	r := p.after
	if first := hiddenBy(c.after, r); first != nil {
		return "no calls arrive, because " + routeEntry(first) + " gets them"
	}
	switch last := c.before.Lookup(r.Host(), r.Prefix()); last {
	case nil:
		return "calls under " + path(r) + " no longer get 404"
	case p.before:
		return "calls under " + path(r) + " still come here" + unlessLonger
	default:
		return "calls under " + path(r) + " come here instead of to " + routeEntry(last) + unlessLonger
	}
}

// unlessLonger limits a statement about calls under a prefix.
const unlessLonger = ", unless a route with a longer prefix matches"

func (c *comparison) services() {
	for _, p := range align(effective(c.before), effective(c.after), (*router.Service).Name) {
		switch {
		case p.after == nil:
			c.removed(serviceEntry(p.before.Name()), describe(serviceProperties(p.before)),
				serviceEffect(c.after, p.before, "get 503"))
		case p.before == nil:
			c.added(serviceEntry(p.after.Name()), describe(serviceProperties(p.after)),
				serviceEffect(c.after, p.after, "are served"))
		default:
			c.properties(serviceEntry(p.after.Name()), serviceProperties(p.before), serviceProperties(p.after))
		}
	}
}

// effective returns the services that the table uses.
func effective(t *router.Table) []*router.Service {
	var list []*router.Service
	for _, s := range t.ListedServices() {
		if t.Service(s.Name()) == s {
			list = append(list, s)
		}
	}
	return list
}

// serviceEffect returns what happens to the calls that routes of a table send to a service.
func serviceEffect(t *router.Table, s *router.Service, consequence string) string {
	var names []string
	for _, r := range t.Routes() {
		for _, target := range r.Targets() {
			if target.Service() == s.Name() && target.Weight() > 0 {
				names = append(names, routeEntry(r))
				break
			}
		}
	}
	if len(names) == 0 {
		return "none, because no route sends calls to it"
	}
	return fmt.Sprintf("calls of %s that go to it %s", strings.Join(names, ", "), consequence)
}

func (c *comparison) workspaces() {
	c.properties("workspaces", authentication(c.before), authentication(c.after))
	for _, p := range align(c.before.ListedWorkspaces(), c.after.ListedWorkspaces(), (*router.Workspace).Name) {
		switch {
		case p.after == nil:
			c.removed(workspaceEntry(p.before), workspaceValue(p.before), c.withoutWorkspace(p.before))
		case p.before == nil:
			c.added(workspaceEntry(p.after), workspaceValue(p.after), "calls with its keys are served as those of this workspace")
		default:
			c.properties(workspaceEntry(p.after), workspaceProperties(p.before), workspaceProperties(p.after))
		}
	}
}

func authentication(t *router.Table) []property {
	if !t.HasWorkspaces() {
		return []property{{"keys", "not required", "calls need no key and have no quota"}}
	}
	return []property{{"keys", "required", "calls without a key of a workspace get 401, except on routes that need none"}}
}

func workspaceValue(w *router.Workspace) string {
	return fmt.Sprintf("keys %d, %s", len(w.Keys()), describe(workspaceProperties(w)))
}

// withoutWorkspace returns what happens to the calls of a workspace that was removed.
func (c *comparison) withoutWorkspace(w *router.Workspace) string {
	if !c.after.HasWorkspaces() {
		return "its calls are served without a key and without a quota"
	}
	for _, k := range w.Keys() {
		if c.after.WorkspaceByHash(k) != nil {
			return "calls with its keys get 401, except with those that another workspace has now"
		}
	}
	return "calls with its keys get 401"
}

// keys compares to which workspace each key belongs. Keys that come or go together with
// their workspace are not changes of their own.
func (c *comparison) keys() {
	if !c.before.HasWorkspaces() || !c.after.HasWorkspaces() {
		return
	}
	before, after := owned(c.before), owned(c.after)
	for _, h := range before {
		k := h.workspace.Keys()[h.index]
		if c.after.WorkspaceByHash(k) == nil && c.after.Workspace(h.workspace.Name()) != nil {
			c.removed(keyEntry(h.workspace, h.index), "", "calls with it get 401")
		}
	}
	for _, h := range after {
		last := c.before.WorkspaceByHash(h.workspace.Keys()[h.index])
		switch {
		case last == nil && c.before.Workspace(h.workspace.Name()) != nil:
			c.added(keyEntry(h.workspace, h.index), "", "calls with it are served as those of this workspace")
		case last != nil && last.Name() != h.workspace.Name():
			c.changed(keyEntry(h.workspace, h.index), "holder", workspaceEntry(last), workspaceEntry(h.workspace),
				"calls with it now belong to "+workspaceEntry(h.workspace))
		}
	}
}

// owned returns each key once, at the workspace that calls with it belong to.
func owned(t *router.Table) []holder {
	var list []holder
	seen := make(map[router.KeyHash]bool)
	for _, w := range t.ListedWorkspaces() {
		for i, k := range w.Keys() {
			if k.IsUsable() && !seen[k] && t.WorkspaceByHash(k) == w {
				seen[k] = true
				list = append(list, holder{workspace: w, index: i})
			}
		}
	}
	return list
}
