package collector_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/collector"
	"github.com/dragonflyford/dragonflyford/reserver"
)

func limits(bytes int64, timeout time.Duration) func() collector.Limits {
	return func() collector.Limits { return collector.NewLimits(bytes, timeout, 0) }
}

func collect(c *collector.Collector, body io.Reader) (*collector.Body, error) {
	return c.Collect(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", body))
}

// Guards against bodies that are altered or refused at the bounds of their chunks and of
// their limit, with and without an announced length, and against memory that is not
// returned.
func TestSizes(t *testing.T) {
	is := is.New(t)
	const largest = 300_000
	budget := reserver.New(1<<20, 0, 0)
	c := collector.New(budget, limits(largest, time.Minute), func() {})
	for _, n := range []int{0, 1, 4095, 4096, 4097, 20479, 20480, 53248, 53249, 118784, largest - 1, largest} {
		want := bytes.Repeat([]byte("xyz"), n/3+1)[:n]
		for _, r := range []io.Reader{bytes.NewReader(want), io.MultiReader(bytes.NewReader(want))} {
			b, err := collect(c, r)
			is.NoErr(err)
			is.True(bytes.Equal(bytes.Join(b.Chunks(), nil), want))
			is.True(n >= collector.FreeChunk || budget.Held() == 0)
			b.Release()
			is.Equal(budget.Held(), int64(0))
		}
	}
	for _, r := range []io.Reader{strings.NewReader(strings.Repeat("x", largest+1)), io.MultiReader(strings.NewReader(strings.Repeat("x", largest+1)))} {
		_, err := collect(c, r)
		is.True(errors.Is(err, collector.ErrTooLong))
		is.Equal(budget.Held(), int64(0))
	}
	_, err := collect(c, io.MultiReader(strings.NewReader("x"), failingReader{}))
	is.True(errors.Is(err, collector.ErrUnreadable))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("read failed") }

// Guards against bodies that take more than the budget, and against an announced length
// that takes memory.
func TestBudget(t *testing.T) {
	is := is.New(t)
	budget := reserver.New(200_000, 50_000, 64<<10)
	exhausted := 0
	c := collector.New(budget, limits(1<<20, time.Minute), func() { exhausted++ })
	first, err := collect(c, bytes.NewReader(make([]byte, 100_000)))
	is.NoErr(err)
	_, err = collect(c, bytes.NewReader(make([]byte, 500_000)))
	is.True(errors.Is(err, collector.ErrNoMemory))
	is.Equal(exhausted, 1)
	small, err := collect(c, bytes.NewReader(make([]byte, 30_000)))
	is.NoErr(err)
	first.Release()
	small.Release()
	is.Equal(budget.Held(), int64(0))
	_, err = collect(c, bytes.NewReader(make([]byte, 4000)))
	is.NoErr(err)
}

// Guards against a stalled body that holds its memory until its time is over while other
// bodies are refused, against one that is never ended, and against a refusal that interrupts
// more than one.
func TestStalledBodies(t *testing.T) {
	const bodyTimeout = 3 * time.Second
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	forever := func() time.Duration { return time.Minute }
	accept := acceptor.New(l, acceptor.NewLimits(10, func() int { return 1000 }, forever, forever), reserver.New(1<<20, 0, 0), func(acceptor.Cause) {})
	budget := reserver.New(60_000, 0, 0)
	var released atomic.Int32
	c := collector.New(budget, limits(1<<20, bodyTimeout), func() {
		released.Add(1)
		accept.ReleaseStalled()
	})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := c.Collect(w, r)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
			acceptor.FromContext(r.Context()).Linger()
			return
		}
		b.Release()
	})}
	accept.Attach(s)
	go func() { _ = s.Serve(accept) }()
	defer func() { _ = s.Close() }()
	send := func(announced, sent int) net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
		is.NoErr(err)
		return conn
	}
	status := func(conn net.Conn) int {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		return resp.StatusCode
	}
	stalled := send(60_000, 40_000)
	for budget.Held() < 40_000 {
		time.Sleep(10 * time.Millisecond)
	}
	began := time.Now()
	time.Sleep(1100 * time.Millisecond)                                   // longer than a pause that counts as a stall
	is.Equal(status(send(40_000, 40_000)), http.StatusServiceUnavailable) // at once, and the stalled one is interrupted
	is.Equal(status(stalled), http.StatusServiceUnavailable)
	is.True(time.Since(began) < bodyTimeout)
	is.Equal(released.Load(), int32(1))
	is.Equal(status(send(40_000, 40_000)), http.StatusOK)
	is.Equal(status(send(60_000, 100)), http.StatusServiceUnavailable) // after its time
	is.Equal(budget.Held(), int64(0))
}
