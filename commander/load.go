package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/benchmarker"
)

// Errors of load runs. The result is written even if one of them is returned.
var (
	// ErrWrongAnswers reports answers that differ from the expected ones.
	ErrWrongAnswers = eris.New("answers were wrong")
	// ErrStopped reports a run that was stopped before its end.
	ErrStopped = eris.New("the run was stopped before its end")
)

// load is the command that runs a workload.
type load struct {
	*session
	Workload string `long:"config" value-name:"FILE" description:"JSON workload, see docs/load.md"`
	Out      string `long:"out" value-name:"FILE" description:"write the result to a file instead of the output"`
}

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

func (c *load) Execute([]string) error {
	if c.Workload == "" {
		return &SettingError{setting: "--config", allowed: "the path of a workload file for this command"}
	}
	data, err := os.ReadFile(c.Workload)
	if err != nil {
		return &SettingError{setting: "--config", value: c.Workload, allowed: "a readable file: " + err.Error()}
	}
	doc, err := benchmarker.Parse(data)
	if err != nil {
		return &SettingError{setting: "--config", value: c.Workload, allowed: "a workload without faults: " + err.Error()}
	}
	result := c.run(benchmarker.New(doc))
	if err := c.write(result); err != nil {
		return err
	}
	if result.WrongAnswers > 0 {
		return fmt.Errorf("%d of %d: %w", result.WrongAnswers, result.Requests, ErrWrongAnswers)
	}
	if c.ctx.Err() != nil {
		return ErrStopped
	}
	return nil
}

// run runs the workload and prints progress until it ends.
func (c *load) run(b *benchmarker.Benchmarker) *benchmarker.Result {
	done := make(chan *benchmarker.Result, 1)
	go func() { done <- b.Run(c.ctx) }()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-done:
			return r
		case <-ticker.C:
			started, ended := b.Progress()
			_, _ = fmt.Fprintf(c.errs, "%d requests started, %d ended\n", started, ended)
		}
	}
}

func (c *load) write(r *benchmarker.Result) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if c.Out == "" {
		return c.print(output{}, nil, string(data))
	}
	if err := os.WriteFile(c.Out, append(data, '\n'), 0o644); err != nil {
		return &SettingError{setting: "--out", value: c.Out, allowed: "a file that can be written: " + err.Error()}
	}
	return nil
}

// loadCompare is the command that prints two results side by side.
type loadCompare struct {
	*session
	Args struct {
		Before string `positional-arg-name:"BEFORE" description:"file with a result"`
		After  string `positional-arg-name:"AFTER" description:"file with a result"`
	} `positional-args:"yes" required:"yes"`
}

func (c *loadCompare) Execute([]string) error {
	before, err := readResult("BEFORE", c.Args.Before)
	if err != nil {
		return err
	}
	after, err := readResult("AFTER", c.Args.After)
	if err != nil {
		return err
	}
	return benchmarker.Compare(c.out, before, after)
}

func readResult(name, path string) (*benchmarker.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{setting: name, value: path, allowed: "a readable file: " + err.Error()}
	}
	r, err := benchmarker.ParseResult(data)
	if err != nil {
		return nil, &SettingError{setting: name, value: path, allowed: "the result of a load run: " + err.Error()}
	}
	return r, nil
}
