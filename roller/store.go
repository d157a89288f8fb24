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

// Errors of roll-outs.
var (
	// ErrNoVersion reports a version that was never accepted.
	ErrNoVersion = eris.New("version was never accepted")
	// ErrVersionTaken reports a version that was accepted with other content.
	ErrVersionTaken = eris.New("version was accepted with other content")
	// ErrUnknownRegion reports an excluded region that no bundle names.
	ErrUnknownRegion = eris.New("region is not in the bundle")
	// ErrUnknownOutcome reports a write whose effect could not be read back in
	// time.
	ErrUnknownOutcome = eris.New("it is not known whether the bundle is in force; ask for the status")
)

// entry is a row with its record; the record has epoch zero if there is no row.
type entry struct {
	record  bundler.Record
	version storer.Version
}

// read repeats a read for as long as the roller is patient.
func (r *Roller) read(ctx context.Context, key string) (entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.patience)
	defer cancel()
	for {
		e, err := r.readOnce(ctx, key)
		if err == nil || !temporary(err) || r.pause(ctx) != nil {
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

// temporary reports whether a request may succeed when it is sent again.
func temporary(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUncertain)
}

// pause waits before a request is repeated.
func (r *Roller) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", context.Cause(ctx))
	case <-time.After(r.poll):
		return nil
	}
}

// write commits until the outcome is known. Every write is conditional, so that
// a repeated one has no second effect; it then fails with a conflict, and the
// caller reads the row to see whose write it holds.
func (r *Roller) write(ctx context.Context, writes ...storer.Write) error {
	ctx, cancel := context.WithTimeout(ctx, r.patience)
	defer cancel()
	for {
		err := r.table.Commit(ctx, writes...)
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return err
		}
		if !temporary(err) || r.pause(ctx) != nil {
			return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	}
}

func put(key string, record bundler.Record, expected storer.Version) (storer.Put, error) {
	value, err := record.Encode()
	return storer.NewPut(key, value, expected), err
}

// upload stores the parts and the signed manifest and returns the hash of the
// latter. It skips what the bundle before has: objects are never listed, because
// a year of changes leaves millions of them.
func (r *Roller) upload(ctx context.Context, plan Plan, before *bundler.Signed) (bundler.Hash, error) {
	encoded, err := plan.signed.Encode()
	if err != nil {
		return bundler.Hash{}, err
	}
	present := make(map[bundler.Hash]bool)
	if before != nil {
		for _, h := range before.Manifest().Hashes() {
			present[h] = true
		}
	}
	for _, h := range plan.signed.Manifest().Hashes() {
		if present[h] {
			continue
		}
		part, _ := plan.lookup(h) // Open found every part
		if err := r.store(ctx, h, part); err != nil {
			return bundler.Hash{}, err
		}
	}
	hash := bundler.HashOf(encoded)
	return hash, r.store(ctx, hash, encoded)
}

func (r *Roller) store(ctx context.Context, h bundler.Hash, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, r.patience)
	defer cancel()
	for {
		err := r.objects.Put(ctx, h.ObjectKey(), body)
		if err == nil {
			return nil
		}
		if !temporary(err) || r.pause(ctx) != nil {
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

// lookup gives stored parts; a part that cannot be loaded is missing.
func (r *Roller) lookup(ctx context.Context) bundler.Lookup {
	return func(h bundler.Hash) ([]byte, bool) {
		b, err := r.objects.Get(ctx, h.ObjectKey())
		return b, err == nil
	}
}

// InForce returns the record and the document in force; the document is nil
// before the first roll-out.
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
