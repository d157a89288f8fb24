package leaser

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Holder identifies one lease of a node. A node that lost its lease comes back
// with a higher term, so that nothing assigned to the old lease becomes valid
// again.
type Holder struct {
	name     string
	instance string
	term     uint64
}

// NewHolder returns the identity of a lease.
func NewHolder(name, instance string, term uint64) Holder {
	return Holder{name: name, instance: instance, term: term}
}

// Name returns the node's name.
func (h Holder) Name() string { return h.name }

// Instance returns the ID of the node's process.
func (h Holder) Instance() string { return h.instance }

// Term returns the term of the lease, which increases with each lease of the
// same node name.
func (h Holder) Term() uint64 { return h.term }

// ID returns the identity of the process in the form that Leaser.Expired accepts.
func (h Holder) ID() string { return h.name + idSeparator + h.instance }

// IsZero reports whether h is the zero Holder, which stands for no holder.
func (h Holder) IsZero() bool { return h == Holder{} }

const idSeparator = "/"

// Entry records the owner of an engine.
type Entry struct {
	engine   string
	owner    Holder
	token    uint64
	previous Holder
}

// Engine returns the engine's name.
func (e Entry) Engine() string { return e.engine }

// Owner returns the lease that owns the engine, or the zero Holder.
func (e Entry) Owner() Holder { return e.owner }

// Token returns the fencing token, which increases with each change of owner.
func (e Entry) Token() uint64 { return e.token }

// Previous returns the last owner before the current one, or the zero Holder.
func (e Entry) Previous() Holder { return e.previous }

// Assignment maps the engines of a data centre to the nodes that own them. It
// is immutable.
type Assignment struct {
	epoch   uint64 // of the bundle that lists the engines
	last    uint64 // highest fencing token issued so far
	members []Holder
	entries []Entry // sorted by engine name
}

// Epoch returns the epoch of the bundle that lists the engines.
func (a *Assignment) Epoch() uint64 { return a.epoch }

// Members returns the leases that may take engines over, sorted by name.
func (a *Assignment) Members() []Holder { return a.members }

// Entries returns the entries of all engines, sorted by engine name.
func (a *Assignment) Entries() []Entry { return a.entries }

// Entry returns the entry of an engine.
func (a *Assignment) Entry(engine string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(a.entries, engine, compareEngine)
	if !ok {
		return Entry{}, false
	}
	return a.entries[i], true
}

func compareEngine(e Entry, name string) int { return strings.Compare(e.engine, name) }

// check verifies the invariants that the other methods rely on: sorted entries
// and no token above the last one issued.
func (a *Assignment) check() error {
	for i, e := range a.entries {
		if i > 0 && a.entries[i-1].engine >= e.engine {
			return fmt.Errorf("%w: engine %q is out of order", ErrMalformed, e.engine)
		}
		if e.token > a.last {
			return fmt.Errorf("%w: token %d of engine %q exceeds the highest issued token, %d", ErrMalformed, e.token, e.engine, a.last)
		}
	}
	return nil
}

// includes reports whether h is a member or owns an engine.
func (a *Assignment) includes(h Holder) bool {
	return slices.Contains(a.members, h) ||
		slices.ContainsFunc(a.entries, func(e Entry) bool { return e.owner == h })
}

// holders returns the members and owners, sorted and without duplicates.
func (a *Assignment) holders() []Holder {
	all := slices.Clone(a.members)
	for _, e := range a.entries {
		if !e.owner.IsZero() {
			all = append(all, e.owner)
		}
	}
	slices.SortFunc(all, compareHolders)
	return slices.Compact(all)
}

func compareHolders(a, b Holder) int {
	return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.instance, b.instance), cmp.Compare(a.term, b.term))
}

// Engines is the list of engines of a data centre in one bundle.
type Engines struct {
	epoch uint64
	names []string
}

// NewEngines returns the engines that the bundle with the given epoch lists.
func NewEngines(epoch uint64, names []string) Engines {
	names = slices.Clone(names)
	slices.Sort(names)
	return Engines{epoch: epoch, names: slices.Compact(names)}
}

// Candidate is a live node that takes part in an assignment.
type Candidate struct {
	holder   Holder
	draining bool
}

// NewCandidate returns a live node. A draining node hands its engines over.
func NewCandidate(h Holder, draining bool) Candidate { return Candidate{holder: h, draining: draining} }

// Plan computes the assignment for the given live nodes and engines, and
// reports whether it differs from the current one. Engines move only as far as
// balance requires, and only away from holders for which mayTake returns true:
// the planning node itself and nodes whose lease has ended.
func Plan(current *Assignment, live []Candidate, engines Engines, mayTake func(Holder) bool) (*Assignment, bool) {
	p := newPlanner(current, live, engines, mayTake)
	p.unassign()
	p.balance()
	p.assign()
	next := p.result()
	return next, !next.equal(current)
}

func (a *Assignment) equal(b *Assignment) bool {
	return a.epoch == b.epoch && slices.Equal(a.members, b.members) && slices.Equal(a.entries, b.entries)
}

// planner holds the intermediate state of Plan.
type planner struct {
	current    *Assignment
	live       []Candidate
	receivers  []Holder // live and not draining, sorted by name
	engines    Engines
	mayTake    func(Holder) bool
	owners     map[string]Holder
	unassigned []string       // engines without an owner, sorted by name
	deficit    map[Holder]int // engines that each receiver still lacks; negative if it has too many
}

func newPlanner(current *Assignment, live []Candidate, engines Engines, mayTake func(Holder) bool) *planner {
	p := &planner{current: current, mayTake: mayTake, owners: make(map[string]Holder), deficit: make(map[Holder]int)}
	p.live = slices.SortedFunc(slices.Values(live), func(a, b Candidate) int { return compareHolders(a.holder, b.holder) })
	for _, c := range p.live {
		if !c.draining {
			p.receivers = append(p.receivers, c.holder)
		}
	}
	p.engines = p.assignable(engines)
	return p
}

// assignable returns the engines to assign. If the node's bundle is older than
// the assignment, the list of the assignment stays, so that nodes with
// different bundles do not undo each other's changes.
func (p *planner) assignable(given Engines) Engines {
	var names []string
	for _, e := range p.current.entries {
		names = append(names, e.engine)
	}
	if given.epoch < p.current.epoch || slices.Equal(names, given.names) {
		return Engines{epoch: p.current.epoch, names: names}
	}
	return given
}

// unassign removes the owners of engines that are no longer listed, and of
// engines whose owner is draining or has lost its lease, as far as mayTake
// allows. An engine that is no longer listed keeps its entry until then.
func (p *planner) unassign() {
	for _, e := range p.current.entries {
		_, wanted := slices.BinarySearch(p.engines.names, e.engine)
		if e.owner.IsZero() || (p.mayTake(e.owner) && (!wanted || p.mustOwnNone(e.owner))) {
			continue
		}
		p.owners[e.engine] = e.owner
	}
	for _, name := range p.engines.names {
		if _, owned := p.owners[name]; !owned {
			p.unassigned = append(p.unassigned, name)
		}
	}
}

// mustOwnNone reports whether h must not own engines. Without a receiver a
// draining node keeps its engines.
func (p *planner) mustOwnNone(h Holder) bool {
	if len(p.receivers) > 0 {
		return !slices.Contains(p.receivers, h)
	}
	return !slices.ContainsFunc(p.live, func(c Candidate) bool { return c.holder == h })
}

// balance computes how many engines each receiver lacks and unassigns the
// excess of those that have too many. The nodes with the most engines get the
// larger shares, which moves the fewest engines.
func (p *planner) balance() {
	owned := make(map[Holder][]string)
	total := len(p.unassigned)
	for _, name := range p.assignedNames() {
		h := p.owners[name]
		owned[h] = append(owned[h], name)
	}
	for _, h := range p.receivers {
		total += len(owned[h])
	}
	ranked := slices.Clone(p.receivers)
	slices.SortStableFunc(ranked, func(a, b Holder) int { return cmp.Compare(len(owned[b]), len(owned[a])) })
	for i, h := range ranked {
		share := total / len(ranked)
		if i < total%len(ranked) {
			share++
		}
		p.deficit[h] = share - len(owned[h])
		if p.deficit[h] < 0 && p.mayTake(h) {
			p.unassignExcess(h, owned[h][share:])
		}
	}
}

func (p *planner) unassignExcess(h Holder, names []string) {
	for _, name := range names {
		delete(p.owners, name)
	}
	p.unassigned = append(p.unassigned, names...)
	slices.Sort(p.unassigned)
	p.deficit[h] = 0
}

// assignedNames returns the names of the engines that have an owner, sorted.
func (p *planner) assignedNames() []string {
	return slices.Sorted(maps.Keys(p.owners))
}

// assign gives each unassigned engine to the receiver that lacks the most.
func (p *planner) assign() {
	if len(p.receivers) == 0 {
		return
	}
	for _, name := range p.unassigned {
		best := p.receivers[0]
		for _, h := range p.receivers[1:] {
			if p.deficit[h] > p.deficit[best] {
				best = h
			}
		}
		p.owners[name] = best
		p.deficit[best]--
	}
}

func (p *planner) result() *Assignment {
	next := &Assignment{epoch: p.engines.epoch, last: p.current.last, members: p.members()}
	names := append(p.assignedNames(), p.engines.names...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		old, _ := p.current.Entry(name)
		e := Entry{engine: name, owner: p.owners[name], token: old.token, previous: old.previous}
		if e.owner != old.owner {
			next.last++
			e.token = next.last
			if !old.owner.IsZero() {
				e.previous = old.owner
			}
		}
		next.entries = append(next.entries, e)
	}
	return next
}

// members returns the live nodes and the current members that may not be
// removed yet, sorted by name.
func (p *planner) members() []Holder {
	var all []Holder
	for _, c := range p.live {
		all = append(all, c.holder)
	}
	for _, h := range p.current.members {
		if !slices.Contains(all, h) && !p.mayTake(h) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, compareHolders)
	return all
}
