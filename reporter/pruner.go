package reporter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Deleter is an object store that can delete objects. In other stores expired
// history remains; it does not affect reports, which read only the hours they
// cover.
type Deleter interface {
	Delete(ctx context.Context, key string) error
}

// ErrNoDelete reports an object store that cannot delete objects.
var ErrNoDelete = eris.New("the object store cannot delete objects")

// PruneAll deletes the objects of all nodes whose hour ended before a time, also
// of nodes that no longer exist.
func PruneAll(ctx context.Context, objects storer.Objects, before time.Time) (int, error) {
	if _, ok := objects.(Deleter); !ok {
		return 0, ErrNoDelete
	}
	return Prune(ctx, objects, prefix, before)
}

// Prune deletes the objects under a prefix whose hour ended before a time, and
// returns their number. It does nothing if the store cannot delete objects.
func Prune(ctx context.Context, objects storer.Objects, prefix string, before time.Time) (int, error) {
	d, ok := objects.(Deleter)
	if !ok {
		return 0, nil
	}
	keys, err := objects.List(ctx, prefix)
	if err != nil {
		return 0, fmt.Errorf("list history: %w", err)
	}
	removed := 0
	for _, text := range keys {
		k, ok := parseKey(text)
		if !ok || k.hour.Add(time.Hour).After(before) {
			continue
		}
		if err := d.Delete(ctx, text); err != nil && !errors.Is(err, storer.ErrNotFound) {
			return removed, fmt.Errorf("delete expired history: %w", err)
		}
		removed++
	}
	return removed, nil
}
