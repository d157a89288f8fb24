package roller

import (
	"context"
	"slices"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Node is what a node's lease row says of bundles.
type Node struct {
	name     string
	region   string
	prepared uint64
	inForce  uint64
	live     bool
}

// NewNode returns a node with the highest epoch that it has verified, the epoch
// in force there, and whether its lease is valid.
func NewNode(name, region string, prepared, inForce uint64, live bool) Node {
	return Node{name: name, region: region, prepared: prepared, inForce: inForce, live: live}
}

// Name returns the node's name.
func (n Node) Name() string { return n.name }

// Region returns the node's region.
func (n Node) Region() string { return n.region }

// Prepared returns the highest epoch that the node has verified.
func (n Node) Prepared() uint64 { return n.prepared }

// InForce returns the epoch in force at the node.
func (n Node) InForce() uint64 { return n.inForce }

// Live reports whether the node's lease is valid.
func (n Node) Live() bool { return n.live }

// Nodes lists the nodes of the deployment.
type Nodes interface {
	List(ctx context.Context) ([]Node, error)
}

// pending returns the regions without a live node and the live nodes that have
// not prepared an epoch, both without the excluded regions.
func pending(nodes []Node, regions []string, epoch uint64, excluded []string) (missing, waiting []string) {
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

// regionsOf returns the regions that two documents name; either may be nil. A
// region that the new bundle drops still has nodes that must learn of it.
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
