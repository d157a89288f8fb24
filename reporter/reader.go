package reporter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Lag is how far a report ends before it is made. By then every node has settled
// its minutes (settleTime) and written them (defaultFlush), with a minute to
// spare for a write that had to be repeated.
const Lag = 3 * time.Minute

// readers is how many objects are read at a time. The object store serves about
// 2,000 reads per second to the whole deployment.
const readers = 16

// readTries bounds how often an object is looked for that a newer one has
// replaced meanwhile.
const readTries = 3

// Read merges the objects of all nodes into a report that ends Lag before now. It
// covers the windows up to the longest.
func Read(ctx context.Context, objects storer.Objects, now time.Time, longest Window) (*Report, error) {
	h := newHistory(startOfMinute(now.Add(-Lag)), longest)
	keys, err := objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list history: %w", err)
	}
	newest := newestKeys(keys, h.from, h.until)
	work := make(chan objectKey)
	var workers sync.WaitGroup
	for range min(readers, len(newest)) {
		workers.Go(func() {
			for k := range work {
				h.take(k, readObject(ctx, objects, k))
			}
		})
	}
	for _, k := range newest {
		work <- k
	}
	close(work)
	workers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	return h.report(), nil
}

// runKey names the objects of which only the newest counts.
type runKey struct {
	node string
	hour time.Time
	run  string
}

// newestKeys returns the newest object of each run in the hours that overlap a
// time span.
func newestKeys(keys []string, from, until time.Time) []objectKey {
	newest := make(map[runKey]objectKey)
	for _, text := range keys {
		k, ok := parseKey(text)
		if !ok || !k.hour.Before(until) || !k.hour.Add(time.Hour).After(from) {
			continue
		}
		run := runKey{k.node, k.hour, k.run}
		if old, ok := newest[run]; !ok || old.sequence < k.sequence {
			newest[run] = k
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b objectKey) int {
		return strings.Compare(a.String(), b.String())
	})
}

// object is what became of reading one object.
type object struct {
	region string
	blocks []block
	err    error
}

// readObject reads an object, or the one that has replaced it since it was listed.
func readObject(ctx context.Context, objects storer.Objects, k objectKey) object {
	var body []byte
	var err error
	for range readTries {
		body, err = objects.Get(ctx, k.String())
		if !errors.Is(err, storer.ErrNotFound) {
			break
		}
		var keys []string
		if keys, err = objects.List(ctx, strings.TrimSuffix(k.String(), fmt.Sprintf("%06d", k.sequence))); err != nil {
			break
		}
		err = storer.ErrNotFound
		if next := newestKeys(keys, k.hour, k.hour.Add(time.Hour)); len(next) == 1 {
			k = next[0]
		}
	}
	if err != nil {
		return object{err: fmt.Errorf("read object %q: %w", k.String(), err)}
	}
	region, blocks, err := decodeHour(body, k.hour)
	if err != nil {
		return object{err: fmt.Errorf("object %q: %w", k.String(), err)}
	}
	return object{region: region, blocks: blocks}
}
