package roller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Errors returned by a Roller.
var (
	// ErrNoVersion is returned for a rollback to a version that was never
	// accepted.
	ErrNoVersion = eris.New("version was never accepted")
	// ErrVersionTaken is returned if a bundle's version was already accepted
	// with different content.
	ErrVersionTaken = eris.New("version was already accepted with different content")
	// ErrUnknownRegion is returned if an excluded region is neither in the new
	// bundle nor in the one in force.
	ErrUnknownRegion = eris.New("region is neither in the new bundle nor in the one in force")
	// ErrUnknownOutcome is returned if it could not be confirmed in time
	// whether a write was applied.
	ErrUnknownOutcome = eris.New("roll-out outcome unknown, the bundle may be in force; check the bundle status")
)

// entry is a decoded row. The record has epoch zero if the row does not exist.
type entry struct {
	record  bundler.Record
	version storer.Version
}

// read reads a row and retries until the timeout.
func (r *Roller) read(ctx context.Context, key string) (entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for {
		e, err := r.readOnce(ctx, key)
		if err == nil || !retryable(err) || r.pause(ctx) != nil {
			return e, err
		}
	}
}

func (r *Roller) readOnce(ctx context.Context, key string) (entry, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return entry{}, nil
	}
	if err != nil {
		return entry{}, fmt.Errorf("read row %q: %w", key, err)
	}
	record, err := bundler.DecodeRecord(row.Value())
	return entry{record: record, version: row.Version()}, err
}

// retryable reports whether a request that failed with err may succeed on a
// retry.
func retryable(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUncertain)
}

// pause waits for the poll interval.
func (r *Roller) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", context.Cause(ctx))
	case <-time.After(r.pollInterval):
		return nil
	}
}

// write commits and retries until the outcome is known. Every write is
// conditional, so that a retry after an applied commit has no second effect: it
// fails with a conflict, and the caller reads the row to find out whose write
// succeeded.
func (r *Roller) write(ctx context.Context, writes ...storer.Write) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for {
		err := r.table.Commit(ctx, writes...)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return err
		}
		if !retryable(err) || r.pause(ctx) != nil {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	}
}

func putRecord(key string, record bundler.Record, expected storer.Version) (storer.Put, error) {
	value, err := record.Encode()
	return storer.NewPut(key, value, expected), err
}

// upload stores the parts and the signed manifest as objects and returns the
// hash of the signed manifest. It skips the parts of the previous bundle. It
// does not list the stored objects, because a year of changes leaves millions
// of them.
func (r *Roller) upload(ctx context.Context, plan Plan, previous *bundler.Signed) (bundler.Hash, error) {
	encoded, err := plan.signed.Encode()
	if err != nil {
		return bundler.Hash{}, err
	}
	present := make(map[bundler.Hash]bool)
	if previous != nil {
		for _, h := range previous.Manifest().Hashes() {
			present[h] = true
		}
	}
	for _, h := range plan.signed.Manifest().Hashes() {
		if present[h] {
			continue
		}
		part, _ := plan.lookup(h) // present: Open has looked up every part
		if err := r.putObject(ctx, h, part); err != nil {
			return bundler.Hash{}, err
		}
	}
	hash := bundler.HashOf(encoded)
	return hash, r.putObject(ctx, hash, encoded)
}

func (r *Roller) putObject(ctx context.Context, h bundler.Hash, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	for {
		err := r.objects.Put(ctx, h.ObjectKey(), body)
		if err == nil {
			return nil
		}
		if !retryable(err) || r.pause(ctx) != nil {
			return fmt.Errorf("store object %q: %w", h.ObjectKey(), err)
		}
	}
}

func (r *Roller) loadSigned(ctx context.Context, bundle bundler.Hash) (*bundler.Signed, error) {
	encoded, err := r.objects.Get(ctx, bundle.ObjectKey())
	if err != nil {
		return nil, fmt.Errorf("load bundle %s: %w", bundle, err)
	}
	if bundler.HashOf(encoded) != bundle {
		return nil, fmt.Errorf("bundle %s: %w", bundle, bundler.ErrHash)
	}
	return bundler.DecodeSigned(encoded)
}

// lookup returns a Lookup that reads parts from the object store. A part that
// cannot be read counts as missing.
func (r *Roller) lookup(ctx context.Context) bundler.Lookup {
	return func(h bundler.Hash) ([]byte, bool) {
		b, err := r.objects.Get(ctx, h.ObjectKey())
		return b, err == nil
	}
}

// InForce returns the record and the document of the bundle in force. The
// document is nil before the first roll-out.
func (r *Roller) InForce(ctx context.Context) (bundler.Record, *bundler.Document, error) {
	current, err := r.read(ctx, bundler.KeyCurrent)
	if err != nil || current.record.Epoch() == 0 {
		return current.record, nil, err
	}
	signed, err := r.loadSigned(ctx, current.record.Bundle())
	if err != nil {
		return current.record, nil, err
	}
	doc, err := bundler.Join(signed.Manifest(), r.lookup(ctx))
	return current.record, doc, err
}
