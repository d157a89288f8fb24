package validator

import (
	"context"
	"fmt"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Candidate is a signed bundle together with its epoch in the table.
type Candidate struct {
	epoch    uint64
	accepted bool
	signed   *bundler.Signed
	lookup   bundler.Lookup
	previous *bundler.Snapshot
}

// NewCandidate returns a Candidate whose parts are read with lookup. The
// snapshot built from it shares unchanged parts with previous, which may be
// nil.
func NewCandidate(epoch uint64, accepted bool, signed *bundler.Signed, lookup bundler.Lookup, previous *bundler.Snapshot) *Candidate {
	return &Candidate{epoch: epoch, accepted: accepted, signed: signed, lookup: lookup, previous: previous}
}

// Epoch returns the epoch of the candidate.
func (c *Candidate) Epoch() uint64 { return c.epoch }

// Accepted reports whether the candidate was accepted. Otherwise it is only
// prepared.
func (c *Candidate) Accepted() bool { return c.accepted }

// Verified is a Candidate that passed all checks, with its snapshot.
type Verified struct {
	*Candidate
	snapshot *bundler.Snapshot
}

// Snapshot returns the bundle in the form that requests use.
func (v *Verified) Snapshot() *bundler.Snapshot { return v.snapshot }

// Validator is the second stage of the control pipeline.
type Validator struct {
	keys bundler.Keys
}

// New returns a Validator that trusts keys.
func New(keys bundler.Keys) *Validator { return &Validator{keys: keys} }

// Apply verifies the signatures, the parts and the document, and builds the
// snapshot.
func (v *Validator) Apply(_ context.Context, c *Candidate) (*Verified, error) {
	if err := c.signed.Verify(v.keys); err != nil {
		return nil, fmt.Errorf("verify bundle at epoch %d: %w", c.epoch, err)
	}
	snapshot, err := bundler.Rebuild(c.previous, c.epoch, c.signed.Manifest(), c.lookup)
	if err != nil {
		return nil, fmt.Errorf("build bundle at epoch %d: %w", c.epoch, err)
	}
	return &Verified{Candidate: c, snapshot: snapshot}, nil
}
