package imitator

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy on the way from a machine to the store. While it is cut, it passes
// nothing on and answers nothing; what its ends have sent meanwhile arrives afterwards,
// unless they have reset the connection.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	healed   chan struct{} // closed while the link is whole
	conns    map[net.Conn]bool
}

func newLink(l net.Listener, target string) *link {
	p := &link{listener: l, target: target, healed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	close(p.healed)
	go p.accept()
	return p
}

func (p *link) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.healed:
		if cut {
			p.healed = make(chan struct{})
		}
	default:
		if !cut {
			close(p.healed)
		}
	}
}

func (p *link) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *link) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(in)
	}
}

func (p *link) connect(in net.Conn) {
	p.track(in, true)
	p.wait()
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		p.drop(in)
		return
	}
	p.track(out, true)
	go p.copy(out, in)
	p.copy(in, out)
}

func (p *link) copy(to, from net.Conn) {
	defer func() { p.drop(to); p.drop(from) }()
	buf := make([]byte, 32<<10)
	for {
		p.wait()
		n, err := from.Read(buf)
		if n > 0 {
			p.wait()
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// reset makes the next close of a connection a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}

func (p *link) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *link) drop(c net.Conn) {
	p.track(c, false)
	_ = c.Close() // it may be closed already
}

func (p *link) close() {
	_ = p.listener.Close() // nothing follows that depends on it
	p.setCut(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
