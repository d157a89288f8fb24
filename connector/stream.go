package connector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxLineBytes       = 64 << 10               // maximum length of one line
	initialBufferBytes = 1 << 10                // initial size of the read buffer
	drainTimeout       = 100 * time.Millisecond // to read the end of a complete response
)

var dataField = []byte("data:")

// httpStream reads server-sent events. It ends with the context of Generate.
type httpStream struct {
	ctx       context.Context
	cancel    context.CancelFunc
	body      io.ReadCloser
	reader    *bufio.Reader
	longLine  []byte // a line that exceeds the buffer of reader
	event     EventDocument
	last      bool
	err       error
	closeOnce sync.Once
}

func newHTTPStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser) *httpStream {
	return &httpStream{ctx: ctx, cancel: cancel, body: body, reader: bufio.NewReaderSize(body, initialBufferBytes)}
}

// Next returns the next token. The end of its context ends the whole stream,
// because an interrupted read cannot be resumed.
func (s *httpStream) Next(ctx context.Context) (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	if s.reader.Buffered() == 0 && ctx.Done() != nil {
		defer context.AfterFunc(ctx, s.cancel)()
	}
	c, err := s.readEvent()
	if err != nil {
		s.err = s.wrapError(ctx, err)
	}
	return c, s.err
}

// wrapError returns the error that ends the stream. The error of an ended
// context takes precedence over that of the read.
func (s *httpStream) wrapError(ctx context.Context, err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	for _, c := range []context.Context{ctx, s.ctx} {
		if c.Err() != nil {
			return fmt.Errorf("read event: %w", c.Err())
		}
	}
	return fmt.Errorf("read event: %w: %w", ErrBroken, err)
}

var errNoEndEvent = errors.New("stream ended before its end event")

// readEvent returns the next event, and io.EOF only at the end event.
func (s *httpStream) readEvent() (Chunk, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return Chunk{}, errNoEndEvent
			}
			return Chunk{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneEvent {
			return Chunk{}, io.EOF
		}
		return s.decode(data)
	}
}

// readLine returns the next line. It is valid until the next call.
func (s *httpStream) readLine() ([]byte, error) {
	s.longLine = s.longLine[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.longLine) == 0 {
			return part, nil
		}
		s.longLine = append(s.longLine, part...)
		switch {
		case err == nil:
			return s.longLine, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("read line: %w", err)
		case len(s.longLine) > maxLineBytes:
			return nil, fmt.Errorf("event exceeds %d bytes", maxLineBytes)
		}
	}
}

func (s *httpStream) decode(data []byte) (Chunk, error) {
	// json.Unmarshal does not reset fields of reused slice elements that are
	// missing from the input.
	clear(s.event.Choices)
	s.event = EventDocument{Choices: s.event.Choices[:0]}
	if err := json.Unmarshal(data, &s.event); err != nil {
		return Chunk{}, fmt.Errorf("decode event: %w", err)
	}
	c, err := DecodeChunk(&s.event)
	if err != nil {
		return Chunk{}, err
	}
	s.last = c.last
	return c, nil
}

// Close ends the stream. After a complete response, the connection is kept for
// the next job; otherwise it is closed, which cancels the job.
func (s *httpStream) Close() error {
	s.closeOnce.Do(func() {
		if s.last || errors.Is(s.err, io.EOF) {
			timer := time.AfterFunc(drainTimeout, s.cancel)
			_, _ = io.CopyN(io.Discard, s.body, maxLineBytes)
			timer.Stop()
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
