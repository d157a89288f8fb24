package roller

import (
	"context"
	"slices"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Node holds the bundle epochs that a node reports in its lease row.
type Node struct {
	name     string
	region   string
	prepared uint64 // epoch
	inForce  uint64 // epoch
	live     bool   // its lease is valid
}

// NewNode returns a Node. Prepared is the highest epoch that the node has
// verified, inForce the epoch that it serves, and live whether its lease is
// valid.
func NewNode(name, region string, prepared, inForce uint64, live bool) Node {
	return Node{name: name, region: region, prepared: prepared, inForce: inForce, live: live}
}

// Name returns the node's name.
func (n Node) Name() string { return n.name }

// Region returns the node's region.
func (n Node) Region() string { return n.region }

// Prepared returns the highest epoch that the node has verified.
func (n Node) Prepared() uint64 { return n.prepared }

// InForce returns the epoch that the node serves.
func (n Node) InForce() uint64 { return n.inForce }

// Live reports whether the node's lease is valid.
func (n Node) Live() bool { return n.live }

// Nodes lists the nodes of the deployment.
type Nodes interface {
	List(ctx context.Context) ([]Node, error)
}

// unprepared returns the regions without a live node (missing) and the live
// nodes that have not prepared the epoch (waiting). Excluded regions and their
// nodes are left out.
func unprepared(nodes []Node, regions []string, epoch uint64, excluded []string) (missing, waiting []string) {
	alive := map[string]bool{}
	for _, n := range nodes {
		if !n.live || slices.Contains(excluded, n.region) {
			continue
		}
		alive[n.region] = true
		if n.prepared < epoch {
			waiting = append(waiting, n.name)
		}
	}
	for _, r := range regions {
		if !alive[r] && !slices.Contains(excluded, r) {
			missing = append(missing, r)
		}
	}
	slices.Sort(missing)
	slices.Sort(waiting)
	return slices.Compact(missing), waiting
}

// regionsOf returns the sorted union of the regions in docs; nil documents are
// skipped. A roll-out passes the bundle in force as well, because a region that
// the new bundle removes still has nodes that must receive it.
func regionsOf(docs ...*bundler.Document) []string {
	var all []string
	for _, d := range docs {
		if d == nil {
			continue
		}
		for _, r := range d.Regions {
			all = append(all, r.Name)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
