package leaser

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Errors of Fence.
var (
	// ErrNotOwner reports an engine that the node does not own.
	ErrNotOwner = eris.New("the node does not own the engine")
	// ErrExpired reports that the node's lease has ended.
	ErrExpired = eris.New("the lease has ended")
)

// right is what the node may do and until when. It never changes.
type right struct {
	until time.Time // end of the lease with its extensions
	lease time.Time // end of the lease in the table
	owned map[string]Entry
	list  []Entry // by engine name
}

// Fence returns the right to order an engine. It takes no lock.
func (l *Leaser) Fence(engine string) (connector.Fence, error) {
	r := l.right.Load()
	e, ok := r.owned[engine]
	if !ok {
		return connector.Fence{}, fmt.Errorf("engine %q: %w", engine, ErrNotOwner)
	}
	if !time.Now().Before(r.until) {
		return connector.Fence{}, fmt.Errorf("engine %q: %w", engine, ErrExpired)
	}
	return connector.NewFence(e.token, r.until), nil
}

// LeaseValid reports whether the node's lease in the table is valid by the node's
// own clock. While it is, no other node treats this one as gone.
func (l *Leaser) LeaseValid() bool { return time.Now().Before(l.right.Load().lease) }

// LeaseEnd returns the end of the lease in the table by the node's own clock. No
// other node sees this one as gone before it. Extensions by peers do not count.
func (l *Leaser) LeaseEnd() time.Time { return l.right.Load().lease }

// Owned returns the engines that the assignment gives to the node, by name. The
// slice must not be changed.
func (l *Leaser) Owned() []Entry { return l.right.Load().list }

// Changed receives a value after Owned has changed.
func (l *Leaser) Changed() <-chan struct{} { return l.changed }

// EngineLease is the lease of one engine.
type EngineLease struct {
	leaser *Leaser
	engine string
}

// Engine returns the lease of an engine, whether the node owns it or not.
func (l *Leaser) Engine(name string) EngineLease { return EngineLease{leaser: l, engine: name} }

// Fence returns the right to order the engine, or an error when the node does not
// own it at this moment.
func (e EngineLease) Fence() (connector.Fence, error) { return e.leaser.Fence(e.engine) }
