package commander

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/inspector"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/router"
)

// check is the command that inspects a configuration of entry hosts. It uses no network.
type check struct {
	*session
	output
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration of entry hosts"`
	} `positional-args:"yes" required:"yes"`
	Against     string `long:"against" value-name:"FILE" description:"print the differences from this configuration"`
	Settings    string `long:"settings" value-name:"FILE" description:"settings of an entry host with the bounds on quotas; without it, the defaults apply"`
	Hosts       int    `long:"hosts" value-name:"N" description:"number of entry hosts, to compare with connection limits"`
	LargestCall int    `long:"largest-call" value-name:"TOKENS" description:"tokens of the largest call, to compare with quotas"`
}

// inspectionDocument is the output of check.
type inspectionDocument struct {
	File        string                 `json:"file"`
	Against     string                 `json:"against,omitempty"`
	Version     int64                  `json:"version,omitempty"`
	Errors      []configurationError   `json:"errors"`
	Warnings    []configurationWarning `json:"warnings"`
	Differences []configurationChange  `json:"differences"`
}

type configurationError struct {
	File      string `json:"file"`
	Line      int    `json:"line,omitempty"`
	Column    int    `json:"column,omitempty"`
	Field     string `json:"field,omitempty"`
	Permitted string `json:"permitted"`
}

type configurationWarning struct {
	Entry     string `json:"entry"`
	Problem   string `json:"problem"`
	Permitted string `json:"permitted"`
}

// configurationChange is one difference between two configurations.
type configurationChange struct {
	Change   string `json:"change"` // added, removed or changed
	Entry    string `json:"entry"`
	Property string `json:"property,omitempty"`
	Old      string `json:"old,omitempty"`
	New      string `json:"new,omitempty"`
	Effect   string `json:"effect"`
}

func (c *check) Execute([]string) error {
	deployment, err := c.deployment()
	if err != nil {
		return err
	}
	r := &inspectionReport{inspectionDocument: inspectionDocument{
		File: c.Args.File, Against: c.Against,
		Errors: []configurationError{}, Warnings: []configurationWarning{}, Differences: []configurationChange{},
	}}
	table := r.read(c.Args.File)
	if table != nil {
		r.Version = table.Version()
		r.warn(inspector.Inspect(table, deployment))
	}
	if c.Against != "" {
		r.compare(r.read(c.Against), table)
	}
	if err := c.print(c.output, r.inspectionDocument, r.text()); err != nil {
		return err
	}
	if len(r.Errors) > 0 {
		return ErrInvalidConfiguration
	}
	return nil
}

// deployment returns what the options say of the deployment.
func (c *check) deployment() (inspector.Deployment, error) {
	if c.Hosts < 0 {
		return inspector.Deployment{}, &SettingError{setting: "--hosts", value: fmt.Sprint(c.Hosts), allowed: "0, if the number is not known, or more"}
	}
	if c.LargestCall < 0 {
		return inspector.Deployment{}, &SettingError{setting: "--largest-call", value: fmt.Sprint(c.LargestCall), allowed: "0, if the call is not known, or more"}
	}
	settings := configurer.DefaultEntry()
	if c.Settings != "" {
		var err error
		if settings, err = configurer.ReadEntry(c.Settings); err != nil {
			return inspector.Deployment{}, &SettingError{setting: "--settings", value: c.Settings, allowed: "a file with settings of an entry host: " + err.Error()}
		}
	}
	bounds := accountant.NewBounds(settings.QuotaWindow(), settings.QuotaOver(), settings.QuotaSlack())
	return inspector.NewDeployment(bounds, inspector.WithHosts(c.Hosts), inspector.WithLargestCall(c.LargestCall)), nil
}

// inspectionReport collects the output of check.
type inspectionReport struct {
	inspectionDocument
	findings []inspector.Finding
	changes  []inspector.Change
	compared bool
}

// read returns the tables of a file, or nil after it has recorded why the file has none.
func (r *inspectionReport) read(path string) *router.Table {
	data, err := os.ReadFile(path)
	if err != nil {
		r.Errors = append(r.Errors, configurationError{File: path, Permitted: "a readable file: " + err.Error()})
		return nil
	}
	configuration, err := platform.DecodeConfiguration(data)
	if err == nil {
		return configuration.Table()
	}
	found := configurationError{File: path, Permitted: "a configuration of entry hosts"}
	var invalid *platform.DocumentError
	if errors.As(err, &invalid) {
		found.Line, found.Column, found.Field, found.Permitted = invalid.Line(), invalid.Column(), invalid.Field(), invalid.Allowed()
	}
	r.Errors = append(r.Errors, found)
	return nil
}

func (r *inspectionReport) warn(findings []inspector.Finding) {
	r.findings = append(r.findings, findings...)
	for _, f := range findings {
		r.Warnings = append(r.Warnings, configurationWarning{f.Entry(), f.Problem(), f.Permitted()})
	}
}

// compare records the differences, if both files have tables.
func (r *inspectionReport) compare(before, after *router.Table) {
	if before == nil || after == nil {
		return
	}
	difference := inspector.Compare(before, after)
	r.warn(difference.Findings())
	r.changes, r.compared = difference.Changes(), true
	for _, change := range r.changes {
		d := configurationChange{Entry: change.Entry(), Effect: change.Effect()}
		switch change := change.(type) {
		case inspector.Added:
			d.Change, d.New = "added", change.After()
		case inspector.Removed:
			d.Change, d.Old = "removed", change.Before()
		case inspector.Changed:
			d.Change, d.Property, d.Old, d.New = "changed", change.Property(), change.Before(), change.After()
		}
		r.Differences = append(r.Differences, d)
	}
}

// text returns the findings, one a line, and their numbers.
func (r *inspectionReport) text() string {
	var b strings.Builder
	for _, e := range r.Errors {
		fmt.Fprintf(&b, "%s: error: %s must be %s\n", e.position(), cmp.Or(e.Field, "document"), e.Permitted)
	}
	for _, f := range r.findings {
		fmt.Fprintf(&b, "%s: warning: %s\n", r.File, f)
	}
	for _, c := range r.changes {
		b.WriteString(c.String() + "\n")
	}
	fmt.Fprintf(&b, "%s: errors %d, warnings %d", r.File, len(r.Errors), len(r.Warnings))
	if r.compared {
		fmt.Fprintf(&b, ", differences from %s %d", r.Against, len(r.changes))
	}
	return b.String()
}

// position returns the file with the line and column, as compilers print it.
func (e configurationError) position() string {
	if e.Line == 0 {
		return e.File
	}
	return fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
}
