// Package collector reads the bodies of requests into memory within bounds: a size for
// each, a budget for all together that is charged as bytes arrive, and a time. What a
// client announces takes no memory.
package collector

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/reserver"
)

// Errors of Collect. Except for ErrUnreadable, the request was within its protocol.
var (
	ErrTooLong    = eris.New("the body is too long")
	ErrNoMemory   = eris.New("the host has no memory for the body")
	ErrTimeout    = eris.New("the body did not arrive in time")
	ErrUnreadable = eris.New("the body could not be read")
)

// Limits are the limits on one body. The least rate applies after rateGrace.
type Limits struct {
	bytes   int64
	timeout time.Duration
	rate    int64
}

// NewLimits returns limits on the size of a body in bytes, the time until it is complete,
// and the average number of bytes a second at which it arrives, where 0 is no limit.
func NewLimits(bytes int64, timeout time.Duration, rate int64) Limits {
	return Limits{bytes: bytes, timeout: timeout, rate: rate}
}

// Collector reads bodies.
type Collector struct {
	budget    *reserver.Reserver
	limits    func() Limits
	exhausted func()
}

// New returns a collector. budget is the memory for all bodies. exhausted is called when
// a body was refused for lack of memory.
func New(budget *reserver.Reserver, limits func() Limits, exhausted func()) *Collector {
	return &Collector{budget: budget, limits: limits, exhausted: exhausted}
}

// Body is a body in memory.
type Body struct {
	chunks [][]byte
	length int64
	share  reserver.Share
}

// Chunks returns the body in pieces, none of which is empty.
func (b *Body) Chunks() [][]byte { return b.chunks }

// Release returns the memory of the body to the budget.
func (b *Body) Release() {
	b.share.Release()
	b.chunks = nil
}

const (
	// FreeChunk is the size of the first chunk of a body. It is not charged to the budget,
	// because each connection is assumed to take that much.
	FreeChunk   = 4 << 10  // bytes
	mediumChunk = 16 << 10 // bytes
	largeChunk  = 64 << 10 // bytes
	// mediumChunks is how many chunks follow the first one before the large ones.
	mediumChunks = 3
	// rateGrace is the idle time that the platform allows a connection: no pause that
	// short makes a body too slow.
	rateGrace = 15 * time.Second
)

// Collect reads the body of a request. After an error, the connection must be closed
// without reading the rest. Release must be called once the body is not needed any more.
func (c *Collector) Collect(w http.ResponseWriter, r *http.Request) (*Body, error) {
	limits := c.limits()
	if r.ContentLength > limits.bytes {
		return nil, ErrTooLong
	}
	b := &Body{share: c.budget.NewShare()}
	if r.ContentLength == 0 {
		return b, nil
	}
	conn := acceptor.FromContext(r.Context())
	conn.StartBody()
	control := http.NewResponseController(w)
	if err := c.read(b, r, limits, control); err != nil {
		b.Release()
		switch {
		case errors.Is(err, ErrNoMemory):
			c.exhausted()
		case errors.Is(err, os.ErrDeadlineExceeded) && conn.Interrupted():
			err = ErrNoMemory // for another body
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = ErrTimeout
		}
		return nil, err
	}
	conn.EndBody()
	_ = control.SetReadDeadline(time.Time{}) // not supported by writers of tests
	return b, nil
}

func (c *Collector) read(b *Body, r *http.Request, limits Limits, control *http.ResponseController) error {
	start := time.Now()
	chunk := make([]byte, 0, firstChunk(r.ContentLength))
	for {
		if len(chunk) == cap(chunk) {
			b.chunks = append(b.chunks, chunk)
			size := nextChunk(len(b.chunks))
			if !b.share.Grow(int64(size)) {
				return ErrNoMemory
			}
			chunk = make([]byte, 0, size)
		}
		_ = control.SetReadDeadline(limits.deadline(start, b.length)) // not supported by writers of tests
		n, err := r.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.length += int64(n)
		switch {
		case b.length > limits.bytes:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			if len(chunk) > 0 {
				b.chunks = append(b.chunks, chunk)
			}
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return err //nolint:wrapcheck // replaced by the caller
		case err != nil:
			return errors.Join(ErrUnreadable, err)
		}
	}
}

// deadline returns until when the next bytes must arrive after received bytes.
func (l Limits) deadline(start time.Time, received int64) time.Time {
	end := start.Add(l.timeout)
	if l.rate <= 0 {
		return end
	}
	allowed := rateGrace + time.Duration(float64(received)/float64(l.rate)*float64(time.Second))
	if allowed < l.timeout {
		return start.Add(allowed)
	}
	return end
}

func firstChunk(announced int64) int64 {
	if announced > 0 && announced < FreeChunk {
		return announced + 1 // the end may be read separately
	}
	return FreeChunk
}

// nextChunk returns the size of the chunk that follows n others.
func nextChunk(n int) int {
	if n <= mediumChunks {
		return mediumChunk
	}
	return largeChunk
}
