package roller

import (
	"fmt"
	"strings"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Result is the outcome of a roll-out: Accepted, Conflict, AlreadyInForce or
// NotPrepared.
type Result interface {
	String() string
	result()
}

// Accepted means that this roll-out put its bundle in force.
type Accepted struct{ record bundler.Record }

// Record returns the record of the bundle in force.
func (a Accepted) Record() bundler.Record { return a.record }

func (a Accepted) String() string {
	s := fmt.Sprintf("bundle %q is in force as epoch %d", a.record.Version(), a.record.Epoch())
	if len(a.record.Excluded()) > 0 {
		s += fmt.Sprintf("; regions not waited for, which may still serve the previous bundle: %s", strings.Join(a.record.Excluded(), ", "))
	}
	return s
}

// Conflict means that another roll-out was prepared or accepted first. The
// bundle of this roll-out is not in force.
type Conflict struct {
	other   bundler.Record
	version string
}

// Other returns the record of the other roll-out. Its bundle is in force only
// if the record is at StageAccepted.
func (c Conflict) Other() bundler.Record { return c.other }

func (c Conflict) String() string {
	state := "is in force"
	if c.other.Stage() != bundler.StageAccepted {
		state = "is " + c.other.Stage().String()
	}
	return fmt.Sprintf("bundle %q is not in force: bundle %q of operator %q %s as epoch %d",
		c.version, c.other.Version(), c.other.Operator(), state, c.other.Epoch())
}

// AlreadyInForce means that the same bundle was in force before this roll-out.
type AlreadyInForce struct{ record bundler.Record }

// Record returns the record of the bundle in force.
func (a AlreadyInForce) Record() bundler.Record { return a.record }

func (a AlreadyInForce) String() string {
	return fmt.Sprintf("bundle %q is already in force as epoch %d, rolled out by operator %q", a.record.Version(), a.record.Epoch(), a.record.Operator())
}

// NotPrepared means that not all nodes prepared the bundle in time. The
// roll-out is withdrawn, and the previous bundle stays in force.
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
	s := fmt.Sprintf("bundle %q is not in force: preparation timed out", n.record.Version())
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
