package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/server"
)

// Listeners holds the listening sockets of a node, by the kind of client.
type Listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener // nil if the node has no address for operators
}

// Listen opens listening sockets for the addresses in the settings.
func Listen(ctx context.Context, a configurer.Addresses) (Listeners, error) {
	var (
		l   Listeners
		lc  net.ListenConfig
		err error
	)
	open := func(address string) net.Listener {
		if err != nil || address == "" {
			return nil
		}
		var opened net.Listener
		if opened, err = lc.Listen(ctx, "tcp", address); err != nil {
			err = fmt.Errorf("listen on %s: %w", address, err)
			return nil
		}
		return opened
	}
	l.callers, l.peers, l.operators = open(a.Callers()), open(a.Peers()), open(a.Operators())
	if err != nil {
		l.close()
		return Listeners{}, err
	}
	return l, nil
}

func (l Listeners) close() {
	for _, s := range []net.Listener{l.callers, l.peers, l.operators} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// Serve serves callers, peers and operators until ctx ends or an operator drains
// the node. It then waits for requests in flight, hands the node's engines over
// and closes the node.
func (n *Node) Serve(ctx context.Context, l Listeners) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	metrics := meter.New(n.settings.Name(), n.settings.Region(), n.settings.DataCentre(), func(err error) {
		n.log.Component("meter").Warn("metric could not be registered", logger.Err(err))
	})
	defer func() { _ = metrics.Close() }()
	httpServer, release, err := n.newServer(metrics)
	if err != nil {
		l.close()
		return errors.Join(err, n.Close(context.WithoutCancel(ctx)))
	}
	defer release()
	s := &servers{node: n, stop: stop, peerServer: forwarder.NewServer(n.Handler())}
	s.start(ctx, "callers", func(ctx context.Context) error { return httpServer.Serve(ctx, l.callers, httpServer.Handler()) })
	if l.operators != nil {
		s.start(ctx, "operators", func(ctx context.Context) error {
			return httpServer.Serve(ctx, l.operators, httpServer.OperatorHandler())
		})
	}
	s.startPeerServer(ctx, l.peers)
	n.log.Info("node is serving")
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
		stop()
	}
	return s.finish(context.WithoutCancel(ctx))
}

// servers runs the HTTP and drpc servers of a node.
type servers struct {
	node           *Node
	stop           context.CancelFunc
	frontEnds      sync.WaitGroup
	peerServer     *forwarder.Server
	peerServerDone sync.WaitGroup
	mu             sync.Mutex
	errs           []error
}

func (s *servers) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	s.errs = append(s.errs, err)
	s.mu.Unlock()
	s.stop()
}

// start runs an HTTP front end. If it fails, the whole node drains, because callers
// cannot detect that only a part of the node is available.
func (s *servers) start(ctx context.Context, name string, serve func(context.Context) error) {
	s.frontEnds.Go(func() {
		if err := serve(ctx); err != nil {
			s.fail(fmt.Errorf("serve %s: %w", name, err))
		}
	})
}

// startPeerServer runs the server for peers. It does not stop when ctx ends: jobs
// that other nodes run on engines of this node must end first.
func (s *servers) startPeerServer(ctx context.Context, l net.Listener) {
	s.peerServerDone.Go(func() {
		if err := s.peerServer.Serve(context.WithoutCancel(ctx), l); err != nil {
			s.fail(fmt.Errorf("serve peers: %w", err))
		}
	})
}

// finish shuts the node down in an order that interrupts no request: first the node
// takes no new work, then requests in flight end, then the servers stop, and
// finally the node closes.
func (s *servers) finish(ctx context.Context) error {
	n := s.node
	n.log.Info("node is draining")
	if err := n.Drain(ctx); err != nil {
		s.fail(fmt.Errorf("drain: %w", err))
	}
	s.frontEnds.Wait()
	if err := s.peerServer.Close(); err != nil {
		s.fail(fmt.Errorf("close peer server: %w", err))
	}
	s.peerServerDone.Wait()
	if err := n.Close(ctx); err != nil {
		s.fail(err)
	}
	n.log.Info("node stopped")
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Join(s.errs...)
}

// newServer returns the HTTP server, and a function that releases its resources.
func (n *Node) newServer(metrics *meter.Meter) (*server.Server, func(), error) {
	limits := n.settings.Limits()
	opts := []server.Option{
		server.WithEntries(n.leaser.Entries(), n.settings.EntryTTL()),
		server.WithDrainChecker(n),
		server.WithBundles(n.bundles),
		server.WithStatus(n),
		server.WithRecorder(n.recorder),
		server.WithDrainer(n.operatorDrain()),
		server.WithLogger(n.log.Component("server")),
		server.WithMetrics(metrics.Handler(), metrics.Scope()),
		server.WithMaxBody(limits.BodyBytes()),
		server.WithBodyMemory(limits.BodyMemory()),
		server.WithMaxHeader(limits.HeaderBytes()),
		server.WithMaxOpenRequests(limits.OpenRequests()),
		server.WithDefaultTokens(limits.DefaultTokens()),
		server.WithDefaultTimeout(limits.DefaultTimeout()),
		server.WithReadTimeout(limits.ReadTimeout()),
		server.WithWriteTimeout(limits.WriteTimeout()),
		server.WithIdleTimeout(limits.IdleTimeout()),
		server.WithDrainGrace(n.settings.DrainGrace()),
		server.WithOperatorKeys(keys(n.settings.OperatorKeys())),
	}
	if k := n.settings.CallerKeys(); len(k) > 0 {
		opts = append(opts, server.WithCallerKeys(keys(k)))
	}
	release := func() {}
	if t, ok := n.settings.TLS(); ok {
		reloader, err := server.NewCertReloader(t.CertificateFile(), t.KeyFile(), t.ReloadInterval(), func(err error) {
			n.log.Component("tls").Error("certificate could not be reloaded", logger.Err(err))
		})
		if err != nil {
			return nil, nil, fmt.Errorf("load certificate: %w", err)
		}
		release = func() { _ = reloader.Close() }
		opts = append(opts, server.WithCertificates(reloader))
	}
	return server.New(n.pipeline, opts...), release, nil
}

func keys(configured []configurer.Key) server.Keys {
	var k server.Keys
	for _, c := range configured {
		k = k.Add(c.Name(), c.Hash())
	}
	return k
}

// Draining reports whether a node must not receive calls.
func (n *Node) Draining(node string) bool {
	if node == n.settings.Name() && n.draining.Load() {
		return true
	}
	return n.drainer.Load().Node(node)
}

// drainFunc implements server.Drainer with a function that begins a planned stop.
type drainFunc func()

// Drain begins a planned stop and does not wait for its end.
func (f drainFunc) Drain(context.Context) error {
	f()
	return nil
}

func (n *Node) operatorDrain() server.Drainer { return drainFunc(n.requestDrain) }

func (n *Node) requestDrain() {
	select {
	case n.drainRequested <- struct{}{}:
	default: // already requested
	}
}
