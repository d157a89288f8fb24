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
	maxEvent  = 64 << 10               // bytes of one line
	eventSize = 1 << 10                // bytes that a stream reads ahead at first
	drainTime = 100 * time.Millisecond // to read the end of a complete answer
)

var dataField = []byte("data:")

// httpStream reads server-sent events. Generate's context ends it.
type httpStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	reader *bufio.Reader
	long   []byte // a line that exceeds the reader's buffer
	event  EventDocument
	last   bool
	err    error
	once   sync.Once
}

func newHTTPStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser) *httpStream {
	return &httpStream{ctx: ctx, cancel: cancel, body: body, reader: bufio.NewReaderSize(body, eventSize)}
}

// Next returns the next token. The end of its context ends the whole stream,
// because a read cannot be taken up again.
func (s *httpStream) Next(ctx context.Context) (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	if s.reader.Buffered() == 0 && ctx.Done() != nil {
		defer context.AfterFunc(ctx, s.cancel)()
	}
	c, err := s.read()
	if err != nil {
		s.err = s.explain(ctx, err)
	}
	return c, s.err
}

// explain returns the reason for the end of the stream.
func (s *httpStream) explain(ctx context.Context, err error) error {
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

var errNoEnd = errors.New("stream ended before its end event")

// read returns the next event, and io.EOF only at the end event.
func (s *httpStream) read() (Chunk, error) {
	for {
		line, err := s.line()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return Chunk{}, errNoEnd
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

// line returns the next line. It is valid until the next call.
func (s *httpStream) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return part, nil
		}
		s.long = append(s.long, part...)
		switch {
		case err == nil:
			return s.long, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("read line: %w", err)
		case len(s.long) > maxEvent:
			return nil, fmt.Errorf("event is longer than %d bytes", maxEvent)
		}
	}
}

func (s *httpStream) decode(data []byte) (Chunk, error) {
	// The decoder keeps what it does not find in the elements that it reuses.
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

// Close ends the stream. A complete answer leaves its connection for the next
// job; otherwise the connection is closed, which cancels the job.
func (s *httpStream) Close() error {
	s.once.Do(func() {
		if s.last || errors.Is(s.err, io.EOF) {
			timer := time.AfterFunc(drainTime, s.cancel)
			_, _ = io.CopyN(io.Discard, s.body, maxEvent)
			timer.Stop()
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
