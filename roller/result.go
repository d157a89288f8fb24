package roller

import (
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Result is how a roll-out ended: Accepted, Conflict, AlreadyInForce or NotPrepared.
type Result interface {
	String() string
	result()
}

// Accepted says that this roll-out put its bundle in force.
type Accepted struct{ record bundler.Record }

// Record returns the record in force.
func (w Accepted) Record() bundler.Record { return w.record }

func (w Accepted) String() string {
	s := fmt.Sprintf("bundle %q is in force as epoch %d", w.record.Version(), w.record.Epoch())
	if len(w.record.Excluded()) > 0 {
		s += fmt.Sprintf("; regions not waited for, which may serve the bundle before: %s", strings.Join(w.record.Excluded(), ", "))
	}
	return s
}

// Conflict says that another roll-out came first. The own bundle is not in force.
type Conflict struct {
	winner bundler.Record
	own    string
}

// Other returns the record of the other roll-out. At StagePrepared it has not
// come into force yet.
func (l Conflict) Other() bundler.Record { return l.winner }

func (l Conflict) String() string {
	state := "is in force"
	if l.winner.Stage() != bundler.StageAccepted {
		state = "is " + l.winner.Stage().String()
	}
	return fmt.Sprintf("bundle %q is not in force: bundle %q of operator %q %s as epoch %d",
		l.own, l.winner.Version(), l.winner.Operator(), state, l.winner.Epoch())
}

// AlreadyInForce says that the same bundle was in force before this roll-out.
type AlreadyInForce struct{ record bundler.Record }

// Record returns the record in force.
func (a AlreadyInForce) Record() bundler.Record { return a.record }

func (a AlreadyInForce) String() string {
	return fmt.Sprintf("bundle %q is in force already, as epoch %d of operator %q", a.record.Version(), a.record.Epoch(), a.record.Operator())
}

// NotPrepared says that nodes did not prepare the bundle in time. The roll-out is
// withdrawn; the bundle before stays in force.
type NotPrepared struct {
	record  bundler.Record
	regions []string
	nodes   []string
}

// Record returns the record of the withdrawn roll-out.
func (n NotPrepared) Record() bundler.Record { return n.record }

// Regions returns the regions without a live node.
func (n NotPrepared) Regions() []string { return n.regions }

// Nodes returns the live nodes that have not prepared the bundle.
func (n NotPrepared) Nodes() []string { return n.nodes }

func (n NotPrepared) String() string {
	s := fmt.Sprintf("bundle %q is not in force: it was not prepared everywhere", n.record.Version())
	if len(n.regions) > 0 {
		s += "; regions without a live node: " + strings.Join(n.regions, ", ")
	}
	if len(n.nodes) > 0 {
		s += "; nodes that have not prepared it: " + strings.Join(n.nodes, ", ")
	}
	return s
}

func (Accepted) result()       {}
func (Conflict) result()       {}
func (AlreadyInForce) result() {}
func (NotPrepared) result()    {}
