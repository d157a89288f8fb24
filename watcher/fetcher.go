package watcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/validator"
)

const (
	maxParallelFetches = 8       // a node with an empty cache fetches 257 parts
	peerAttempts       = 3       // requests to peers for one part
	maxContent         = 4 << 20 // bytes; a part of a bundle at the design target has 12 kB
)

// ErrTampered reports content that does not match its hash.
var ErrTampered = eris.New("content from a peer or the object store does not match its hash")

// FetchError reports content that could not be fetched. It may become available
// later.
type FetchError struct {
	hash bundler.Hash
	err  error
}

// Hash returns the hash of the missing content.
func (e *FetchError) Hash() bundler.Hash { return e.hash }

func (e *FetchError) Error() string {
	return fmt.Sprintf("fetch content %s: %v", e.hash, e.err)
}

func (e *FetchError) Unwrap() error { return e.err }

// cache stores content by hash.
type cache struct {
	mu      sync.RWMutex
	content map[bundler.Hash][]byte
}

func (c *cache) get(h bundler.Hash) ([]byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	b, ok := c.content[h]
	return b, ok
}

func (c *cache) put(h bundler.Hash, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.content[h] = b
}

// retain evicts all content that is not wanted. This bounds the cache to the bundle
// in force and the prepared one.
func (c *cache) retain(wanted map[bundler.Hash]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.content {
		if !wanted[h] {
			delete(c.content, h)
		}
	}
}

// fetcher fetches the content of a record and returns it as a candidate bundle.
type fetcher struct {
	cache    *cache
	objects  storer.Objects
	peers    Peers
	bundles  *publisher.Publisher
	timeout  time.Duration
	tampered atomic.Int64
	// storeDown is set after a failure of the object store. Content is then
	// requested from peers first, so that a node with an empty cache does not wait
	// for a timeout per part.
	storeDown atomic.Bool
}

// Apply fetches the signed manifest and all parts that are not in the cache.
func (f *fetcher) Apply(ctx context.Context, r bundler.Record) (*validator.Candidate, error) {
	encoded, err := f.get(ctx, r.Bundle())
	if err != nil {
		return nil, err
	}
	signed, err := bundler.DecodeSigned(encoded)
	if err != nil {
		return nil, fmt.Errorf("bundle at epoch %d: %w", r.Epoch(), err)
	}
	if digest := signed.Manifest().Digest(); digest != r.Manifest() {
		return nil, fmt.Errorf("bundle at epoch %d has manifest %s, but its record has %s: %w", r.Epoch(), digest, r.Manifest(), bundler.ErrHash)
	}
	if err := f.getAll(ctx, signed.Manifest().Hashes()); err != nil {
		return nil, err
	}
	state := f.bundles.Load()
	previous := state.Prepared()
	if previous == nil {
		previous = state.Current()
	}
	return validator.NewCandidate(r.Epoch(), r.Stage() == bundler.StageAccepted, signed, f.cache.get, previous), nil
}

// getAll fetches content in parallel. The first failure cancels the other fetches.
func (f *fetcher) getAll(ctx context.Context, hashes []bundler.Hash) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	work := make(chan bundler.Hash)
	var group sync.WaitGroup
	for range maxParallelFetches {
		group.Go(func() {
			for h := range work {
				if _, err := f.get(ctx, h); err != nil {
					cancel(err)
				}
			}
		})
	}
	for _, h := range hashes {
		if _, ok := f.cache.get(h); ok {
			continue
		}
		select {
		case work <- h:
		case <-ctx.Done():
		}
	}
	close(work)
	group.Wait()
	return context.Cause(ctx)
}

// get returns content from the cache, the object store or a peer. The object store
// comes before the peers unless it failed recently.
func (f *fetcher) get(ctx context.Context, h bundler.Hash) ([]byte, error) {
	if b, ok := f.cache.get(h); ok {
		return b, nil
	}
	order := []func(context.Context, bundler.Hash) ([]byte, error){f.fromStore, f.fromPeers}
	if f.storeDown.Load() {
		order[0], order[1] = order[1], order[0]
	}
	var errs []error
	for _, from := range order {
		if ctx.Err() != nil {
			errs = append(errs, ctx.Err())
			break
		}
		b, err := from(ctx, h)
		if err == nil {
			f.cache.put(h, b)
			return b, nil
		}
		errs = append(errs, err)
	}
	return nil, &FetchError{hash: h, err: errors.Join(errs...)}
}

func (f *fetcher) fromStore(ctx context.Context, h bundler.Hash) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	b, err := f.objects.Get(ctx, h.ObjectKey())
	if err != nil {
		if !errors.Is(err, storer.ErrNotFound) {
			f.storeDown.Store(true)
		}
		return nil, fmt.Errorf("object store: %w", err)
	}
	return f.verify(h, b)
}

func (f *fetcher) fromPeers(ctx context.Context, h bundler.Hash) ([]byte, error) {
	var lastErr error
	for range peerAttempts {
		b, err := f.fromPeer(ctx, h)
		if err == nil {
			return b, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (f *fetcher) fromPeer(ctx context.Context, h bundler.Hash) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	b, err := f.peers.Part(ctx, h)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return f.verify(h, b)
}

func (f *fetcher) verify(h bundler.Hash, b []byte) ([]byte, error) {
	if len(b) > maxContent || bundler.HashOf(b) != h {
		f.tampered.Add(1)
		return nil, ErrTampered
	}
	return b, nil
}
