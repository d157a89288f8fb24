package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	readBuffer  = 4 << 10 // bytes; a header and several stream events fit
	writeBuffer = 4 << 10 // bytes
	// Bodies of up to maxSyncBody bytes are written before the response is read.
	// They fit into the socket buffers, so that an endpoint that responds early
	// cannot block the write.
	maxSyncBody = 16 << 10
	// idleMargin is subtracted from an endpoint's idle timeout, so that no call
	// is sent on a connection while the endpoint closes it.
	idleMargin = 500 * time.Millisecond
)

// Do sends a call to an endpoint and returns once the header of the response
// has been read. Connections that were idle for longer than maxIdle are not
// reused; limit bounds the open ones. The error is a *CallError. After Do has
// returned an answer, reads of its body fail when ctx is done.
func (c *Client) Do(ctx context.Context, e *tracker.Endpoint, out *Outbound, maxIdle time.Duration, limit int) (*Answer, error) {
	conn, p, err := c.take(ctx, e, out.call.ID(), maxIdle, limit)
	if err != nil {
		out.begin()
		return nil, NewCallError(false, err)
	}
	x := &exchange{conn: conn, pool: p, endpoint: e, begunAt: time.Now(), written: make(chan struct{})}
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	e.Begin()
	out.begin()
	answer, err := x.run(c.dialect, out)
	if err != nil {
		x.finish(false)
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, NewCallError(x.sent.Load(), err)
	}
	return answer, nil
}

// exchange is a call on a connection.
type exchange struct {
	conn        *connection
	pool        *pool
	endpoint    *tracker.Endpoint
	begunAt     time.Time
	ran         bool // the endpoint answered without a refusal or an error of its own
	stopAbort   func() bool
	sent        atomic.Bool
	written     chan struct{} // closed when the write has ended
	writeErr    error         // result of the write; valid after written is closed
	finishOnce  sync.Once
	idleTimeout time.Duration
	closeAfter  bool
}

// abort makes pending and later reads and writes fail. The connection is closed
// by finish.
func (x *exchange) abort() { _ = x.conn.SetDeadline(time.Unix(1, 0)) }

func (x *exchange) run(d Dialect, out *Outbound) (*Answer, error) {
	req, err := newRequest(d, out)
	if err != nil {
		return nil, err
	}
	if out.call.BodyLength() <= maxSyncBody {
		x.write(req)
		if x.writeErr != nil {
			return nil, x.writeErr
		}
	} else {
		go x.write(req)
	}
	return x.read(d, req, out.call.ID())
}

func newRequest(d Dialect, out *Outbound) (*http.Request, error) {
	call := out.call
	req := &http.Request{
		Method: call.Method(),
		URL:    &url.URL{Opaque: call.Target()},
		Host:   call.Host(),
		Header: d.Header(out),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: call.BodyLength(),
	}
	if call.BodyLength() > 0 {
		req.Body = io.NopCloser(call.NewBodyReader())
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	return req, nil
}

// sentRecorder writes to the connection and records that bytes may have been
// sent.
type sentRecorder struct{ x *exchange }

func (r sentRecorder) Write(b []byte) (int, error) {
	r.x.sent.Store(true)
	return r.x.conn.Write(b)
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

func (x *exchange) write(req *http.Request) {
	defer close(x.written)
	w := writers.Get().(*bufio.Writer)
	w.Reset(sentRecorder{x})
	defer func() {
		w.Reset(nil) // releases the reference to the exchange
		writers.Put(w)
	}()
	if err := req.Write(w); err != nil {
		x.writeErr = fmt.Errorf("write call: %w", err)
		return
	}
	if err := w.Flush(); err != nil {
		x.writeErr = fmt.Errorf("write call: %w", err)
	}
}

// finish returns the connection to the pool if the call and the response are
// complete and no other data has arrived; otherwise it closes the connection.
func (x *exchange) finish(complete bool) {
	x.finishOnce.Do(func() {
		x.endpoint.End()
		if complete && x.ran {
			x.endpoint.Completed(time.Since(x.begunAt))
		}
		active := x.stopAbort()
		if !complete || !active || x.closeAfter || !x.writeComplete() || x.conn.reader.Buffered() > 0 {
			x.pool.discard(x.conn)
			return
		}
		idleTimeout := defaultIdleTimeout
		if x.idleTimeout > 0 {
			idleTimeout = max(x.idleTimeout-idleMargin, x.idleTimeout/2)
		}
		now := time.Now()
		x.conn.used = true
		x.conn.idleSince, x.conn.idleUntil = now, now.Add(idleTimeout)
		x.pool.push(x.conn)
	})
}

// writeComplete reports whether the whole call was written. An endpoint that
// responded early would read the next call as the rest of this one.
func (x *exchange) writeComplete() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// awaitWrite waits until the write of the call has ended and returns its error. The write
// ends at the latest with the context of the call.
func (x *exchange) awaitWrite() error {
	<-x.written
	return x.writeErr
}
