package commander

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/dragonflyford/dragonflyford/server"
)

// status is the command that prints the status of every node.
type status struct {
	*session
	output
}

// nodeStatusDocument is the status of one node, or the error of the query.
type nodeStatusDocument struct {
	Node    string                 `json:"node"`
	Address string                 `json:"address"`
	Status  *server.StatusDocument `json:"status,omitempty"`
	Error   string                 `json:"error,omitempty"`
}

const routeStatus = "/operator/status"

func (c *status) Execute([]string) error {
	nodes, err := c.nodeClient()
	if err != nil {
		return err
	}
	responses := queryAll[server.StatusDocument](c.ctx, nodes, routeStatus)
	documents := make([]nodeStatusDocument, len(responses))
	var failed error
	for i, a := range responses {
		documents[i] = nodeStatusDocument{Node: a.node.node, Address: a.node.address}
		if a.err != nil {
			documents[i].Error = a.err.Error()
			failed = ErrMissingAnswers
			continue
		}
		documents[i].Status = &a.doc
	}
	if err := c.print(c.output, documents, statusText(documents)); err != nil {
		return err
	}
	return failed
}

func statusText(documents []nodeStatusDocument) string {
	var text strings.Builder
	tw := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "node\tregion\tdata centre\tstate\tepoch\tprepared\trunning\twaiting\tviolations")
	for _, d := range documents {
		s := d.Status
		if s == nil {
			fmt.Fprintf(tw, "%s\t-\t-\tno answer: %s\n", d.Node, d.Error)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n",
			d.Node, s.Region, s.DataCentre, stateOf(s), s.Epoch, s.Prepared, s.Running, s.Waiting, s.Violations)
	}
	fmt.Fprintln(tw, "\nengine\towner\tfence\tslots\tresident\tloading\trunning\tbatch\tqueued")
	for _, d := range documents {
		if d.Status == nil {
			continue
		}
		for _, e := range d.Status.Engines {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\n",
				e.Name, d.Node, e.Fence, e.Slots, len(e.Resident), listOrDash(e.Loading), e.Running, e.Batch, e.Queued)
		}
	}
	_ = tw.Flush() // writes to a strings.Builder never fail
	return strings.TrimRight(text.String(), "\n")
}

func stateOf(s *server.StatusDocument) string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Ready:
		return "not ready"
	case !s.UpToDate:
		return "not up to date"
	default:
		return "ready"
	}
}

func listOrDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}
