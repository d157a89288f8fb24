package runner

import (
	"sort"

	"github.com/dragonflyford/dragonflyford/server"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Status returns the status of the node for operators.
func (n *Node) Status() server.StatusDocument {
	state := n.bundles.Load()
	d := server.StatusDocument{
		Node:       n.settings.Name(),
		Region:     n.settings.Region(),
		DataCentre: n.settings.DataCentre(),
		UpToDate:   state.UpToDate(),
		Draining:   n.draining.Load(),
		Running:    n.admitter.Running(),
		Waiting:    n.admitter.Waiting(),
		Violations: n.asserts.Total(),
	}
	if current := state.Current(); current != nil {
		d.Version, d.Epoch, d.Ready = current.Version(), current.Epoch(), !d.Draining
	}
	if prepared := state.Prepared(); prepared != nil {
		d.Prepared = prepared.Epoch()
	}
	views := n.views.Load()
	for _, e := range n.leaser.Owned() {
		if v := views.Engine(e.Engine()); v != nil {
			d.Engines = append(d.Engines, engineStatus(v, e.Token()))
		}
	}
	return d
}

func engineStatus(v *viewer.View, token uint64) server.EngineStatusDocument {
	d := server.EngineStatusDocument{
		Name: v.Engine(), Fence: token, Slots: v.Slots(), Batch: v.Batch(), Running: v.Running(), Queued: v.Queued(),
	}
	for m, r := range v.Models() {
		switch r {
		case viewer.Resident:
			d.Resident = append(d.Resident, m.String())
		case viewer.Loading:
			d.Loading = append(d.Loading, m.String())
		}
	}
	sort.Strings(d.Resident)
	sort.Strings(d.Loading)
	return d
}
