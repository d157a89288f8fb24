package validator

import (
	"context"
	"fmt"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Candidate is a signed bundle with the epoch that the table gives it.
type Candidate struct {
	epoch    uint64
	accepted bool
	signed   *bundler.Signed
	lookup   bundler.Lookup
	previous *bundler.Snapshot
}

// NewCandidate returns a candidate whose parts come from lookup. The snapshot
// shares unchanged parts with previous, which may be nil.
func NewCandidate(epoch uint64, accepted bool, signed *bundler.Signed, lookup bundler.Lookup, previous *bundler.Snapshot) *Candidate {
	return &Candidate{epoch: epoch, accepted: accepted, signed: signed, lookup: lookup, previous: previous}
}

// Epoch returns the epoch of the candidate.
func (c *Candidate) Epoch() uint64 { return c.epoch }

// Accepted reports whether the candidate is in force; otherwise it is prepared.
func (c *Candidate) Accepted() bool { return c.accepted }

// Verified is a candidate that may come into force.
type Verified struct {
	*Candidate
	snapshot *bundler.Snapshot
}

// Snapshot returns the bundle in the form that requests read.
func (v *Verified) Snapshot() *bundler.Snapshot { return v.snapshot }

// Validator is the second stage of the control pipeline.
type Validator struct {
	keys bundler.Keys
}

// New returns a validator that trusts keys.
func New(keys bundler.Keys) *Validator { return &Validator{keys: keys} }

// Apply verifies signatures, parts and the document, and builds the snapshot.
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
