package forwarder

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Handler serves the requests of a node's peers.
type Handler interface {
	// Run starts a job on an engine that the node owns.
	Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error)
	// State returns the views of engines that changed after a version, or all views
	// if since is 0.
	State(ctx context.Context, since uint64) (State, error)
	// Extend requests an extension of the lease of a member of the same data centre
	// that cannot reach the table; from is the member's ID. It is granted only if the
	// node cannot reach the table either.
	Extend(ctx context.Context, from string) (Extension, error)
	// ReleaseEngine requests that the previous owner of an engine releases it to the
	// holder of a fencing token. It returns the models that requests of the previous
	// owner still use on the engine.
	ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error)
	// LatestBundles returns the newest bundles that the node has seen, in the
	// encoding of package watcher.
	LatestBundles(ctx context.Context) ([]byte, error)
	// BundlePart returns the part of a bundle with a SHA-256 hash, or
	// storer.ErrNotFound.
	BundlePart(ctx context.Context, hash []byte) ([]byte, error)
	// ApplyMarks records marks of requests that crashed endpoints, in the encoding of
	// package breaker.
	ApplyMarks(ctx context.Context, marks []byte) error
}

// Peer is a client of another node.
type Peer interface {
	Handler
	// Transferred returns the numbers of bytes sent to and received from the peer.
	Transferred() (sent, received int64)
	// Close closes all connections to the peer.
	Close() error
}

// State is a full or incremental update of a node's engine views.
type State struct {
	version uint64
	full    bool
	views   []*viewer.View
}

// NewState returns an update with the views that changed up to a version. A full
// update contains all views of the node.
func NewState(version uint64, full bool, views []*viewer.View) State {
	return State{version: version, full: full, views: views}
}

// Version returns the version to pass to the next call of Handler.State.
func (s State) Version() uint64 { return s.version }

// Full reports whether the update contains all views of the node, so that the
// receiver must drop other views of this node.
func (s State) Full() bool { return s.full }

// Views returns the views. The slice must not be modified.
func (s State) Views() []*viewer.View { return s.views }

// Extension is the response of a member to a request for a lease extension
// during an outage of the table.
type Extension struct {
	granted    bool
	duration   time.Duration
	assignment uint64
}

// NewExtension returns a response. duration is how long the member will not take
// over engines, counted from the time at which it received the request.
// assignment is the latest version of the data centre's assignment that the
// member has read.
func NewExtension(granted bool, duration time.Duration, assignment uint64) Extension {
	return Extension{granted: granted, duration: duration, assignment: assignment}
}

// Granted reports whether the member granted the extension.
func (e Extension) Granted() bool { return e.granted }

// Duration returns how long the member will not take over engines.
func (e Extension) Duration() time.Duration { return e.duration }

// Assignment returns the latest version of the assignment that the member has
// read.
func (e Extension) Assignment() uint64 { return e.assignment }
