package runner

import (
	"context"
	"fmt"

	"github.com/dragonflyford/dragonflyford/breaker"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// handler implements forwarder.Handler for a node.
type handler struct {
	node *Node
}

// Run implements forwarder.Handler.
func (h handler) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	if h.node.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", errClosing, connector.ErrRefused)
	}
	s, err := h.node.ownedEngines.find(engine)
	if err != nil {
		return nil, err
	}
	return s.Run(ctx, job)
}

// State implements forwarder.Handler.
func (h handler) State(_ context.Context, since uint64) (forwarder.State, error) {
	return h.node.localViews.since(since), nil
}

// Extend implements forwarder.Handler.
func (h handler) Extend(_ context.Context, from string) (forwarder.Extension, error) {
	grant, ok := h.node.leaser.GrantExtension(from)
	return forwarder.NewExtension(ok, grant.Duration(), grant.Assignment()), nil
}

// ReleaseEngine implements forwarder.Handler.
func (h handler) ReleaseEngine(_ context.Context, engine string, token uint64) ([]connector.Model, error) {
	return h.node.ownedEngines.release(engine, token)
}

// LatestBundles implements forwarder.Handler.
func (h handler) LatestBundles(context.Context) ([]byte, error) {
	encoded, err := h.node.watcher.Latest().Encode()
	if err != nil {
		return nil, fmt.Errorf("encode latest bundles: %w", err)
	}
	return encoded, nil
}

// BundlePart implements forwarder.Handler.
func (h handler) BundlePart(_ context.Context, hash []byte) ([]byte, error) {
	var key bundler.Hash
	if len(hash) != len(key) {
		return nil, fmt.Errorf("hash of %d bytes is not a bundle hash: %w", len(hash), storer.ErrNotFound)
	}
	copy(key[:], hash)
	content, ok := h.node.watcher.Part(key)
	if !ok {
		return nil, storer.ErrNotFound
	}
	return content, nil
}

// ApplyMarks implements forwarder.Handler.
func (h handler) ApplyMarks(_ context.Context, marks []byte) error {
	if err := h.node.breaker.ApplyMarks(marks); err != nil {
		return fmt.Errorf("apply crash marks: %w", err)
	}
	return nil
}

// extender implements leaser.Peers.
type extender struct {
	peers *peers
}

// Extend requests an extension of the lease from a member.
func (e extender) Extend(ctx context.Context, m leaser.Member, from string) (leaser.Grant, error) {
	p, err := e.peers.find(m.Name())
	if err != nil {
		return leaser.Grant{}, err
	}
	answer, err := p.Extend(ctx, from)
	if err != nil {
		return leaser.Grant{}, fmt.Errorf("request lease extension from %q: %w", m.Name(), err)
	}
	if !answer.Granted() {
		return leaser.Grant{}, nil
	}
	return leaser.NewGrant(answer.Duration(), answer.Assignment()), nil
}

// releaseFromPrevious requests that the previous owner releases an engine, and
// returns the models that its requests still use there.
func (n *Node) releaseFromPrevious(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error) {
	if node == n.settings.Name() {
		return n.ownedEngines.modelsInUse(engine), nil
	}
	p, err := n.peers.find(node)
	if err != nil {
		return nil, err
	}
	return withTimeout(ctx, "release engine from previous owner", func(ctx context.Context) ([]connector.Model, error) {
		return p.ReleaseEngine(ctx, engine, token)
	})
}

// ownership implements Ownership for an engine that is assigned to the node.
type ownership struct {
	leaser.EngineLease
	entry leaser.Entry
}

// Engine implements Ownership.
func (o ownership) Engine() string { return o.entry.Engine() }

// Token implements Ownership.
func (o ownership) Token() uint64 { return o.entry.Token() }

// Previous implements Ownership.
func (o ownership) Previous() string { return o.entry.Previous().Name() }

// crashSink implements scheduler.CrashSink. It marks the requests that were
// running on a crashed engine.
type crashSink struct {
	breaker *breaker.Breaker
}

// Crashed marks the requests of the jobs.
func (c crashSink) Crashed(engine string, jobs []connector.Job) {
	requests := make([]receiver.Fingerprint, 0, len(jobs))
	for _, j := range jobs {
		requests = append(requests, receiver.FingerprintOf(j.Model().Adapter(), j.Prompt()))
	}
	c.breaker.Crashed(engine, requests)
}
