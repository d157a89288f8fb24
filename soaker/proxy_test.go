package soaker_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy is a TCP proxy on the loopback interface that injects network faults into
// the connections to its target.
type proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds per read
	silent   atomic.Bool  // drops data in both directions
	oneWay   atomic.Bool  // drops data sent by the target
	refuse   atomic.Bool  // resets new connections
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			abort(in)
			continue
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			abort(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, &p.silent)
		go p.copy(in, out, &p.silent, &p.oneWay)
	}
}

// copy forwards data until one side fails, and then resets the other side. It
// drops data while a flag of drop is set.
func (p *proxy) copy(to, from net.Conn, drop ...*atomic.Bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		dropped := false
		for _, s := range drop {
			dropped = dropped || s.Load()
		}
		if n > 0 && !dropped {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		switch {
		case err == io.EOF && !dropped:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			abort(to)
			return
		}
	}
}

// reset aborts all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
