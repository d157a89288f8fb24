package forwarder

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
)

// Server serves the requests of a node's peers over drpc.
type Server struct {
	connOptions
	service  service
	mux      *drpcmux.Mux
	maxConns int

	ctx    context.Context // canceled by Abort, and by Close once all sessions have ended
	cancel context.CancelFunc

	mu        sync.Mutex
	closing   bool
	listeners map[net.Listener]struct{}
	sessions  map[*session]struct{}
	running   sync.WaitGroup // goroutines of sessions
}

// NewServer returns a server that passes requests to handler.
func NewServer(handler Handler, opts ...ServerOption) *Server {
	s := &Server{
		connOptions: newConnOptions(),
		service:     service{handler: handler, maxStreams: defaultStreams},
		mux:         drpcmux.New(),
		maxConns:    defaultConnections,
		listeners:   make(map[net.Listener]struct{}),
		sessions:    make(map[*session]struct{}),
	}
	for _, opt := range opts {
		opt.server(s)
	}
	s.service.codec = s.codec
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.mux.Register(&s.service, describe(s.codec)); err != nil {
		panic(fmt.Sprintf("forwarder: invalid service description: %v", err)) // programming error in this package
	}
	return s
}

// acceptBackoff is the delay after a temporary error of Accept, such as too many
// open files.
const acceptBackoff = 50 * time.Millisecond

// Serve accepts connections from listener until Close or Abort is called or ctx
// ends, and closes the listener. The end of ctx aborts the server.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = s.Abort() })()
	if !s.addListener(listener) {
		return listener.Close()
	}
	defer s.removeListener(listener)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(conn)
		case s.service.closing.Load() || errors.Is(err, net.ErrClosed):
			s.running.Wait()
			return nil
		case !isTemporary(err):
			return fmt.Errorf("accept peer: %w", err)
		default:
			s.pause()
		}
	}
}

// isTemporary reports whether err concerns the connection or a limit of the
// process, as opposed to the listener. net.Error.Timeout does not cover these.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

func (s *Server) pause() {
	timer := time.NewTimer(acceptBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	_ = l.Close()
}

// accept starts a session for a connection. It closes the connection if the server
// is closing or has reached its maximum number of connections.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.sessions) >= s.maxConns || enableDeadPeerDetection(conn) != nil {
		_ = conn.Close()
		return
	}
	conn = &countedConn{Conn: conn, writeTimeout: s.writeTimeout}
	ss := &session{server: s, conn: conn}
	s.sessions[ss] = struct{}{}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer s.removeSession(ss)
		ss.serve()
	}()
}

func (s *Server) removeSession(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
	_ = ss.conn.Close()
}

// idleCloseDelay is how long an idle connection stays open while the server
// closes. A request that is already in transit is then refused instead of broken,
// so that the caller can rely on it not having run.
const idleCloseDelay = 100 * time.Millisecond

// Close refuses new jobs and waits for running requests to end.
func (s *Server) Close() error {
	s.stop()
	timer := time.AfterFunc(idleCloseDelay, s.closeIdle)
	defer timer.Stop()
	s.running.Wait()
	s.cancel()
	return nil
}

// Abort closes all connections and cancels running requests.
func (s *Server) Abort() error {
	s.stop()
	s.cancel()
	s.mu.Lock()
	for ss := range s.sessions {
		_ = ss.conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	return nil
}

// stop closes the listeners and makes the server refuse new jobs.
func (s *Server) stop() {
	s.service.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for l := range s.listeners {
		_ = l.Close()
	}
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.closeIdle()
	}
}

// session is a connection from a peer. It carries one call at a time.
type session struct {
	server *Server
	conn   net.Conn

	mu   sync.Mutex
	busy bool
	done bool // no further call is served
}

// serve handles calls until the connection ends.
func (ss *session) serve() {
	transport, err := ss.handshake()
	if err != nil {
		return
	}
	man := drpcmanager.NewWithOptions(transport, ss.server.manager(serverIdleTimeout))
	defer func() { _ = man.Close() }()
	for {
		stream, rpc, err := man.NewServerStream(ss.server.ctx)
		if err != nil || !ss.begin() {
			return
		}
		if err := ss.server.mux.HandleRPC(stream, rpc); err != nil {
			if err := stream.SendError(err); err != nil {
				return
			}
		}
		if err := stream.CloseSend(); err != nil {
			return
		}
		ss.end()
	}
}

// handshake performs the TLS handshake if the server uses TLS.
func (ss *session) handshake() (net.Conn, error) {
	if ss.server.tls == nil {
		return ss.conn, nil
	}
	ctx, cancel := context.WithTimeout(ss.server.ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Server(ss.conn, ss.server.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("handshake with peer: %w", err)
	}
	return conn, nil
}

// begin marks the session as busy. It returns false if the session is done.
func (ss *session) begin() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.busy = !ss.done
	return ss.busy
}

// end marks the session as idle. While the server closes, it closes the connection
// after idleCloseDelay, because the peer may already have sent its next request.
func (ss *session) end() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.busy = false
	if ss.server.service.closing.Load() {
		time.AfterFunc(idleCloseDelay, ss.closeIdle)
	}
}

// closeIdle closes the connection unless a call runs, in which case end does so.
func (ss *session) closeIdle() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.busy {
		return
	}
	ss.done = true
	_ = ss.conn.Close()
}
