package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	readBuffer  = 4 << 10 // bytes; holds a header and several events
	writeBuffer = 4 << 10 // bytes
	// smallBody is written before the answer is read; it fits into the socket
	// buffers, so that an endpoint that answers early cannot block the write.
	smallBody = 16 << 10
	// maxForeign bounds the answers to other calls that are skipped on a
	// connection.
	maxForeign     = 4
	maxForeignBody = 1 << 20 // bytes
	// idleMargin is taken off the time for which an endpoint keeps an idle
	// connection, so that a call does not cross its close.
	idleMargin = 500 * time.Millisecond
)

var (
	errForeign  = eris.New("connection carries answers to other calls")
	errUnsigned = eris.New("answer is not signed")
	errNoID     = eris.New("answer does not name its call")
)

// Do sends a call to an endpoint and returns the head of the answer. Connections
// that were idle for longer than maxIdle are not used; limit bounds the open
// ones. The error is a *CallError. Once Do has returned an answer, the end of ctx
// breaks its body.
func (c *Client) Do(ctx context.Context, e *tracker.Endpoint, out *Outbound, maxIdle time.Duration, limit int) (*Answer, error) {
	l, p, err := c.take(ctx, e, maxIdle, limit)
	if err != nil {
		return nil, NewCallError(false, err)
	}
	x := &exchange{link: l, pool: p, endpoint: e, written: make(chan struct{})}
	x.unwatch = context.AfterFunc(ctx, x.abort)
	e.Begin()
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

// exchange is one call on one connection.
type exchange struct {
	link     *link
	pool     *pool
	endpoint *tracker.Endpoint
	unwatch  func() bool
	sent     atomic.Bool
	written  chan struct{} // closed when the whole call is written
	failed   error         // of the write; read after written is closed
	once     sync.Once
	idle     time.Duration
	close    bool
}

// abort makes reads and writes fail. The connection is closed by finish.
func (x *exchange) abort() { _ = x.link.SetDeadline(time.Unix(1, 0)) }

func (x *exchange) run(d Dialect, out *Outbound) (*Answer, error) {
	req, err := newRequest(d, out)
	if err != nil {
		return nil, err
	}
	if len(out.call.Body()) <= smallBody {
		x.write(req)
		if x.failed != nil {
			return nil, x.failed
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
		ContentLength: int64(len(call.Body())),
	}
	if len(call.Body()) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body()))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // otherwise the library adds its own
	}
	return req, nil
}

// marker notes that a write reached the connection.
type marker struct{ x *exchange }

func (m marker) Write(b []byte) (int, error) {
	m.x.sent.Store(true)
	return m.x.link.Write(b)
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

func (x *exchange) write(req *http.Request) {
	defer close(x.written)
	w := writers.Get().(*bufio.Writer)
	w.Reset(marker{x})
	defer func() {
		w.Reset(nil) // drops the exchange
		writers.Put(w)
	}()
	if err := req.Write(w); err != nil {
		x.failed = fmt.Errorf("write call: %w", err)
		return
	}
	if err := w.Flush(); err != nil {
		x.failed = fmt.Errorf("write call: %w", err)
	}
}

// read returns the answer that names the call. Answers to earlier calls may come
// before it.
func (x *exchange) read(d Dialect, req *http.Request, id string) (*Answer, error) {
	for range maxForeign {
		resp, err := http.ReadResponse(x.link.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta := d.Meta(resp.StatusCode, resp.Header)
		if meta.attempt != "" && meta.attempt != id {
			if err := skip(resp); err != nil {
				return nil, err
			}
			x.close = true
			continue
		}
		return x.accept(resp, meta)
	}
	return nil, errForeign
}

// skip reads the body of an answer to another call.
func skip(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
	if err != nil {
		return fmt.Errorf("%w: %w", errForeign, err)
	}
	if n == maxForeignBody || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errForeign // its end cannot be told from the next answer
	}
	return nil
}

func (x *exchange) accept(resp *http.Response, meta Meta) (*Answer, error) {
	success := resp.StatusCode < http.StatusMultipleChoices
	switch {
	case success && meta.attempt == "":
		return nil, errNoID
	case success && !meta.complete:
		return nil, errUnsigned
	}
	x.idle = meta.idle
	x.close = x.close || resp.Close
	if meta.loaded {
		x.endpoint.RecordLoad(meta.running, meta.waiting)
	}
	return NewAnswer(resp.StatusCode, resp.Header, meta, &body{exchange: x, inner: resp.Body}, resp.ContentLength), nil
}

// finish gives the connection back, or closes it unless the answer is whole and
// nothing else is due on it.
func (x *exchange) finish(whole bool) {
	x.once.Do(func() {
		x.endpoint.End()
		live := x.unwatch()
		if !whole || !live || x.close || !x.complete() || x.link.reader.Buffered() > 0 {
			x.pool.discard(x.link)
			return
		}
		keep := defaultIdle
		if x.idle > 0 {
			keep = max(x.idle-idleMargin, x.idle/2)
		}
		now := time.Now()
		x.link.since, x.link.until = now, now.Add(keep)
		x.pool.push(x.link)
	})
}

// complete reports whether the call was written whole. An endpoint that answered
// early would read the next call as the rest of this one.
func (x *exchange) complete() bool {
	select {
	case <-x.written:
		return x.failed == nil
	default:
		return false
	}
}

// body is the body of an answer.
type body struct {
	exchange *exchange
	inner    io.Reader
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err != nil {
		b.exchange.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the exchange. An answer that was not read to its end is given up.
func (b *body) Close() error {
	b.exchange.finish(false)
	return nil
}
