package leaser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Holder is one lease of a node. A node that lost its lease comes back with a
// higher term, so that nothing that the old lease held is revived.
type Holder struct {
	name     string
	instance string
	term     uint64
}

// NewHolder returns the name of a lease.
func NewHolder(name, instance string, term uint64) Holder {
	return Holder{name: name, instance: instance, term: term}
}

// Name returns the node's name.
func (h Holder) Name() string { return h.name }

// Instance returns the id of the node's process.
func (h Holder) Instance() string { return h.instance }

// Term returns the number of the lease among those of the same name.
func (h Holder) Term() uint64 { return h.term }

// ID returns the identity of the process in the form that Gone takes.
func (h Holder) ID() string { return h.name + idSeparator + h.instance }

// IsZero reports whether h stands for no holder.
func (h Holder) IsZero() bool { return h == Holder{} }

const idSeparator = "/"

// Entry says who owns an engine.
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

// Token returns the fencing token. It grows with each change of owner.
func (e Entry) Token() uint64 { return e.token }

// Previous returns the owner before this one, or the zero Holder.
func (e Entry) Previous() Holder { return e.previous }

// Assignment says which node owns which engine of a data centre. It never
// changes.
type Assignment struct {
	epoch   uint64 // of the bundle that the engines were taken from
	last    uint64 // highest fencing token ever given
	members []Holder
	entries []Entry // by engine name
}

// Epoch returns the epoch of the bundle that named the engines.
func (a *Assignment) Epoch() uint64 { return a.epoch }

// Members returns the leases that may take engines over, by name.
func (a *Assignment) Members() []Holder { return a.members }

// Entries returns the engines, by name.
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

// check verifies what the other methods rely on.
func (a *Assignment) check() error {
	for i, e := range a.entries {
		if i > 0 && a.entries[i-1].engine >= e.engine {
			return fmt.Errorf("%w: engine %q is out of order", ErrMalformed, e.engine)
		}
		if e.token > a.last {
			return fmt.Errorf("%w: token %d of engine %q exceeds the last one, %d", ErrMalformed, e.token, e.engine, a.last)
		}
	}
	return nil
}

// holds reports whether h is a member or owns an engine.
func (a *Assignment) holds(h Holder) bool {
	return slices.Contains(a.members, h) ||
		slices.ContainsFunc(a.entries, func(e Entry) bool { return e.owner == h })
}

// holders returns the members and owners, without repetition.
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

// Engines is the list of engines of a data centre as a bundle names them.
type Engines struct {
	epoch uint64
	names []string
}

// NewEngines returns the engines that the bundle with the given epoch names.
func NewEngines(epoch uint64, names []string) Engines {
	names = slices.Clone(names)
	slices.Sort(names)
	return Engines{epoch: epoch, names: slices.Compact(names)}
}

// Candidate is a node that takes part in an assignment.
type Candidate struct {
	holder  Holder
	leaving bool
}

// NewCandidate returns a live node. A leaving node gives its engines up.
func NewCandidate(h Holder, leaving bool) Candidate { return Candidate{holder: h, leaving: leaving} }

// Plan returns the assignment that follows from the live nodes and the engines,
// and whether it differs from the current one. Engines move only as far as
// balance requires, and only away from holders that may allows: the planning node
// itself, and nodes whose lease has ended.
func Plan(current *Assignment, live []Candidate, engines Engines, may func(Holder) bool) (*Assignment, bool) {
	p := newPlanner(current, live, engines, may)
	p.release()
	p.balance()
	p.place()
	next := p.result()
	return next, !next.equal(current)
}

func (a *Assignment) equal(b *Assignment) bool {
	return a.epoch == b.epoch && slices.Equal(a.members, b.members) && slices.Equal(a.entries, b.entries)
}

// planner holds a plan while it is made.
type planner struct {
	current   *Assignment
	live      []Candidate
	receivers []Holder // live and not leaving, by name
	engines   Engines
	may       func(Holder) bool
	owners    map[string]Holder
	free      []string // engines without an owner, by name
	quota     map[Holder]int
}

func newPlanner(current *Assignment, live []Candidate, engines Engines, may func(Holder) bool) *planner {
	p := &planner{current: current, may: may, owners: make(map[string]Holder), quota: make(map[Holder]int)}
	p.live = slices.SortedFunc(slices.Values(live), func(a, b Candidate) int { return compareHolders(a.holder, b.holder) })
	for _, c := range p.live {
		if !c.leaving {
			p.receivers = append(p.receivers, c.holder)
		}
	}
	p.engines = p.known(engines)
	return p
}

// known returns the engines to assign. A node with an older bundle keeps the list
// of the row, so that nodes with different bundles do not undo each other's
// changes.
func (p *planner) known(given Engines) Engines {
	var names []string
	for _, e := range p.current.entries {
		names = append(names, e.engine)
	}
	if given.epoch < p.current.epoch || slices.Equal(names, given.names) {
		return Engines{epoch: p.current.epoch, names: names}
	}
	return given
}

// release frees the engines whose owner is gone, leaves or is not set, and keeps
// entries of dropped engines until their owner allows the removal.
func (p *planner) release() {
	for _, e := range p.current.entries {
		_, wanted := slices.BinarySearch(p.engines.names, e.engine)
		if e.owner.IsZero() || (p.may(e.owner) && (!wanted || p.leaves(e.owner))) {
			continue
		}
		p.owners[e.engine] = e.owner
	}
	for _, name := range p.engines.names {
		if _, owned := p.owners[name]; !owned {
			p.free = append(p.free, name)
		}
	}
}

// leaves reports whether h should have no engine. Without a receiver a leaving
// node keeps its engines.
func (p *planner) leaves(h Holder) bool {
	if len(p.receivers) > 0 {
		return !slices.Contains(p.receivers, h)
	}
	return !slices.ContainsFunc(p.live, func(c Candidate) bool { return c.holder == h })
}

// balance computes how many engines each receiver should have and frees those
// past it. The nodes with the most engines get the larger shares, which moves
// the fewest engines.
func (p *planner) balance() {
	owned := make(map[Holder][]string)
	total := len(p.free)
	for _, name := range p.names() {
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
		p.quota[h] = share - len(owned[h])
		if p.quota[h] < 0 && p.may(h) {
			p.shed(h, owned[h][share:])
		}
	}
}

func (p *planner) shed(h Holder, names []string) {
	for _, name := range names {
		delete(p.owners, name)
	}
	p.free = append(p.free, names...)
	slices.Sort(p.free)
	p.quota[h] = 0
}

// names returns the owned engines, by name.
func (p *planner) names() []string {
	names := make([]string, 0, len(p.owners))
	for name := range p.owners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// place gives each free engine to the receiver that lacks the most.
func (p *planner) place() {
	if len(p.receivers) == 0 {
		return
	}
	for _, name := range p.free {
		best := p.receivers[0]
		for _, h := range p.receivers[1:] {
			if p.quota[h] > p.quota[best] {
				best = h
			}
		}
		p.owners[name] = best
		p.quota[best]--
	}
}

func (p *planner) result() *Assignment {
	next := &Assignment{epoch: p.engines.epoch, last: p.current.last, members: p.members()}
	names := append(p.names(), p.engines.names...)
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

// members returns the live nodes and the members that must not be removed yet.
func (p *planner) members() []Holder {
	var all []Holder
	for _, c := range p.live {
		all = append(all, c.holder)
	}
	for _, h := range p.current.members {
		if !slices.Contains(all, h) && !p.may(h) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, compareHolders)
	return all
}
