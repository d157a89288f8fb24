package commander

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// explain is the command that collects the decisions about a request from all
// nodes.
type explain struct {
	*session
	output
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"id of the request, as in X-Request-Id"`
	} `positional-args:"yes" required:"yes"`
}

// ErrNotRecorded reports a request about which no node has recorded decisions.
var ErrNotRecorded = eris.New("no node has a decision about the request")

const routeExplain = "/operator/explain/"

// decisionsDocument is a node's response.
type decisionsDocument struct {
	Decisions []decisionDocument `json:"decisions"`
}

// decisionDocument is a decision that a node recorded.
type decisionDocument struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"node"`
	Stage    string    `json:"stage"`
	Decision string    `json:"decision"`
	Reason   string    `json:"reason,omitempty"`
}

// explainDocument is the output of explain.
type explainDocument struct {
	Request   string             `json:"request_id"`
	Decisions []decisionDocument `json:"decisions"`
	// Unanswered maps the nodes without a valid response to the reason.
	Unanswered map[string]string `json:"not_asked,omitempty"`
}

func (c *explain) Execute([]string) error {
	nodes, err := c.nodeClient()
	if err != nil {
		return err
	}
	doc := explainDocument{Request: c.Args.Request, Decisions: []decisionDocument{}, Unanswered: map[string]string{}}
	for _, a := range queryAll[decisionsDocument](c.ctx, nodes, routeExplain+url.PathEscape(c.Args.Request)) {
		doc.add(a)
	}
	// Decisions of one node keep their order; those of different nodes are ordered
	// by the clocks of their hosts.
	slices.SortStableFunc(doc.Decisions, func(a, b decisionDocument) int { return a.Time.Compare(b.Time) })
	if err := c.print(c.output, doc, doc.text()); err != nil {
		return err
	}
	switch {
	case len(doc.Unanswered) > 0:
		return ErrMissingAnswers
	case len(doc.Decisions) == 0:
		return ErrNotRecorded
	default:
		return nil
	}
}

func (d *explainDocument) add(a nodeResponse[decisionsDocument]) {
	if errors.Is(a.err, errNoRecord) {
		return
	}
	if a.err != nil {
		d.Unanswered[a.node.node] = a.err.Error()
		return
	}
	for _, decision := range a.doc.Decisions {
		decision.Node = a.node.node
		d.Decisions = append(d.Decisions, decision)
	}
}

func (d *explainDocument) text() string {
	var text strings.Builder
	tw := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "time\tnode\tstage\tdecision\treason")
	for _, x := range d.Decisions {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", x.Time.Format(time.RFC3339Nano), x.Node, x.Stage, x.Decision, x.Reason)
	}
	_ = tw.Flush() // writes to a strings.Builder never fail
	for _, a := range sortedKeys(d.Unanswered) {
		fmt.Fprintf(&text, "no answer from node %s: %s\n", a, d.Unanswered[a])
	}
	return strings.TrimRight(text.String(), "\n")
}
