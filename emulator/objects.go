package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Objects is a fake of the object store.
type Objects struct {
	link *link

	mu     sync.Mutex
	bodies map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(opts ...Option) *Objects {
	return &Objects{link: newLink(newSettings(opts)), bodies: make(map[string][]byte)}
}

// Inject adds a fault: Down, Slow or AnswerLost.
func (o *Objects) Inject(f Fault) error {
	switch f.(type) {
	case Down, Slow, AnswerLost:
		o.link.inject(f)
		return nil
	default:
		return &UnsupportedFaultError{fake: "object store", fault: f}
	}
}

// Clear ends all faults.
func (o *Objects) Clear() { o.link.clear() }

// Put stores an object.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	if err := o.link.deliver(ctx); err != nil {
		if o.link.deliveredLate(err) {
			o.put(key, body)
		}
		return fmt.Errorf("put object %q: %w: %w", key, platformWriteError(err), err)
	}
	o.put(key, body)
	if err := o.link.respondToWrite(ctx); err != nil {
		return fmt.Errorf("put object %q: %w: %w", key, storer.ErrUncertain, err)
	}
	return nil
}

func (o *Objects) put(key string, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[key] = slices.Clone(body)
}

// Delete removes an object, if it exists.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := o.link.deliver(ctx); err != nil {
		if o.link.deliveredLate(err) {
			o.remove(key)
		}
		return fmt.Errorf("delete object %q: %w: %w", key, platformWriteError(err), err)
	}
	o.remove(key)
	if err := o.link.respondToWrite(ctx); err != nil {
		return fmt.Errorf("delete object %q: %w: %w", key, storer.ErrUncertain, err)
	}
	return nil
}

func (o *Objects) remove(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, key)
}

// Get returns an object.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.link.deliver(ctx); err != nil {
		return nil, fmt.Errorf("get object %q: %w: %w", key, storer.ErrUnavailable, err)
	}
	o.mu.Lock()
	body, ok := o.bodies[key]
	o.mu.Unlock()
	if err := o.link.respond(ctx); err != nil {
		return nil, fmt.Errorf("get object %q: %w: %w", key, storer.ErrUnavailable, err)
	}
	if !ok {
		return nil, fmt.Errorf("object %q: %w", key, storer.ErrNotFound)
	}
	return slices.Clone(body), nil
}

// List returns the keys under prefix, sorted.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.link.deliver(ctx); err != nil {
		return nil, fmt.Errorf("list objects under %q: %w: %w", prefix, storer.ErrUnavailable, err)
	}
	keys := o.keys(prefix)
	if err := o.link.respond(ctx); err != nil {
		return nil, fmt.Errorf("list objects under %q: %w: %w", prefix, storer.ErrUnavailable, err)
	}
	return keys, nil
}

func (o *Objects) keys(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for k := range o.bodies {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
