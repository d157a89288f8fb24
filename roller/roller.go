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
	defaultPoll = 250 * time.Millisecond
	// defaultPatience is how long nodes may take to prepare a bundle. An empty
	// region of the design target fetches 3.3 MB per node, which takes seconds.
	defaultPatience = 30 * time.Second
)

// Option changes a roller.
type Option func(*Roller)

// WithTimeout sets how long nodes may take to prepare a bundle, and for how long
// a platform request is repeated.
func WithTimeout(d time.Duration) Option { return func(r *Roller) { r.patience = d } }

// WithPollInterval sets the time between looks at the nodes.
func WithPollInterval(d time.Duration) Option { return func(r *Roller) { r.poll = d } }

// Roller rolls bundles out for one operator.
type Roller struct {
	table    storer.Table
	objects  storer.Objects
	nodes    Nodes
	keys     bundler.Keys
	operator string
	poll     time.Duration
	patience time.Duration
}

// New returns a roller.
func New(table storer.Table, objects storer.Objects, nodes Nodes, keys bundler.Keys, operator string, options ...Option) *Roller {
	r := &Roller{
		table: table, objects: objects, nodes: nodes, keys: keys, operator: operator,
		poll: defaultPoll, patience: defaultPatience,
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Plan is what an operator asks for.
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

// Excluding returns the plan without waiting for regions. They keep the bundle
// before until they are in contact again.
func (p Plan) Excluding(regions ...string) Plan {
	p.excluded = regions
	return p
}

// Replacing returns the plan with the right to replace a roll-out that another
// operator has prepared and not finished, for example because the operator's
// process ended.
func (p Plan) Replacing() Plan {
	p.replace = true
	return p
}

// rollout is one run of a plan.
type rollout struct {
	*Roller
	plan    Plan
	regions []string
	own     bundler.Record
	current entry
	next    entry
}

// RollOut puts a bundle in force. An error means that nothing is known to have
// come into force; with ErrUnknownOutcome it may have.
func (r *Roller) RollOut(ctx context.Context, plan Plan) (Result, error) {
	doc, err := plan.signed.Open(r.keys, plan.lookup)
	if err != nil {
		return nil, fmt.Errorf("check bundle: %w", err)
	}
	before, err := r.before(ctx)
	if err != nil {
		return nil, err
	}
	hash, err := r.upload(ctx, plan, before)
	if err != nil {
		return nil, err
	}
	return r.start(ctx, plan, before, doc, hash)
}

// RollBack puts the bundle of an earlier accepted version in force at a new
// epoch. It takes the regions and rights of a plan without a bundle.
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
	before, err := r.before(ctx)
	if err != nil {
		return nil, err
	}
	plan.signed = signed
	return r.start(ctx, plan, before, doc, earlier.record.Bundle())
}

// before returns the signed manifest in force, or nil.
func (r *Roller) before(ctx context.Context) (*bundler.Signed, error) {
	current, err := r.read(ctx, bundler.KeyCurrent)
	if err != nil || current.record.Epoch() == 0 {
		return nil, err
	}
	return r.loadSigned(ctx, current.record.Bundle())
}

func (r *Roller) start(ctx context.Context, plan Plan, before *bundler.Signed, doc *bundler.Document, hash bundler.Hash) (Result, error) {
	o := &rollout{Roller: r, plan: plan}
	o.own = bundler.NewRecord(0, hash, plan.signed.Manifest().Digest(), doc.Version, r.operator, rand.Text(), plan.excluded)
	if err := o.setRegions(ctx, before, doc); err != nil {
		return nil, err
	}
	if _, err := o.versionRow(ctx); err != nil {
		return nil, err
	}
	result, err := o.prepare(ctx)
	if result != nil || err != nil {
		return result, err
	}
	result, err = o.wait(ctx)
	if result != nil || err != nil {
		return result, err
	}
	return o.accept(ctx)
}

func (o *rollout) setRegions(ctx context.Context, before *bundler.Signed, doc *bundler.Document) error {
	o.regions = regionsOf(doc)
	if before != nil {
		old, err := bundler.Head(before.Manifest(), o.lookup(ctx))
		if err != nil {
			return fmt.Errorf("bundle in force: %w", err)
		}
		o.regions = regionsOf(doc, old)
	}
	for _, region := range o.plan.excluded {
		if !slices.Contains(o.regions, region) {
			return fmt.Errorf("excluded region %q, known are %q: %w", region, o.regions, ErrUnknownRegion)
		}
	}
	return nil
}

// versionRow returns the row of the bundle's version.
func (o *rollout) versionRow(ctx context.Context) (entry, error) {
	row, err := o.read(ctx, bundler.VersionKey(o.own.Version()))
	if err != nil {
		return entry{}, err
	}
	if row.record.Epoch() > 0 && row.record.Manifest() != o.own.Manifest() {
		return entry{}, fmt.Errorf("version %q, epoch %d: %w", o.own.Version(), row.record.Epoch(), ErrVersionTaken)
	}
	return row, nil
}

// refresh reads both rows.
func (o *rollout) refresh(ctx context.Context) error {
	var err error
	if o.next, err = o.read(ctx, bundler.KeyNext); err != nil {
		return err
	}
	o.current, err = o.read(ctx, bundler.KeyCurrent)
	return err
}

// prepare writes bundle/next. It returns a result if the roll-out ends here. The
// epoch is above that of every bundle ever prepared, so that an epoch in a
// node's lease row stands for one bundle.
func (o *rollout) prepare(ctx context.Context) (Result, error) {
	if err := o.refresh(ctx); err != nil {
		return nil, err
	}
	if result := o.blocked(); result != nil {
		return result, nil
	}
	if o.resumes() {
		o.own = o.next.record
		return nil, nil
	}
	epoch := max(o.current.record.Epoch(), o.next.record.Epoch()) + 1
	o.own = bundler.NewRecord(epoch, o.own.Bundle(), o.own.Manifest(), o.own.Version(), o.own.Operator(), o.own.Rollout(), o.own.Excluded())
	write, err := put(bundler.KeyNext, o.own, o.next.version)
	if err != nil {
		return nil, err
	}
	if err := o.attempt(ctx, write); err != nil {
		return nil, err
	}
	// The row names this roll-out if the answer to an earlier try was lost.
	if o.next.record.Rollout() != o.own.Rollout() {
		return o.settle(), nil
	}
	return nil, nil
}

// blocked returns why the roll-out cannot start.
func (o *rollout) blocked() Result {
	current, next := o.current.record, o.next.record
	if current.Epoch() > 0 && current.Manifest() == o.own.Manifest() {
		return AlreadyInForce{record: current}
	}
	if o.pending() && !o.mine() && !o.plan.replace {
		return Conflict{winner: next, own: o.own.Version()}
	}
	return nil
}

// pending reports whether a roll-out is prepared and not finished.
func (o *rollout) pending() bool {
	next := o.next.record
	return next.Stage() == bundler.StagePrepared && next.Epoch() > o.current.record.Epoch()
}

// mine reports whether the prepared bundle is the same, by the same operator.
func (o *rollout) mine() bool {
	next := o.next.record
	return next.Manifest() == o.own.Manifest() && next.Operator() == o.own.Operator()
}

// resumes reports whether the prepared roll-out is an earlier run of this one
// that did not finish.
func (o *rollout) resumes() bool {
	return o.pending() && o.mine() && slices.Equal(o.next.record.Excluded(), o.own.Excluded())
}

// winner returns the newest record of another roll-out.
func (o *rollout) winner() bundler.Record {
	if o.next.record.Supersedes(o.current.record) {
		return o.next.record
	}
	return o.current.record
}

// wait returns nil when all nodes that count have prepared the bundle.
func (o *rollout) wait(ctx context.Context) (Result, error) {
	deadline := time.Now().Add(o.patience)
	for {
		nodes, err := o.nodes.List(ctx)
		missing, waiting := pending(nodes, o.regions, o.own.Epoch(), o.plan.excluded)
		if err == nil && len(missing)+len(waiting) == 0 {
			return nil, nil
		}
		if err != nil && !temporary(err) {
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

// attempt writes and reads the rows back. A conflict is no error: the rows say
// who came first.
func (o *rollout) attempt(ctx context.Context, write storer.Write) error {
	if err := o.write(ctx, write); err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	return o.refresh(ctx)
}

// withdraw marks the roll-out as given up, so that nodes drop what they prepared
// and other operators may start.
func (o *rollout) withdraw(ctx context.Context, missing, waiting []string) (Result, error) {
	write, err := put(bundler.KeyNext, o.own.WithStage(bundler.StageWithdrawn), o.next.version)
	if err != nil {
		return nil, err
	}
	if err := o.attempt(ctx, write); err != nil {
		return nil, err
	}
	if o.next.record.Rollout() != o.own.Rollout() || o.next.record.Stage() == bundler.StageAccepted {
		return o.settle(), nil
	}
	return NotPrepared{record: o.next.record, regions: missing, nodes: waiting}, nil
}

// accept puts the bundle in force by one commit. bundle/next changes with
// bundle/current, so that nodes need to poll only one row.
func (o *rollout) accept(ctx context.Context) (Result, error) {
	writes, err := o.acceptance(ctx)
	if err != nil {
		return nil, err
	}
	failed := o.write(ctx, writes...)
	if failed == nil {
		return Accepted{record: o.own.WithStage(bundler.StageAccepted)}, nil
	}
	if !errors.Is(failed, storer.ErrConflict) {
		return nil, failed
	}
	if err := o.refresh(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return o.settle(), nil
}

// settle says how the roll-out ended from the rows that were read back.
func (o *rollout) settle() Result {
	current := o.current.record
	switch {
	case current.Rollout() == o.own.Rollout():
		return Accepted{record: current}
	case current.Epoch() > 0 && current.Manifest() == o.own.Manifest():
		return AlreadyInForce{record: current}
	default:
		return Conflict{winner: o.winner(), own: o.own.Version()}
	}
}

func (o *rollout) acceptance(ctx context.Context) ([]storer.Write, error) {
	taken, err := o.versionRow(ctx)
	if err != nil {
		return nil, err
	}
	accepted := o.own.WithStage(bundler.StageAccepted)
	rows := []struct {
		key      string
		expected storer.Version
	}{
		{bundler.KeyCurrent, o.current.version},
		{bundler.KeyNext, o.next.version},
		{bundler.HistoryKey(accepted.Epoch()), 0},
		{bundler.VersionKey(accepted.Version()), taken.version},
	}
	var writes []storer.Write
	for _, row := range rows {
		write, err := put(row.key, accepted, row.expected)
		if err != nil {
			return nil, err
		}
		writes = append(writes, write)
	}
	return writes, nil
}
