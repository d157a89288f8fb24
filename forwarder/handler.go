package forwarder

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Handler is what a node answers to its peers.
type Handler interface {
	// Run starts a job on an engine that the node owns.
	Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error)
	// State returns the views of engines that changed after a version. Version 0
	// asks for all.
	State(ctx context.Context, since uint64) (State, error)
	// Extend asks the node to confirm an outage of the table to a member of its
	// data centre; from is that member.
	Extend(ctx context.Context, from string) (Extension, error)
	// ReleaseEngine asks a previous owner to give an engine up to the holder of a fencing
	// token, and returns what its requests still use there.
	ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error)
	// LatestBundles returns what the node knows of bundles, in the watcher's encoding.
	LatestBundles(ctx context.Context) ([]byte, error)
	// BundlePart returns bundle content by its SHA-256, or storer.ErrNotFound.
	BundlePart(ctx context.Context, hash []byte) ([]byte, error)
	// ApplyMarks tells of requests that crashed endpoints, in the breaker's encoding.
	ApplyMarks(ctx context.Context, marks []byte) error
}

// Peer is another node.
type Peer interface {
	Handler
	// Transferred returns the bytes that were sent to the peer and received from
	// it.
	Transferred() (sent, received int64)
	// Close ends all connections to the peer.
	Close() error
}

// State is a part of a node's knowledge of engines.
type State struct {
	version uint64
	full    bool
	views   []*viewer.View
}

// NewState returns the views that changed up to a version. Full says that
// engines which are not named are unknown to the node.
func NewState(version uint64, full bool, views []*viewer.View) State {
	return State{version: version, full: full, views: views}
}

// Version returns the version to ask from next time.
func (s State) Version() uint64 { return s.version }

// Full reports whether engines that are not named are unknown to the node.
func (s State) Full() bool { return s.full }

// Views returns the views; the slice must not be changed.
func (s State) Views() []*viewer.View { return s.views }

// Extension is a member's answer during an outage of the table.
type Extension struct {
	granted    bool
	lasts      time.Duration
	assignment uint64
}

// NewExtension returns an answer. Lasts is how long the member will not take
// over, counted from when it received the question; assignment is the version of
// the data centre's assignment that the member knows.
func NewExtension(granted bool, lasts time.Duration, assignment uint64) Extension {
	return Extension{granted: granted, lasts: lasts, assignment: assignment}
}

// Granted reports whether the member agrees.
func (e Extension) Granted() bool { return e.granted }

// Delay returns how long the member will not take over.
func (e Extension) Delay() time.Duration { return e.lasts }

// Assignment returns the version of the assignment that the member knows.
func (e Extension) Assignment() uint64 { return e.assignment }
