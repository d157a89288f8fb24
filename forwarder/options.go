package forwarder

import (
	"crypto/tls"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/dragonflyford/dragonflyford/encoder"
)

// Defaults of servers and peers.
const (
	defaultStreams      = 4096 // concurrent jobs of a server; a node owns about 20 engines
	defaultConnections  = 8192 // together with callers' connections below the usual open file limit
	defaultPeerStreams  = 256  // concurrent jobs of one node at one peer
	defaultDialTimeout  = time.Second
	defaultIdleTimeout  = time.Minute
	defaultWriteTimeout = 30 * time.Second
	handshakeTimeout    = 5 * time.Second
	// maxPeerCalls is the maximum number of concurrent unary calls to one peer. It is
	// separate from the limit on jobs so that a lease extension never waits behind
	// jobs.
	maxPeerCalls = 8
	// serverIdleTimeout is longer than the client's idle timeout, so that it only
	// closes connections that their clients failed to close.
	serverIdleTimeout = 10 * time.Minute
	// frameOverhead is an upper bound for what drpc adds to a message in a packet.
	frameOverhead = 1 << 10
)

// connOptions holds the connection options that servers and clients share.
type connOptions struct {
	tls          *tls.Config
	codec        codec
	writeTimeout time.Duration
}

func newConnOptions() connOptions {
	return connOptions{codec: codec{maxBytes: encoder.MaxSize}, writeTimeout: defaultWriteTimeout}
}

// ConnOption sets an option of the connections of a server or a peer.
type ConnOption interface {
	ServerOption
	DialOption
}

// ServerOption sets an option of a Server.
type ServerOption interface{ server(s *Server) }

// DialOption sets an option of a peer returned by Dial.
type DialOption interface{ dial(p *peer) }

type (
	connOption   func(*connOptions)
	serverOption func(*Server)
	dialOption   func(*peer)
)

func (o connOption) server(s *Server)   { o(&s.connOptions) }
func (o connOption) dial(p *peer)       { o(&p.connOptions) }
func (o serverOption) server(s *Server) { o(s) }
func (o dialOption) dial(p *peer)       { o(p) }

// WithTLS encrypts connections. It must be set on both sides.
func WithTLS(c *tls.Config) ConnOption {
	return connOption(func(o *connOptions) { o.tls = c })
}

// WithMaxMessage sets the maximum message size in bytes. It must be the same on
// all nodes.
func WithMaxMessage(bytes int) ConnOption {
	return connOption(func(o *connOptions) { o.codec.maxBytes = min(bytes, encoder.MaxSize) })
}

// WithWriteTimeout sets the timeout of a single write to a connection.
func WithWriteTimeout(d time.Duration) ConnOption {
	return connOption(func(o *connOptions) { o.writeTimeout = d })
}

// WithMaxStreams sets the maximum number of concurrent jobs. Further jobs are
// refused.
func WithMaxStreams(n int) ServerOption {
	return serverOption(func(s *Server) { s.service.maxStreams = int64(n) })
}

// WithMaxConnections sets the maximum number of connections. Further connections
// are closed.
func WithMaxConnections(n int) ServerOption {
	return serverOption(func(s *Server) { s.maxConns = n })
}

// WithPeerStreams sets the maximum number of concurrent jobs at the peer. Further
// jobs wait.
func WithPeerStreams(n int) DialOption {
	return dialOption(func(p *peer) { p.runSlots = make(chan struct{}, n) })
}

// WithDialTimeout sets the timeout for connecting, including the TLS handshake.
func WithDialTimeout(d time.Duration) DialOption {
	return dialOption(func(p *peer) { p.dialTimeout = d })
}

// WithIdleTimeout sets how long an idle connection stays open.
func WithIdleTimeout(d time.Duration) DialOption {
	return dialOption(func(p *peer) { p.idleTimeout = d })
}

// manager returns the options of a drpc connection. Messages are flushed
// explicitly, so that a message and the end of its stream share a packet.
func (o *connOptions) manager(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: o.codec.maxBytes + frameOverhead},
		Stream:            drpcstream.Options{ManualFlush: true, MaximumBufferSize: 2 * maxBatch},
		InactivityTimeout: idle,
	}
}
