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
	defaultStreams     = 4096 // running jobs of a node; an owner has some 20 engines
	defaultConnections = 8192 // below the usual limit of open files with its callers
	defaultPeerStreams = 256  // jobs that one node runs at one peer
	defaultDialTime    = time.Second
	defaultIdleTime    = time.Minute
	defaultWriteTime   = 30 * time.Second
	handshakeTime      = 5 * time.Second
	// peerCalls bounds unary calls at one peer. They have their own bound so that
	// a lease extension never waits behind jobs.
	peerCalls = 8
	// serverIdleTime is longer than the peers' idle time, so that it only meets
	// connections that their peers forgot.
	serverIdleTime = 10 * time.Minute
	// frameSpace is added to the message size for what drpc sends in a packet
	// besides the message.
	frameSpace = 1 << 10
)

// link holds the properties of connections that both sides have.
type link struct {
	tls       *tls.Config
	codec     codec
	writeTime time.Duration
}

func newLink() link {
	return link{codec: codec{limit: encoder.MaxSize}, writeTime: defaultWriteTime}
}

// LinkOption sets an optional property of a server's or a peer's connections.
type LinkOption interface {
	ServerOption
	DialOption
}

// ServerOption sets an optional property of a Server.
type ServerOption interface{ server(s *Server) }

// DialOption sets an optional property of a peer.
type DialOption interface{ dial(p *peer) }

type (
	linkOption   func(*link)
	serverOption func(*Server)
	dialOption   func(*peer)
)

func (o linkOption) server(s *Server)   { o(&s.link) }
func (o linkOption) dial(p *peer)       { o(&p.link) }
func (o serverOption) server(s *Server) { o(s) }
func (o dialOption) dial(p *peer)       { o(p) }

// WithTLS encrypts connections. Both sides need it.
func WithTLS(c *tls.Config) LinkOption {
	return linkOption(func(l *link) { l.tls = c })
}

// WithMaxMessage bounds messages to some bytes. All nodes need the same bound.
func WithMaxMessage(bytes int) LinkOption {
	return linkOption(func(l *link) { l.codec.limit = min(bytes, encoder.MaxSize) })
}

// WithWriteTimeout bounds how long a connection may take nothing of what is
// written to it.
func WithWriteTimeout(d time.Duration) LinkOption {
	return linkOption(func(l *link) { l.writeTime = d })
}

// WithMaxStreams bounds the jobs that run at once; more are refused.
func WithMaxStreams(n int) ServerOption {
	return serverOption(func(s *Server) { s.service.maxStreams = int64(n) })
}

// WithMaxConnections bounds the connections; more are closed.
func WithMaxConnections(n int) ServerOption {
	return serverOption(func(s *Server) { s.maxConns = n })
}

// WithPeerStreams bounds the jobs that run at once at the peer; more wait.
func WithPeerStreams(n int) DialOption {
	return dialOption(func(p *peer) { p.runs = make(chan struct{}, n) })
}

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) DialOption {
	return dialOption(func(p *peer) { p.dialTime = d })
}

// WithIdleTimeout bounds how long an unused connection is kept.
func WithIdleTimeout(d time.Duration) DialOption {
	return dialOption(func(p *peer) { p.idleTime = d })
}

// manager returns the options of a drpc connection. Messages are flushed by
// hand, so that a message and the end of its stream go in one packet.
func (l *link) manager(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: l.codec.limit + frameSpace},
		Stream:            drpcstream.Options{ManualFlush: true, MaximumBufferSize: 2 * maxBatch},
		InactivityTimeout: idle,
	}
}
