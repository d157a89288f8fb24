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

// Server answers the peers of a node over drpc.
type Server struct {
	link
	service  service
	mux      *drpcmux.Mux
	maxConns int

	ctx    context.Context // ends with Abort
	cancel context.CancelFunc

	mu        sync.Mutex
	closing   bool
	listeners map[net.Listener]struct{}
	sessions  map[*session]struct{}
	running   sync.WaitGroup // sessions
}

// NewServer returns a server that answers with handler.
func NewServer(handler Handler, opts ...ServerOption) *Server {
	s := &Server{
		link:      newLink(),
		service:   service{handler: handler, maxStreams: defaultStreams},
		mux:       drpcmux.New(),
		maxConns:  defaultConnections,
		listeners: make(map[net.Listener]struct{}),
		sessions:  make(map[*session]struct{}),
	}
	for _, opt := range opts {
		opt.server(s)
	}
	s.service.codec = s.codec
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.mux.Register(&s.service, describe(s.codec)); err != nil {
		panic(fmt.Sprintf("forwarder: invalid description: %v", err)) // a mistake in this package
	}
	return s
}

// acceptPause is the time after an error of the listener that may pass, such as
// too many open files.
const acceptPause = 50 * time.Millisecond

// Serve answers connections of a listener, which it closes, until Close, Abort
// or the end of ctx. The end of ctx aborts the server.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = s.Abort() })()
	if !s.add(listener) {
		return listener.Close()
	}
	defer s.remove(listener)
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

// isTemporary reports an error of the connection or of the process's limits, as
// opposed to one of the listener. Timeout would not cover these.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

func (s *Server) pause() {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

func (s *Server) add(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) remove(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	_ = l.Close()
}

// accept starts a session unless the server is closing or full.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.sessions) >= s.maxConns || detectDeath(conn) != nil {
		_ = conn.Close()
		return
	}
	conn = &countedConn{Conn: conn, writeTime: s.writeTime}
	ss := &session{server: s, conn: conn}
	s.sessions[ss] = struct{}{}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer s.forget(ss)
		ss.serve()
	}()
}

func (s *Server) forget(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
	_ = ss.conn.Close()
}

// linger is how long an unused connection stays open while the server closes.
// A request that is already on its way is then refused, which tells the caller
// that it did not run.
const linger = 100 * time.Millisecond

// Close stops accepting jobs and waits for the running ones.
func (s *Server) Close() error {
	s.stop()
	timer := time.AfterFunc(linger, s.closeIdle)
	defer timer.Stop()
	s.running.Wait()
	s.cancel()
	return nil
}

// Abort ends everything at once.
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

// stop closes the listeners and refuses new jobs.
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

// session is one connection of a peer. It carries one call at a time.
type session struct {
	server *Server
	conn   net.Conn

	mu   sync.Mutex
	busy bool
	done bool // no further call is read
}

// serve answers calls until the connection ends.
func (ss *session) serve() {
	transport, err := ss.secure()
	if err != nil {
		return
	}
	man := drpcmanager.NewWithOptions(transport, ss.server.manager(serverIdleTime))
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

// secure completes the TLS handshake.
func (ss *session) secure() (net.Conn, error) {
	if ss.server.tls == nil {
		return ss.conn, nil
	}
	ctx, cancel := context.WithTimeout(ss.server.ctx, handshakeTime)
	defer cancel()
	conn := tls.Server(ss.conn, ss.server.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("handshake with peer: %w", err)
	}
	return conn, nil
}

// begin marks the session as busy unless it is done.
func (ss *session) begin() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.busy = !ss.done
	return ss.busy
}

// end marks the session as idle. While the server closes, the connection then
// stays open for the linger time, because the peer may already use it again.
func (ss *session) end() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.busy = false
	if ss.server.service.closing.Load() {
		time.AfterFunc(linger, ss.closeIdle)
	}
}

// closeIdle closes the connection unless a call runs; then end takes care of it.
func (ss *session) closeIdle() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.busy {
		return
	}
	ss.done = true
	_ = ss.conn.Close()
}
