package demonstrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/dragonflyford/dragonflyford/benchmarker"
)

// Summary is the result of a demo, as a JSON document.
type Summary struct {
	Seed                uint64                `json:"seed"`
	Deployment          string                `json:"deployment"`
	Requests            int                   `json:"requests"`
	Completed           int                   `json:"completed"`
	NotRun              int                   `json:"not_run"`
	Unknown             int                   `json:"unknown"`
	PostingsExecuted    int                   `json:"postings_executed"`
	DuplicateExecutions int                   `json:"duplicate_executions"`
	FalseNotRun         int                   `json:"false_not_run"`
	LostPostings        int                   `json:"lost_postings"`
	WrongAnswers        int                   `json:"wrong_answers"`
	Violations          int64                 `json:"violations"`
	BrokenByUnload      int                   `json:"broken_by_unload"`
	LoadStallMS         benchmarker.Quantiles `json:"load_stall_ms"`
	FirstTokenMS        benchmarker.Quantiles `json:"first_token_ms"`
	TokenGapMS          benchmarker.Quantiles `json:"token_gap_ms"`
	BatchEfficiency     float64               `json:"batch_efficiency"`
	StoreLoads          int                   `json:"store_loads"`
	CrossRegionBytes    int64                 `json:"cross_region_bytes"`
	Problems            map[string]int        `json:"problems"`
}

// Check returns an error that lists all broken promises.
func (s *Summary) Check() error {
	var errs []error
	check := func(n int64, what string) {
		if n != 0 {
			errs = append(errs, fmt.Errorf("%d %s", n, what))
		}
	}
	check(s.Violations, "violations of invariants")
	check(int64(s.DuplicateExecutions), "postings executed more than once")
	check(int64(s.FalseNotRun), "postings executed although reported as not run")
	check(int64(s.LostPostings), "postings reported as done and not executed")
	check(int64(s.WrongAnswers), "wrong answers")
	check(int64(s.BrokenByUnload), "requests broken by an eviction")
	if s.Completed == 0 {
		errs = append(errs, errors.New("no request was completed"))
	}
	if len(errs) == 0 {
		return nil
	}
	return fmt.Errorf("promises broken: %w", errors.Join(errs...))
}

// Write prints the summary as text, or as one line of JSON.
func (s *Summary) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			return fmt.Errorf("encode summary: %w", err)
		}
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(tw, "%s\t"+format+"\n", append([]any{name}, args...)...)
	}
	row("deployment", "%s, seed %d", s.Deployment, s.Seed)
	row("requests", "%d: %d completed, %d not run, %d unknown", s.Requests, s.Completed, s.NotRun, s.Unknown)
	row("postings executed", "%d, of which %d more than once", s.PostingsExecuted, s.DuplicateExecutions)
	row("wrong answers", "%d", s.WrongAnswers)
	row("violations", "%d", s.Violations)
	quantiles := func(name string, q benchmarker.Quantiles) {
		row(name, "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", q.P50, q.P95, q.P99)
	}
	quantiles("load stall", s.LoadStallMS)
	quantiles("first token", s.FirstTokenMS)
	quantiles("token gap", s.TokenGapMS)
	row("batch efficiency", "%.3f", s.BatchEfficiency)
	row("store loads", "%d", s.StoreLoads)
	row("cross-region bytes", "%d", s.CrossRegionBytes)
	for kind, n := range s.Problems {
		row("problem", "%s: %d", kind, n)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}
