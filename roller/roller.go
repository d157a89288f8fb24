package roller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	defaultPollInterval = 250 * time.Millisecond
	// defaultTimeout bounds the preparation of a bundle by the nodes. At the
	// target scale of the design, the nodes of an empty region fetch 3.3 MB
	// each, which takes seconds.
	defaultTimeout = 30 * time.Second
)

// Option configures a Roller.
type Option func(*Roller)

// WithTimeout sets how long nodes may take to prepare a bundle, and for how
// long a failed request to the table or the object store is retried.
func WithTimeout(d time.Duration) Option { return func(r *Roller) { r.timeout = d } }

// WithPollInterval sets the time between two reads of the list of nodes, and
// between two attempts of a request.
func WithPollInterval(d time.Duration) Option { return func(r *Roller) { r.pollInterval = d } }

// Roller rolls bundles out for one operator.
type Roller struct {
	table        storer.Table
	objects      storer.Objects
	nodes        Nodes
	keys         bundler.Keys
	operator     string
	pollInterval time.Duration
	timeout      time.Duration
}

// New returns a Roller that acts for operator and trusts keys.
func New(table storer.Table, objects storer.Objects, nodes Nodes, keys bundler.Keys, operator string, options ...Option) *Roller {
	r := &Roller{
		table: table, objects: objects, nodes: nodes, keys: keys, operator: operator,
		pollInterval: defaultPollInterval, timeout: defaultTimeout,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Plan describes a roll-out that an operator requests.
type Plan struct {
	signed   *bundler.Signed
	lookup   bundler.Lookup
	excluded []string
	replace  bool
}

// NewPlan returns a plan to put a signed bundle in force.
func NewPlan(signed *bundler.Signed, lookup bundler.Lookup) Plan {
	return Plan{signed: signed, lookup: lookup}
}

// Excluding returns a copy of the plan that does not wait for the given
// regions. They keep the previous bundle until they are connected again.
func (p Plan) Excluding(regions ...string) Plan {
	p.excluded = regions
	return p
}

// Replacing returns a copy of the plan that may replace a roll-out that another
// operator has prepared but not finished, for example because the operator's
// process ended.
func (p Plan) Replacing() Plan {
	p.replace = true
	return p
}

// rollout is one execution of a plan.
type rollout struct {
	*Roller
	plan    Plan
	regions []string       // of the new bundle and of the one in force
	record  bundler.Record // of this roll-out
	current entry          // row bundle/current as last read
	next    entry          // row bundle/next as last read
}

// RollOut puts a bundle in force. An error means that this roll-out did not put
// it in force, except for ErrUnknownOutcome, after which the bundle may be in
// force.
func (r *Roller) RollOut(ctx context.Context, plan Plan) (Result, error) {
	doc, err := plan.signed.Open(r.keys, plan.lookup)
	if err != nil {
		return nil, fmt.Errorf("check bundle: %w", err)
	}
	previous, err := r.signedInForce(ctx)
	if err != nil {
		return nil, err
	}
	hash, err := r.upload(ctx, plan, previous)
	if err != nil {
		return nil, err
	}
	return r.run(ctx, plan, previous, doc, hash)
}

// RollBack puts the bundle of an earlier accepted version in force at a new
// epoch. It uses the excluded regions and the replace option of plan and
// ignores its bundle.
func (r *Roller) RollBack(ctx context.Context, version string, plan Plan) (Result, error) {
	earlier, err := r.read(ctx, bundler.VersionKey(version))
	if err != nil {
		return nil, err
	}
	if earlier.record.Epoch() == 0 {
		return nil, fmt.Errorf("version %q: %w", version, ErrNoVersion)
	}
	signed, err := r.loadSigned(ctx, earlier.record.Bundle())
	if err != nil {
		return nil, err
	}
	if err := signed.Verify(r.keys); err != nil {
		return nil, fmt.Errorf("check bundle: %w", err)
	}
	// The nodes check the parts again; only the regions are needed here.
	doc, err := bundler.Head(signed.Manifest(), r.lookup(ctx))
	if err != nil {
		return nil, fmt.Errorf("version %q: %w", version, err)
	}
	previous, err := r.signedInForce(ctx)
	if err != nil {
		return nil, err
	}
	plan.signed = signed
	return r.run(ctx, plan, previous, doc, earlier.record.Bundle())
}

// signedInForce returns the signed manifest in force, or nil if there is none.
func (r *Roller) signedInForce(ctx context.Context) (*bundler.Signed, error) {
	current, err := r.read(ctx, bundler.KeyCurrent)
	if err != nil || current.record.Epoch() == 0 {
		return nil, err
	}
	return r.loadSigned(ctx, current.record.Bundle())
}

func (r *Roller) run(ctx context.Context, plan Plan, previous *bundler.Signed, doc *bundler.Document, hash bundler.Hash) (Result, error) {
	o := &rollout{Roller: r, plan: plan}
	o.record = bundler.NewRecord(0, hash, plan.signed.Manifest().Digest(), doc.Version, r.operator, rand.Text(), plan.excluded)
	if err := o.setRegions(ctx, previous, doc); err != nil {
		return nil, err
	}
	if _, err := o.versionRow(ctx); err != nil {
		return nil, err
	}
	result, err := o.prepare(ctx)
	if result != nil || err != nil {
		return result, err
	}
	result, err = o.waitPrepared(ctx)
	if result != nil || err != nil {
		return result, err
	}
	return o.accept(ctx)
}

func (o *rollout) setRegions(ctx context.Context, previous *bundler.Signed, doc *bundler.Document) error {
	o.regions = regionsOf(doc)
	if previous != nil {
		previousDoc, err := bundler.Head(previous.Manifest(), o.lookup(ctx))
		if err != nil {
			return fmt.Errorf("bundle in force: %w", err)
		}
		o.regions = regionsOf(doc, previousDoc)
	}
	for _, region := range o.plan.excluded {
		if !slices.Contains(o.regions, region) {
			return fmt.Errorf("excluded region %q (known regions: %q): %w", region, o.regions, ErrUnknownRegion)
		}
	}
	return nil
}

// versionRow returns the row of the bundle's version. It fails if the version
// was accepted with another manifest.
func (o *rollout) versionRow(ctx context.Context) (entry, error) {
	row, err := o.read(ctx, bundler.VersionKey(o.record.Version()))
	if err != nil {
		return entry{}, err
	}
	if row.record.Epoch() > 0 && row.record.Manifest() != o.record.Manifest() {
		return entry{}, fmt.Errorf("version %q, epoch %d: %w", o.record.Version(), row.record.Epoch(), ErrVersionTaken)
	}
	return row, nil
}

// refresh reads the rows bundle/next and bundle/current.
func (o *rollout) refresh(ctx context.Context) error {
	var err error
	if o.next, err = o.read(ctx, bundler.KeyNext); err != nil {
		return err
	}
	o.current, err = o.read(ctx, bundler.KeyCurrent)
	return err
}

// prepare writes the row bundle/next, or adopts the record of an earlier run
// that did not finish. It returns a non-nil result if the roll-out ends here.
// The new epoch is higher than that of every bundle prepared so far, so that
// the epoch in a node's lease row identifies exactly one bundle.
func (o *rollout) prepare(ctx context.Context) (Result, error) {
	if err := o.refresh(ctx); err != nil {
		return nil, err
	}
	if result := o.blocked(); result != nil {
		return result, nil
	}
	if o.canResume() {
		o.record = o.next.record
		return nil, nil
	}
	epoch := max(o.current.record.Epoch(), o.next.record.Epoch()) + 1
	o.record = bundler.NewRecord(epoch, o.record.Bundle(), o.record.Manifest(), o.record.Version(), o.record.Operator(), o.record.Rollout(), o.record.Excluded())
	write, err := putRecord(bundler.KeyNext, o.record, o.next.version)
	if err != nil {
		return nil, err
	}
	if err := o.commitAndRefresh(ctx, write); err != nil {
		return nil, err
	}
	// The row also holds this roll-out if an earlier attempt succeeded and its
	// response was lost.
	if o.next.record.Rollout() != o.record.Rollout() {
		return o.outcome(), nil
	}
	return nil, nil
}

// blocked returns the result of a roll-out that cannot start, or nil.
func (o *rollout) blocked() Result {
	current, next := o.current.record, o.next.record
	if current.Epoch() > 0 && current.Manifest() == o.record.Manifest() {
		return AlreadyInForce{record: current}
	}
	if o.pending() && !o.matchesPrepared() && !o.plan.replace {
		return Conflict{other: next, version: o.record.Version()}
	}
	return nil
}

// pending reports whether bundle/next holds a roll-out that is prepared but
// neither accepted nor withdrawn.
func (o *rollout) pending() bool {
	next := o.next.record
	return next.Stage() == bundler.StagePrepared && next.Epoch() > o.current.record.Epoch()
}

// matchesPrepared reports whether bundle/next holds the same bundle by the same
// operator as this roll-out.
func (o *rollout) matchesPrepared() bool {
	next := o.next.record
	return next.Manifest() == o.record.Manifest() && next.Operator() == o.record.Operator()
}

// canResume reports whether bundle/next holds an earlier, unfinished run of
// this roll-out.
func (o *rollout) canResume() bool {
	return o.pending() && o.matchesPrepared() && slices.Equal(o.next.record.Excluded(), o.record.Excluded())
}

// newestRecord returns the newer of the records in bundle/next and
// bundle/current.
func (o *rollout) newestRecord() bundler.Record {
	if o.next.record.Supersedes(o.current.record) {
		return o.next.record
	}
	return o.current.record
}

// waitPrepared waits until every live node outside the excluded regions has
// prepared the bundle and every other region has a live node; it then returns a
// nil result. After the timeout it withdraws the roll-out.
func (o *rollout) waitPrepared(ctx context.Context) (Result, error) {
	deadline := time.Now().Add(o.timeout)
	for {
		nodes, err := o.nodes.List(ctx)
		missing, waiting := unprepared(nodes, o.regions, o.record.Epoch(), o.plan.excluded)
		if err == nil && len(missing)+len(waiting) == 0 {
			return nil, nil
		}
		if err != nil && !retryable(err) {
			return nil, fmt.Errorf("list nodes: %w", err)
		}
		if time.Now().After(deadline) {
			return o.withdraw(ctx, missing, waiting)
		}
		if err := o.pause(ctx); err != nil {
			return nil, err
		}
	}
}

// commitAndRefresh commits a write and reads the rows back. A conflict is not
// an error: the caller finds the roll-out that committed first in the rows.
func (o *rollout) commitAndRefresh(ctx context.Context, write storer.Write) error {
	if err := o.write(ctx, write); err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	return o.refresh(ctx)
}

// withdraw marks the roll-out as withdrawn, so that nodes discard the prepared
// bundle and other operators can start a roll-out.
func (o *rollout) withdraw(ctx context.Context, missing, waiting []string) (Result, error) {
	write, err := putRecord(bundler.KeyNext, o.record.WithStage(bundler.StageWithdrawn), o.next.version)
	if err != nil {
		return nil, err
	}
	if err := o.commitAndRefresh(ctx, write); err != nil {
		return nil, err
	}
	if o.next.record.Rollout() != o.record.Rollout() || o.next.record.Stage() == bundler.StageAccepted {
		return o.outcome(), nil
	}
	return NotPrepared{record: o.next.record, regions: missing, nodes: waiting}, nil
}

// accept puts the bundle in force with a single commit. The commit changes
// bundle/next together with bundle/current, so that nodes need to poll only one
// row.
func (o *rollout) accept(ctx context.Context) (Result, error) {
	writes, err := o.acceptWrites(ctx)
	if err != nil {
		return nil, err
	}
	writeErr := o.write(ctx, writes...)
	if writeErr == nil {
		return Accepted{record: o.record.WithStage(bundler.StageAccepted)}, nil
	}
	if !errors.Is(writeErr, storer.ErrConflict) {
		return nil, writeErr
	}
	if err := o.refresh(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return o.outcome(), nil
}

// outcome derives the result of the roll-out from the rows as last read.
func (o *rollout) outcome() Result {
	current := o.current.record
	switch {
	case current.Rollout() == o.record.Rollout():
		return Accepted{record: current}
	case current.Epoch() > 0 && current.Manifest() == o.record.Manifest():
		return AlreadyInForce{record: current}
	default:
		return Conflict{other: o.newestRecord(), version: o.record.Version()}
	}
}

// acceptWrites returns the writes of the commit that accepts the bundle.
func (o *rollout) acceptWrites(ctx context.Context) ([]storer.Write, error) {
	versionRow, err := o.versionRow(ctx)
	if err != nil {
		return nil, err
	}
	accepted := o.record.WithStage(bundler.StageAccepted)
	rows := []struct {
		key      string
		expected storer.Version
	}{
		{bundler.KeyCurrent, o.current.version},
		{bundler.KeyNext, o.next.version},
		{bundler.HistoryKey(accepted.Epoch()), 0},
		{bundler.VersionKey(accepted.Version()), versionRow.version},
	}
	var writes []storer.Write
	for _, row := range rows {
		write, err := putRecord(row.key, accepted, row.expected)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}
