package commander

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/roller"
)

// fileArgument is the bundle file argument of a command.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"bundle file"`
	} `positional-args:"yes" required:"yes"`
}

type bundleCheck struct {
	*session
	output
	fileArgument
}

// checkDocument is the output of bundle check.
type checkDocument struct {
	Version  string          `json:"version,omitempty"`
	Manifest string          `json:"manifest,omitempty"`
	Faults   []faultDocument `json:"faults"`
}

type faultDocument struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

func (c *bundleCheck) Execute([]string) error {
	f, err := openFile(c.Args.File)
	var parse *bundler.ParseError
	if c.JSON && errors.As(err, &parse) {
		d := checkDocument{}
		for _, f := range parse.Faults() {
			d.Faults = append(d.Faults, faultDocument{f.Position().Line(), f.Position().Column(), f.Field(), f.Value(), f.Allowed()})
		}
		return errors.Join(err, c.print(c.output, d, ""))
	}
	if err != nil {
		return err
	}
	digest := f.content.Manifest().Digest().String()
	return c.print(c.output, checkDocument{f.doc.Version, digest, []faultDocument{}},
		fmt.Sprintf("%s: bundle %q has no faults; manifest %s", f.path, f.doc.Version, digest))
}

type bundleSign struct {
	*session
	output
	fileArgument
}

// signedDocument is the output of bundle sign and bundle review.
type signedDocument struct {
	Version  string   `json:"version"`
	Manifest string   `json:"manifest"`
	Author   string   `json:"author"`
	Reviewer string   `json:"reviewer,omitempty"`
	Changes  []string `json:"changes,omitempty"`
}

func (c *bundleSign) Execute([]string) error {
	settings, err := readSettings(c.config)
	if err != nil {
		return err
	}
	key, f, err := settings.openForSigning(c.Args.File)
	if err != nil {
		return err
	}
	m := f.content.Manifest()
	signature := bundler.Sign(bundler.RoleAuthor, settings.operator, key, m)
	if err := settings.Keys().Verify(bundler.RoleAuthor, signature, m); err != nil {
		return err
	}
	f.signatures = signaturesDocument{Manifest: m.Digest().String(), Author: newSignatureDocument(signature)}
	if err := f.writeSignatures(); err != nil {
		return err
	}
	return c.print(c.output, signedDocument{Version: f.doc.Version, Manifest: f.signatures.Manifest, Author: settings.operator},
		fmt.Sprintf("bundle %q signed by author %q; signatures in %s", f.doc.Version, settings.operator, f.signaturesPath()))
}

type bundleReview struct {
	*session
	output
	fileArgument
	Yes bool `long:"yes" description:"sign without asking"`
}

func (c *bundleReview) Execute([]string) error {
	settings, r, err := c.roller()
	if err != nil {
		return err
	}
	key, f, err := settings.openForSigning(c.Args.File)
	if err != nil {
		return err
	}
	author, err := f.verifyAuthor(settings.Keys())
	if err != nil {
		return err
	}
	m := f.content.Manifest()
	signature := bundler.Sign(bundler.RoleReviewer, settings.operator, key, m)
	if err := bundler.NewSigned(m, author, signature).Verify(settings.Keys()); err != nil {
		return fmt.Errorf("review of %s: %w", f.path, err)
	}
	_, current, err := r.InForce(c.ctx)
	if err != nil {
		return err
	}
	difference := bundler.Diff(current, f.doc)
	if !c.JSON {
		_, _ = fmt.Fprint(c.out, difference.String())
	}
	if err := c.confirm(f.doc.Version); err != nil {
		return err
	}
	f.signatures.Reviewer = newSignatureDocument(signature)
	if err := f.writeSignatures(); err != nil {
		return err
	}
	d := signedDocument{Version: f.doc.Version, Manifest: f.signatures.Manifest, Author: author.Key(), Reviewer: settings.operator}
	for _, change := range difference.Changes() {
		d.Changes = append(d.Changes, change.String())
	}
	return c.print(c.output, d, fmt.Sprintf("bundle %q of author %q signed by reviewer %q", f.doc.Version, author.Key(), settings.operator))
}

func (c *bundleReview) confirm(version string) error {
	if c.Yes {
		return nil
	}
	if _, err := fmt.Fprintf(c.errs, "Sign bundle %q as reviewer? [y/N] ", version); err != nil {
		return fmt.Errorf("ask for confirmation: %w", err)
	}
	answer, _ := bufio.NewReader(c.in).ReadString('\n') // end of input counts as no
	if strings.ToLower(strings.TrimSpace(answer)) != "y" {
		return ErrDeclined
	}
	return nil
}

// rollOutOptions are the options shared by roll-out and roll-back.
type rollOutOptions struct {
	Exclude []string      `long:"exclude" value-name:"REGION" description:"do not wait for a region that cannot be reached; it keeps its current bundle until it is reachable again (may be repeated)"`
	Timeout time.Duration `long:"patience" default:"30s" description:"how long nodes may take to prepare, and how long failed platform requests are retried"`
	Replace bool          `long:"replace" description:"replace a roll-out that another operator has not finished"`
}

// apply returns a plan with the options set.
func (o rollOutOptions) apply(p roller.Plan) roller.Plan {
	p = p.Excluding(o.Exclude...)
	if o.Replace {
		p = p.Replacing()
	}
	return p
}

func (o rollOutOptions) check() error {
	if o.Timeout <= 0 {
		return &SettingError{setting: "--patience", value: o.Timeout.String(), allowed: "a duration above 0, such as 30s"}
	}
	return nil
}

type bundleRollOut struct {
	*session
	output
	fileArgument
	rollOutOptions
}

func (c *bundleRollOut) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	settings, r, err := c.roller(roller.WithTimeout(c.Timeout))
	if err != nil {
		return err
	}
	f, err := openFile(c.Args.File)
	if err != nil {
		return err
	}
	signed, err := f.verifySigned(settings.Keys())
	if err != nil {
		return err
	}
	result, err := r.RollOut(c.ctx, c.apply(roller.NewPlan(signed, f.content.Part)))
	if err != nil {
		return err
	}
	return c.printResult(c.output, result)
}

type bundleRollBack struct {
	*session
	output
	rollOutOptions
	To string `long:"to" value-name:"VERSION" required:"yes" description:"accepted version to return to"`
}

func (c *bundleRollBack) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	_, r, err := c.roller(roller.WithTimeout(c.Timeout))
	if err != nil {
		return err
	}
	result, err := r.RollBack(c.ctx, c.To, c.apply(roller.Plan{}))
	if err != nil {
		return err
	}
	return c.printResult(c.output, result)
}

// resultDocument is the output of roll-out and roll-back.
type resultDocument struct {
	Result  string          `json:"result"` // won, lost, already-in-force or not-prepared
	Record  *recordDocument `json:"record"`
	Regions []string        `json:"regions,omitempty"`
	Nodes   []string        `json:"nodes,omitempty"`
}

type recordDocument struct {
	Epoch    uint64   `json:"epoch"`
	Version  string   `json:"version"`
	Manifest string   `json:"manifest"`
	Operator string   `json:"operator"`
	Excluded []string `json:"excluded,omitempty"`
	Stage    string   `json:"stage"`
}

func newRecordDocument(r bundler.Record) *recordDocument {
	if r.Epoch() == 0 {
		return nil
	}
	return &recordDocument{r.Epoch(), r.Version(), r.Manifest().String(), r.Operator(), r.Excluded(), r.Stage().String()}
}

func (s *session) printResult(o output, result roller.Result) error {
	var (
		d      resultDocument
		failed error
	)
	switch result := result.(type) {
	case roller.Accepted:
		d = resultDocument{Result: "won", Record: newRecordDocument(result.Record())}
	case roller.AlreadyInForce:
		d = resultDocument{Result: "already-in-force", Record: newRecordDocument(result.Record())}
	case roller.Conflict:
		d = resultDocument{Result: "lost", Record: newRecordDocument(result.Other())}
		failed = ErrNotInForce
	case roller.NotPrepared:
		d = resultDocument{Result: "not-prepared", Record: newRecordDocument(result.Record()), Regions: result.Regions(), Nodes: result.Nodes()}
		failed = ErrNotInForce
	}
	return errors.Join(failed, s.print(o, d, result.String()))
}

type bundleStatus struct {
	*session
	output
	Watch    bool          `long:"watch" description:"print again until interrupted"`
	Interval time.Duration `long:"interval" default:"1s" description:"time between prints with --watch"`
}

// statusDocument is the output of bundle status.
type statusDocument struct {
	Accepted   *recordDocument `json:"accepted"`
	Next       *recordDocument `json:"next"`
	Everywhere bool            `json:"everywhere"`
	Nodes      []nodeDocument  `json:"nodes"`
}

type nodeDocument struct {
	Region   string `json:"region"`
	Name     string `json:"name"`
	InForce  uint64 `json:"in_force"`
	Prepared uint64 `json:"prepared"`
	Live     bool   `json:"live"`
}

func (c *bundleStatus) Execute([]string) error {
	if c.Interval <= 0 {
		return &SettingError{setting: "--interval", value: c.Interval.String(), allowed: "a duration above 0, such as 1s"}
	}
	_, r, err := c.roller()
	if err != nil {
		return err
	}
	for {
		status, err := r.Status(c.ctx)
		if c.Watch && c.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := c.printStatus(status); err != nil {
			return err
		}
		if !c.Watch || !c.sleep(c.Interval) {
			return nil
		}
	}
}

func (c *bundleStatus) printStatus(s *roller.Status) error {
	d := statusDocument{
		Accepted: newRecordDocument(s.Accepted()), Next: newRecordDocument(s.Next()),
		Everywhere: s.Converged(), Nodes: []nodeDocument{},
	}
	var text strings.Builder
	if d.Accepted == nil {
		text.WriteString("no bundle is in force")
	} else {
		fmt.Fprintf(&text, "bundle %q of operator %q is in force as epoch %d", d.Accepted.Version, d.Accepted.Operator, d.Accepted.Epoch)
	}
	if n := d.Next; n != nil && n.Stage == bundler.StagePrepared.String() {
		fmt.Fprintf(&text, "\nbundle %q of operator %q is being prepared as epoch %d", n.Version, n.Operator, n.Epoch)
	}
	region := ""
	for _, n := range s.Nodes() {
		d.Nodes = append(d.Nodes, nodeDocument{n.Region(), n.Name(), n.InForce(), n.Prepared(), n.Live()})
		if n.Region() != region {
			region = n.Region()
			fmt.Fprintf(&text, "\nregion %s", region)
		}
		lease := "live"
		if !n.Live() {
			lease = "lease expired"
		}
		fmt.Fprintf(&text, "\n  %s  in force %d  prepared %d  %s", n.Name(), n.InForce(), n.Prepared(), lease)
	}
	return c.print(c.output, d, text.String())
}

type bundleHistory struct {
	*session
	output
	Limit int `long:"limit" default:"20" description:"how many bundles to list, from 1 to 10000"`
}

const maxHistory = 10_000

func (c *bundleHistory) Execute([]string) error {
	if c.Limit < 1 || c.Limit > maxHistory {
		return &SettingError{setting: "--limit", value: fmt.Sprint(c.Limit), allowed: fmt.Sprintf("from 1 to %d", maxHistory)}
	}
	_, r, err := c.roller()
	if err != nil {
		return err
	}
	records, err := r.History(c.ctx, c.Limit)
	if err != nil {
		return err
	}
	documents := []*recordDocument{}
	lines := []string{}
	for _, record := range records {
		documents = append(documents, newRecordDocument(record))
		lines = append(lines, fmt.Sprintf("epoch %d  version %s  operator %s  manifest %s", record.Epoch(), record.Version(), record.Operator(), record.Manifest()))
	}
	if len(lines) == 0 {
		lines = []string{"no bundle was accepted yet"}
	}
	return c.print(c.output, documents, strings.Join(lines, "\n"))
}
