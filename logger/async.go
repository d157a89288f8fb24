package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the number of lines that are buffered for a slow reader, about
	// 600 KB at 300 bytes per line.
	queueSize = 2048
	// closeTimeout bounds the time that Close waits for queued lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Async is an io.Writer that writes log lines from a background goroutine. When
// its queue is full, it drops and counts lines, so that a stalled reader of the
// log costs lines but does not block requests.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsync returns an Async that writes to out. Each call to Write must pass one
// whole line. The caller must call Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of a line. It never blocks and never returns an error.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close stops the writer. It waits up to closeTimeout for the queued lines to be
// written.
func (a *Async) Close() {
	close(a.stop)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.stop:
			a.flush()
			return
		}
	}
}

// flush writes the lines that are left in the queue.
func (a *Async) flush() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		default:
			return
		}
	}
}

func (a *Async) write(line []byte) {
	// There is nowhere to report a failure to write to the log.
	_, _ = a.out.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, `{"ts":%q,"component":"logger","event":"lines-dropped","count":%d,"reason":"the reader is slow"}`+"\n",
			utcNow().Format(time.RFC3339Nano), n)
	}
}
