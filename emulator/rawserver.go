package emulator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// RawServer reads the heads of HTTP requests and leaves the rest to a function, which can
// answer with raw bytes as a faulty server does.
type RawServer struct {
	listener net.Listener
	respond  func(conn *net.TCPConn, req *http.Request)
	accepted atomic.Int64
	running  sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]bool // nil once the server is closed
}

// NewRawServer starts a server on a loopback address. respond is called with the first
// request on each connection, whose body it may read. The connection is closed when respond
// returns. The server must be closed.
func NewRawServer(respond func(conn *net.TCPConn, req *http.Request)) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &RawServer{listener: l, respond: respond, open: make(map[net.Conn]bool)}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the host and port of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections that were accepted.
func (s *RawServer) Connections() int { return int(s.accepted.Load()) }

// Close closes the server and its connections, and waits until respond has returned.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.open = nil
	s.mu.Unlock()
	s.running.Wait()
}

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		s.running.Go(func() {
			defer s.remove(conn)
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				s.respond(conn.(*net.TCPConn), req)
			}
		})
	}
}

// add reports false if the server is closed.
func (s *RawServer) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		return false
	}
	s.open[conn] = true
	return true
}

func (s *RawServer) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}
