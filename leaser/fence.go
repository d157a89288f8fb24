package leaser

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Errors of Fence.
var (
	// ErrNotOwner is returned for an engine that the node does not own.
	ErrNotOwner = eris.New("the node does not own the engine")
	// ErrExpired is returned when the node's lease has ended.
	ErrExpired = eris.New("the lease has ended")
)

// ownership is an immutable snapshot of the engines that the node owns and of
// how long its lease is valid.
type ownership struct {
	validUntil time.Time        // end of the lease including extensions
	leaseEnd   time.Time        // end of the lease in the table
	owned      map[string]Entry // by engine name
	entries    []Entry          // the same, sorted by engine name
}

// Fence returns the fencing token for orders to an engine and how long it is
// valid. It takes no lock.
func (l *Leaser) Fence(engine string) (connector.Fence, error) {
	o := l.ownership.Load()
	e, ok := o.owned[engine]
	if !ok {
		return connector.Fence{}, fmt.Errorf("engine %q: %w", engine, ErrNotOwner)
	}
	if !time.Now().Before(o.validUntil) {
		return connector.Fence{}, fmt.Errorf("engine %q: %w", engine, ErrExpired)
	}
	return connector.NewFence(e.token, o.validUntil), nil
}

// LeaseValid reports whether the node's lease in the table is valid by the node's
// own clock. While it is, no other node treats this one as gone.
func (l *Leaser) LeaseValid() bool { return time.Now().Before(l.ownership.Load().leaseEnd) }

// LeaseEnd returns the end of the lease in the table by the node's own clock.
// No other node treats it as expired before then. Extensions by peers are
// not included.
func (l *Leaser) LeaseEnd() time.Time { return l.ownership.Load().leaseEnd }

// Owned returns the engines assigned to the node, sorted by name. The slice
// must not be modified.
func (l *Leaser) Owned() []Entry { return l.ownership.Load().entries }

// Changed returns a channel that receives a value after Owned has changed.
func (l *Leaser) Changed() <-chan struct{} { return l.changed }

// EngineLease is the lease of one engine.
type EngineLease struct {
	leaser *Leaser
	engine string
}

// Engine returns the lease of an engine. The node need not own it.
func (l *Leaser) Engine(name string) EngineLease { return EngineLease{leaser: l, engine: name} }

// Fence returns the fencing token for orders to the engine, or an error if the
// node does not own the engine at the moment.
func (e EngineLease) Fence() (connector.Fence, error) { return e.leaser.Fence(e.engine) }
