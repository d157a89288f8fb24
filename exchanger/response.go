package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/transporter"
)

const (
	// maxResponses bounds the responses that are read for a call, including
	// interim ones and those to earlier calls on the connection, which are
	// skipped. maxSkippedBody bounds the body of a skipped response.
	maxResponses   = 4
	maxSkippedBody = 1 << 20 // bytes
	// maxHead bounds the head of a response, including those of interim responses
	// before it.
	maxHead = 32 << 10 // bytes
)

var (
	errWrongCall = eris.New("connection received responses to other calls")
	errUnsigned  = eris.New("response has no signature")
	errNoID      = eris.New("response has no call id")
)

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
		return fmt.Errorf("%w: %w", errWrongCall, wrapFieldError(err))
	}
	if n == maxSkippedBody || isUnframed(resp) {
		return errWrongCall // too long, or delimited only by the end of the connection
	}
	return checkTrailer(resp)
}

// checkTrailer returns an error if the trailer of a response that was read to its end is
// malformed.
func checkTrailer(resp *http.Response) error {
	if err := transporter.CheckFields(resp.Trailer); err != nil {
		return fmt.Errorf("read trailer: %w", err)
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
	if err := checkTrailer(b.response); err != nil {
		return err
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
