package acceptor

import (
	"errors"
	"os"
	"time"
)

// lastReadTime bounds the last read of an expired connection, which returns what the
// socket holds.
const lastReadTime = 5 * time.Millisecond

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// expiry is why an idle connection ends unless a request has arrived on it.
type expiry int

const (
	notExpired     expiry = iota
	expiredIdle           // no request came for too long
	expiredEvicted        // another connection takes its place, so that it does not count any more
)

// expire makes an idle connection end, unless the bytes of a request have arrived that the
// server has not read yet: a busy host reads them late. It reports false if the connection
// is not idle.
func (c *Conn) expire(why expiry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.expiry = max(c.expiry, why)               // an evicted connection stays so
	_ = c.Conn.SetReadDeadline(expiredDeadline) // wakes the server's read
	return true
}

// readLast reads what the socket of an expired connection holds. For other connections it
// returns the error of the read before. The server closes the connection after a timeout.
func (c *Conn) readLast(p []byte, err error) (int, error) {
	c.mu.Lock()
	why := c.expiry
	c.mu.Unlock()
	if why == notExpired || !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
	n, err := c.Conn.Read(p)
	if n == 0 && why == expiredIdle {
		c.acceptor.onClose(CauseIdle)
	}
	return n, err //nolint:wrapcheck // http.Server checks the type
}
