package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/tracker"
	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	readBuffer  = 4 << 10 // bytes; a header and several stream events fit
	writeBuffer = 4 << 10 // bytes
	// Bodies of up to maxSyncBody bytes are written before the response is read.
	// They fit into the socket buffers, so that an endpoint that responds early
	// cannot block the write.
	maxSyncBody = 16 << 10
	// maxResponses bounds the responses that are read for a call, including
	// interim ones and those to earlier calls on the connection, which are
	// skipped. maxSkippedBody bounds the body of a skipped response.
	maxResponses   = 4
	maxSkippedBody = 1 << 20 // bytes
	// maxHead bounds the head of a response, including those of interim responses
	// before it.
	maxHead = 32 << 10 // bytes
	// idleMargin is subtracted from an endpoint's idle timeout, so that no call
	// is sent on a connection while the endpoint closes it.
	idleMargin = 500 * time.Millisecond
)

var (
	errWrongCall = eris.New("connection received responses to other calls")
	errUnsigned  = eris.New("response has no signature")
	errNoID      = eris.New("response has no call id")
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

// read returns the response that carries the call's id. Responses to earlier
// calls on the connection may precede it.
func (x *exchange) read(d Dialect, req *http.Request, id string) (*Answer, error) {
	x.conn.source.bound(maxHead)
	defer x.conn.source.unbound()
	for range maxResponses {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", x.headError(err))
		}
		if err := transporter.CheckHead(resp.StatusCode, resp.Header); err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta := d.Meta(resp.StatusCode, resp.Header)
		if meta.attempt != "" && meta.attempt != id {
			x.conn.source.unbound()
			if err := discardBody(resp); err != nil {
				return nil, err
			}
			x.conn.source.bound(maxHead)
			x.closeAfter = true
			continue
		}
		return x.accept(resp, meta, id)
	}
	return nil, errWrongCall
}

// headError returns the error of a head that net/http could not read. A head that was cut
// off may end inside a field and is not malformed.
func (x *exchange) headError(err error) error {
	if x.conn.source.ended {
		return err
	}
	return wrapFieldError(err)
}

// wrapFieldError adds transporter.ErrField to an error of net/http that reports a malformed
// field.
func wrapFieldError(err error) error {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return fmt.Errorf("%w: %w", transporter.ErrField, err)
	}
	return err
}

// discardBody reads the body of a response to another call.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
	if err != nil {
		return fmt.Errorf("%w: %w", errWrongCall, err)
	}
	if n == maxSkippedBody || isUnframed(resp) {
		return errWrongCall // too long, or delimited only by the end of the connection
	}
	return nil
}

// isUnframed reports whether only the end of the connection ends the body of a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (x *exchange) accept(resp *http.Response, meta Meta, id string) (*Answer, error) {
	success := resp.StatusCode < http.StatusMultipleChoices
	switch {
	case meta.attempt == "" && (success || x.conn.used):
		return nil, errNoID // it may be an earlier response that was written once more
	case success && !meta.signed:
		return nil, errUnsigned
	}
	x.idleTimeout = meta.idleTimeout
	x.closeAfter = x.closeAfter || resp.Close
	x.ran = !meta.refused && resp.StatusCode < http.StatusInternalServerError
	x.endpoint.RecordAnswer(x.begunAt, meta.refused && resp.StatusCode == http.StatusServiceUnavailable, meta.load)
	if meta.refused {
		x.conn.refused = append(x.conn.refused, id)
		x.closeAfter = x.closeAfter || len(x.conn.refused) >= maxRefused
	}
	a := NewAnswer(resp.StatusCode, resp.Header, meta, &body{exchange: x, response: resp}, resp.ContentLength)
	if isUnframed(resp) {
		a = a.AsUnframed()
	}
	a.roundTrip = time.Duration(x.pool.roundTrip.Load())
	return a, nil
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

// body is the body of a response.
type body struct {
	exchange *exchange
	response *http.Response
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		err = b.checkEnd()
	default:
		err = wrapFieldError(err)
	}
	b.exchange.finish(errors.Is(err, io.EOF))
	return n, err
}

// checkEnd returns io.EOF if the body is complete. The kernel reports a reset of the
// connection only once: if the write of the call gets it, the read finds a proper end.
func (b *body) checkEnd() error {
	if err := transporter.CheckFields(b.response.Trailer); err != nil {
		return fmt.Errorf("read trailer: %w", err)
	}
	if !isUnframed(b.response) {
		return io.EOF
	}
	if err := b.exchange.awaitWrite(); err != nil {
		return fmt.Errorf("%w: %w", transporter.ErrEnd, err)
	}
	return io.EOF
}

// Close ends the exchange. It closes the connection unless the body was read to
// its end.
func (b *body) Close() error {
	b.exchange.finish(false)
	return nil
}
