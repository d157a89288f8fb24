package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader. At some 300 bytes a
	// line it is about 600 KB.
	queuedLines = 2048
	// closeTime bounds the wait for the last lines of a process.
	closeTime = 500 * time.Millisecond
)

// Async writes lines in the background. Lines that find the queue full are
// dropped and counted, so that a reader that stalls costs lines and no requests.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewAsync returns a writer of whole lines to out. Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line. It never blocks.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits a short time for the queued lines.
func (a *Async) Close() {
	close(a.stop)
	select {
	case <-a.done:
	case <-time.After(closeTime):
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.stop:
			a.rest()
			return
		}
	}
}

// rest writes the lines that are queued.
func (a *Async) rest() {
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
	// A line that cannot be written has nowhere to be reported.
	_, _ = a.out.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, `{"ts":%q,"component":"logger","event":"lines-dropped","count":%d,"reason":"the reader is slow"}`+"\n",
			utcNow().Format(time.RFC3339Nano), n)
	}
}
