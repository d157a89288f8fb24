package validator

import (
	"context"
	"fmt"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Candidate is a signed bundle with the epoch that the table gives it.
type Candidate struct {
	epoch  uint64
	signed *bundler.Signed
}

// NewCandidate returns a candidate.
func NewCandidate(epoch uint64, signed *bundler.Signed) *Candidate {
	return &Candidate{epoch: epoch, signed: signed}
}

// Validator is the second stage of the control pipeline.
type Validator struct {
	keys bundler.Keys
}

// New returns a validator that trusts keys.
func New(keys bundler.Keys) *Validator { return &Validator{keys: keys} }

// Apply verifies a candidate and builds its snapshot.
func (v *Validator) Apply(_ context.Context, c *Candidate) (*bundler.Snapshot, error) {
	doc, err := c.signed.Verify(v.keys)
	if err != nil {
		return nil, fmt.Errorf("verify bundle at epoch %d: %w", c.epoch, err)
	}
	return bundler.NewSnapshot(c.epoch, doc), nil
}
