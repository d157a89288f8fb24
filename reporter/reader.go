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

// Lag is the time between the end of a report and its creation. Within it every
// node has settled its minutes (settleDelay) and written them
// (defaultFlushInterval), with about a minute to spare for a write that had to be
// repeated.
const Lag = 3 * time.Minute

// maxConcurrentReads bounds the objects that are read at a time. The object store
// serves about 2,000 reads per second to the whole deployment.
const maxConcurrentReads = 16

// readAttempts bounds the attempts to read an object that is replaced by newer
// ones in the meantime.
const readAttempts = 3

// Read merges the objects of all nodes into a report that ends Lag before now and
// covers all windows up to longest.
func Read(ctx context.Context, objects storer.Objects, now time.Time, longest Window) (*Report, error) {
	agg := newAggregator(startOfMinute(now.Add(-Lag)), longest)
	keys, err := objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list history: %w", err)
	}
	newest := newestKeys(keys, agg.from, agg.until)
	work := make(chan objectKey)
	var workers sync.WaitGroup
	for range min(maxConcurrentReads, len(newest)) {
		workers.Go(func() {
			for k := range work {
				agg.addObject(k, readObject(ctx, objects, k))
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
	return agg.report(), nil
}

// runKey identifies the objects of one run of a node in one hour, of which only
// the newest is read.
type runKey struct {
	node string
	hour time.Time
	run  string
}

// newestKeys returns the key of the newest object of each run in the hours that
// overlap a time span.
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

// readResult is the contents of an object, or the error of reading it.
type readResult struct {
	region string
	blocks []block
	err    error
}

// readObject reads an object, or the one that has replaced it since the keys were
// listed.
func readObject(ctx context.Context, objects storer.Objects, k objectKey) readResult {
	var body []byte
	var err error
	for range readAttempts {
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
		return readResult{err: fmt.Errorf("read object %q: %w", k.String(), err)}
	}
	region, blocks, err := decodeHour(body, k.hour)
	if err != nil {
		return readResult{err: fmt.Errorf("object %q: %w", k.String(), err)}
	}
	return readResult{region: region, blocks: blocks}
}
