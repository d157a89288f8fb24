package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes a report as a plain text table.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "burn of service levels until %s, from %d objects of %d nodes\n", r.until.Format(time.RFC3339), r.objects, r.nodes)
	r.writeFaults(w)
	if len(r.lines) == 0 {
		_, err := fmt.Fprintln(w, "no events are recorded")
		return wrapWrite(err)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "level\tscope")
	for _, rate := range r.lines[0].rates {
		fmt.Fprintf(tw, "\tburn %s", rate.window.name)
	}
	fmt.Fprintln(tw, "\tgood\tbad\talarm")
	for _, l := range r.lines {
		fmt.Fprintf(tw, "%s\t%s", l.level.name, l.scope)
		for _, rate := range l.rates {
			fmt.Fprintf(tw, "\t%.2f", rate.Burn())
		}
		last := l.rates[len(l.rates)-1]
		fmt.Fprintf(tw, "\t%d\t%d\t%s\n", last.Good(), last.Bad(), alarmText(l.Alarm()))
	}
	return wrapWrite(tw.Flush())
}

func (r *Report) writeFaults(w io.Writer) {
	if r.failed == 0 {
		return
	}
	fmt.Fprintf(w, "%d objects could not be read; their counts are missing\n", r.failed)
	for _, err := range r.faults {
		fmt.Fprintf(w, "  %v\n", err)
	}
}

func alarmText(a Alarm) string {
	if a == nil {
		return "-"
	}
	return a.String()
}

func wrapWrite(err error) error {
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
