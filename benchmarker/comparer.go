package benchmarker

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Compare writes two results side by side with the change from a to b.
func Compare(w io.Writer, a, b *Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "measure\tbefore\tafter\tchange\t")
	row := func(name string, x, y float64) {
		change := "-"
		if x != 0 {
			change = fmt.Sprintf("%+.1f%%", 100*(y-x)/x)
		}
		fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%s\t\n", name, x, y, change)
	}
	row("requests", float64(a.Requests), float64(b.Requests))
	row("completed", float64(a.Completed), float64(b.Completed))
	row("not run", float64(a.NotRun), float64(b.NotRun))
	row("unknown", float64(a.Unknown), float64(b.Unknown))
	row("wrong answers", float64(a.WrongAnswers), float64(b.WrongAnswers))
	distribution := func(name string, x, y Quantiles) {
		row(name+" p50 ms", x.P50, y.P50)
		row(name+" p95 ms", x.P95, y.P95)
		row(name+" p99 ms", x.P99, y.P99)
	}
	distribution("first token", a.FirstTokenMS, b.FirstTokenMS)
	distribution("token gap", a.TokenGapMS, b.TokenGapMS)
	distribution("call", a.CallMS, b.CallMS)
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}
