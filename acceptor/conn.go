package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/reserver"
)

// phase is what a connection is used for.
type phase int

const (
	phaseIdle     phase = iota // no byte of a request has arrived
	phaseHeader                // the header of a request arrives
	phaseBody                  // the body arrives
	phaseHandling              // the request is complete
	phaseClosing               // the response was sent and the connection will be closed
)

// urgency orders the phases by what is lost if a connection is closed.
func (p phase) urgency() int {
	switch p {
	case phaseClosing:
		return 0
	case phaseIdle:
		return 1
	default:
		return 2
	}
}

// Conn is a connection of a client. A nil Conn ignores all marks.
type Conn struct {
	net.Conn
	acceptor *Acceptor
	refused  atomic.Bool // the header exceeds a limit, and no more bytes are read

	mu          sync.Mutex
	phase       phase
	since       time.Time // begin of the phase, or the last byte read in it
	headerBytes int
	headerLines int
	headers     reserver.Share
	headerEnd   time.Time // deadline of the header; zero outside phaseHeader
	requested   time.Time // read deadline that the server has set
	expiry      expiry
	interrupted bool
	closed      bool
}

const (
	// headerSlack is the size of the server's read buffer: the last read of a header
	// may contain that much of the body.
	headerSlack = 4 << 10
	// A decoded header takes more memory than its bytes on the connection: for each
	// field, a place in a map, a slice and two strings.
	fieldCost = 160 // bytes
	byteCost  = 2
	// freeCost is covered by what a connection itself is assumed to take.
	freeCost = 8 << 10 // bytes
	// lingerTime is how long a client has to read a refusal before the connection is
	// reset because of bytes that were not read.
	lingerTime = 500 * time.Millisecond
	// answerTime bounds the writing of a refusal.
	answerTime = 100 * time.Millisecond
)

const (
	answerTooLong  = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Read implements net.Conn. It ends the connection when a header exceeds a limit.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		n, err = c.readLast(p, err)
	}
	if n == 0 {
		if c.headerExpired(err) {
			c.acceptor.onClose(CauseHeaderTime)
		}
		return n, err //nolint:wrapcheck // http.Server checks the type
	}
	refusal, readmit := c.countRead(p[:n])
	if readmit {
		c.acceptor.readmit(c)
	}
	if refusal.answer == "" {
		return n, err //nolint:wrapcheck // as above
	}
	// A bufio.Reader that has part of a line drops an error and reads again.
	c.refused.Store(true)
	c.acceptor.onClose(refusal.cause)
	c.Linger()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTime))
	_, _ = io.WriteString(c.Conn, refusal.answer) // the client may be gone
	return 0, os.ErrDeadlineExceeded              // on a timeout, http.Server sends no response of its own
}

// headerRefusal is the answer to a header that exceeds a limit.
type headerRefusal struct {
	answer string
	cause  Cause
}

// countRead counts bytes of a header. It returns the refusal of one that exceeds a limit, and
// whether the bytes arrived on a connection that was to be closed for another one.
func (c *Conn) countRead(p []byte) (r headerRefusal, readmit bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	if c.phase == phaseIdle {
		readmit = c.expiry == expiredEvicted
		c.phase, c.headerBytes, c.headerLines, c.expiry = phaseHeader, 0, 0, notExpired
		c.headerEnd = now.Add(c.acceptor.limits.headerTimeout())
		_ = c.Conn.SetReadDeadline(earliest(c.requested, c.headerEnd))
	}
	if c.phase != phaseHeader {
		return headerRefusal{}, readmit
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte("\n"))
	if c.headerBytes > c.acceptor.limits.headerBytes()+headerSlack {
		return headerRefusal{answerTooLong, CauseHeaderBytes}, readmit
	}
	cost := int64(max(c.headerBytes*byteCost+c.headerLines*fieldCost-freeCost, 0))
	if !c.headers.Grow(cost - c.headers.Held()) {
		return headerRefusal{answerNoMemory, CauseHeaderMemory}, readmit
	}
	return headerRefusal{}, readmit
}

func (c *Conn) headerExpired(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseHeader && errors.Is(err, os.ErrDeadlineExceeded)
}

// SetReadDeadline implements net.Conn. The deadline of a header remains in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	if c.interrupted || c.expiry != notExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(earliest(t, c.headerEnd)) //nolint:wrapcheck // of the embedded connection
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// earliest returns the earlier of two deadlines. Zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// CloseWrite implements the method that http.Server expects of a connection that it
// closes in two steps.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // of the embedded connection
	}
	return nil
}

// StartBody marks that the header of a request is complete.
func (c *Conn) StartBody() { c.enter(phaseBody) }

// EndBody marks that a request is complete.
func (c *Conn) EndBody() { c.enter(phaseHandling) }

// Linger marks that the connection is closed after the response, with a delay, because
// bytes that were not read would otherwise reset it before the client reads the
// response.
func (c *Conn) Linger() { c.enter(phaseClosing) }

func (c *Conn) becomeIdle() {
	c.enter(phaseIdle)
	if c.acceptor.stopping.Load() {
		c.expire(expiredIdle)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headers.Release()
}

func (c *Conn) enter(p phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if p == phaseClosing || c.headerEnd.IsZero() && !c.interrupted {
		return
	}
	c.headerEnd, c.interrupted = time.Time{}, false
	_ = c.Conn.SetReadDeadline(c.requested) // fails only on a closed connection
}

// waiting returns the phase and the time since it began or the last byte arrived.
func (c *Conn) waiting() (phase, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, time.Since(c.since)
}

// interrupt ends the reading of a body.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// Interrupted reports whether the reading of the body was ended because memory was
// needed.
func (c *Conn) Interrupted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.phase == phaseClosing && !c.closed
	c.mu.Unlock()
	if !linger {
		c.shut()
		return nil
	}
	_ = c.CloseWrite()
	c.release()
	time.AfterFunc(lingerTime, c.shut)
	return nil
}

// release returns the memory of the header to its budget, once.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.headers.Release()
}

// shut closes the connection at once. The errors of closing a connection do not matter
// here: there is nobody who could act on them.
func (c *Conn) shut() {
	c.release()
	_ = c.Conn.Close()
	c.acceptor.remove(c)
}
