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

// handler answers the node's peers.
type handler struct {
	node *Node
}

// Run starts a job on an engine that the node owns.
func (h handler) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	if h.node.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", errClosing, connector.ErrRefused)
	}
	s, err := h.node.owners.find(engine)
	if err != nil {
		return nil, err
	}
	return s.Run(ctx, job)
}

// State returns the views of the node's engines.
func (h handler) State(_ context.Context, since uint64) (forwarder.State, error) {
	return h.node.journal.since(since), nil
}

// Extend answers a member that cannot reach the table.
func (h handler) Extend(_ context.Context, from string) (forwarder.Extension, error) {
	grant, ok := h.node.leaser.GrantExtension(from)
	return forwarder.NewExtension(ok, grant.Delay(), grant.Assignment()), nil
}

// ReleaseEngine gives an engine up to its new owner.
func (h handler) ReleaseEngine(_ context.Context, engine string, token uint64) ([]connector.Model, error) {
	return h.node.owners.yield(engine, token)
}

// LatestBundles returns what the node knows of bundles.
func (h handler) LatestBundles(context.Context) ([]byte, error) {
	encoded, err := h.node.watcher.Latest().Encode()
	if err != nil {
		return nil, fmt.Errorf("encode latest bundles: %w", err)
	}
	return encoded, nil
}

// BundlePart returns bundle content.
func (h handler) BundlePart(_ context.Context, hash []byte) ([]byte, error) {
	var key bundler.Hash
	if len(hash) != len(key) {
		return nil, fmt.Errorf("hash of %d bytes: %w", len(hash), storer.ErrNotFound)
	}
	copy(key[:], hash)
	content, ok := h.node.watcher.Part(key)
	if !ok {
		return nil, storer.ErrNotFound
	}
	return content, nil
}

// ApplyMarks takes crash marks over.
func (h handler) ApplyMarks(_ context.Context, marks []byte) error {
	if err := h.node.breaker.ApplyMarks(marks); err != nil {
		return fmt.Errorf("learn crash marks: %w", err)
	}
	return nil
}

// extender asks members for an extension of the lease.
type extender struct {
	peers *peers
}

// Extend asks one member.
func (e extender) Extend(ctx context.Context, m leaser.Member, from string) (leaser.Grant, error) {
	p, err := e.peers.find(m.Name())
	if err != nil {
		return leaser.Grant{}, err
	}
	answer, err := p.Extend(ctx, from)
	if err != nil {
		return leaser.Grant{}, fmt.Errorf("ask %q for an extension: %w", m.Name(), err)
	}
	if !answer.Granted() {
		return leaser.Grant{}, nil
	}
	return leaser.NewGrant(answer.Delay(), answer.Assignment()), nil
}

// askInUse asks the previous owner of an engine to give it up.
func (n *Node) askInUse(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error) {
	if node == n.settings.Name() {
		return n.owners.yieldedInUse(engine), nil
	}
	p, err := n.peers.find(node)
	if err != nil {
		return nil, err
	}
	return within(ctx, "ask previous owner", func(ctx context.Context) ([]connector.Model, error) {
		return p.ReleaseEngine(ctx, engine, token)
	})
}

// ownership is an engine that the assignment gives to the node.
type ownership struct {
	leaser.EngineLease
	entry leaser.Entry
}

// Engine returns the engine's name.
func (o ownership) Engine() string { return o.entry.Engine() }

// Token returns the fencing token.
func (o ownership) Token() uint64 { return o.entry.Token() }

// Previous returns the name of the node that owned the engine before.
func (o ownership) Previous() string { return o.entry.Previous().Name() }

// crashSink turns the jobs of a crashed engine into marks.
type crashSink struct {
	breaker *breaker.Breaker
}

// Crashed marks the requests behind the jobs.
func (c crashSink) Crashed(engine string, jobs []connector.Job) {
	requests := make([]receiver.Fingerprint, 0, len(jobs))
	for _, j := range jobs {
		requests = append(requests, receiver.FingerprintOf(j.Model().Adapter(), j.Prompt()))
	}
	c.breaker.Crashed(engine, requests)
}
