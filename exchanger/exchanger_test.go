package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// dialect is a minimal endpoint protocol.
type dialect struct{}

func (dialect) Header(o *exchanger.Outbound) http.Header {
	return http.Header{"Id": {o.Call().ID()}}
}

func (dialect) Meta(_ int, h http.Header) exchanger.Meta {
	return exchanger.NewMeta(h.Get("Id"), h.Get("Refused") != "", h.Get("Signed") != "")
}

// peer is an endpoint whose responses are written by a function as raw bytes. It
// counts its connections and records the ids of the calls on them.
type peer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	calls    []string
}

// serve responds to the n-th call on a connection. If it returns false, the
// connection is closed.
type serve func(w net.Conn, id string, n int) bool

func newPeer(t testing.TB, s serve) (*peer, *tracker.Endpoint) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			go p.serve(c, s)
		}
	}()
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "svc", l.Addr().String(), "z", 4, false, 1, nil))
	return p, fleet.Current().Endpoint("e1")
}

func (p *peer) serve(c net.Conn, s serve) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		p.mu.Lock()
		p.calls = append(p.calls, id)
		p.mu.Unlock()
		if req.ContentLength <= 1<<16 {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if !s(c, id, n) {
			return
		}
	}
}

func (p *peer) counts() (conns, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns, len(p.calls)
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func write(w net.Conn, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func reset(w net.Conn) bool {
	_ = w.(*net.TCPConn).SetLinger(0)
	return false
}

type outcome struct {
	body string
	err  error
	sent bool
}

func do(t *testing.T, c *exchanger.Client, e *tracker.Endpoint, id, body string) outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	call := router.NewCall(id, "POST", "h", "/x", "/x?y=1", http.Header{}, []byte(body))
	a, err := c.Do(ctx, e, exchanger.NewOutbound(call, e.ID(), time.Now().Add(time.Second)), time.Minute, 10)
	if err != nil {
		var f *exchanger.CallError
		if !errors.As(err, &f) {
			t.Fatalf("error %T is not a *exchanger.CallError", err)
		}
		return outcome{err: err, sent: f.Sent()}
	}
	defer func() { _ = a.Body().Close() }()
	data, err := io.ReadAll(a.Body())
	return outcome{body: string(data), err: err, sent: true}
}

// Guards against accepting a response that is truncated, unsigned or not for
// the call.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name  string
		serve serve
		want  string
		fails bool
	}{
		{"complete", func(w net.Conn, id string, _ int) bool { return write(w, reply(id, "good")) }, "good", false},
		{"preceded by a late response to another call", func(w net.Conn, id string, _ int) bool {
			return write(w, reply("other", "bad")+reply(id, "good"))
		}, "good", false},
		{"response to another call only", func(w net.Conn, _ string, _ int) bool { return write(w, reply("other", "bad")) && reset(w) }, "", true},
		{"truncated header", func(w net.Conn, id string, _ int) bool { return write(w, reply(id, "good")[:50]) && false }, "", true},
		{"truncated body", func(w net.Conn, id string, _ int) bool {
			return write(w, strings.TrimSuffix(reply(id, "good"), "od")) && false
		}, "go", true},
		{"last chunk missing", func(w net.Conn, id string, _ int) bool {
			return write(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n") && false
		}, "good", true},
		{"no length and closed", func(w net.Conn, id string, _ int) bool {
			return write(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSigned: 1\r\n\r\ngood") && false
		}, "good", false},
		{"no length and reset", func(w net.Conn, id string, _ int) bool {
			ok := write(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSigned: 1\r\n\r\ngood")
			time.Sleep(50 * time.Millisecond)
			return ok && reset(w)
		}, "good", true},
		{"not signed", func(w net.Conn, id string, _ int) bool {
			return write(w, strings.Replace(reply(id, "bad"), "Signed: 1\r\n", "", 1))
		}, "", true},
		{"no id", func(w net.Conn, id string, _ int) bool {
			return write(w, strings.Replace(reply(id, "bad"), "Id: "+id+"\r\n", "", 1))
		}, "", true},
		{"no HTTP", func(w net.Conn, _ string, _ int) bool { return write(w, "garbage\r\n\r\n") }, "", true},
		{"interim response", func(w net.Conn, id string, _ int) bool {
			return write(w, "HTTP/1.1 103 Early Hints\r\n\r\n"+reply(id, "good"))
		}, "good", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, e := newPeer(t, tt.serve)
			c := exchanger.New(dialect{})
			defer c.Close()
			got := do(t, c, e, "call-1", "body")
			is.Equal(got.err != nil, tt.fails)
			is.Equal(got.body, tt.want)
			is.True(got.sent)
			_, calls := p.counts()
			is.Equal(calls, 1) // a call is never sent twice
		})
	}
}

// endless serves the beginning of a response and then a piece of it again and again,
// until the client closes the connection.
func endless(begin, piece string) serve {
	block := []byte(strings.Repeat(piece, 1+(32<<10)/len(piece))) // shared, so that the peers need little memory
	return func(w net.Conn, id string, _ int) bool {
		_ = write(w, strings.ReplaceAll(begin, "ID", id))
		for {
			if _, err := w.Write(block); err != nil {
				return false
			}
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n"

// endlessHeads are responses of which the head never ends.
var endlessHeads = []struct {
	name  string
	serve serve
}{
	{"status line", endless("HTTP/1.1 200 ", "x")},
	{"no line at all", endless("", "x")},
	{"empty lines", endless("", "\r\n")},
	{"header line", endless(okHead+"Field: ", "x")},
	{"header field name", endless(okHead, "x")},
	{"header", endless(okHead, "Field: x\r\n")},
	{"continued header line", endless(okHead+"Field: x\r\n", " x\r\n")},
	{"interim responses", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n")},
	{"header of an interim response", endless("HTTP/1.1 103 Early Hints\r\n", "Field: x\r\n")},
	{"responses to other calls", endless("", "HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 1\r\n\r\nx")},
	{"body of a response to another call", endless("HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nContent-Length: 100000000000\r\n\r\n", "x")},
}

// Guards against an endpoint that sends bytes without end in place of an answer: the
// call must fail long before its deadline, and the bytes must not be kept.
func TestBytesWithoutEnd(t *testing.T) {
	tests := append(slices.Clone(endlessHeads),
		[]struct {
			name  string
			serve serve
		}{
			{"trailer", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", "Field: x\r\n")},
			{"chunk extension", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n4;", "x")},
			{"empty chunk extensions", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 900)+"\r\nx\r\n")},
		}...)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, e := newPeer(t, tt.serve)
			c := exchanger.New(dialect{})
			defer c.Close()
			began := time.Now()
			got := do(t, c, e, "call-1", "body")
			took := time.Since(began)
			t.Logf("the call took %s: %v", took, got.err)
			is.True(got.err != nil)
			is.True(got.sent)
			is.True(!errors.Is(got.err, context.DeadlineExceeded))
			is.True(took < time.Second)
			is.Equal(e.Outstanding(), 0)
		})
	}
}

// Guards against one endpoint that exhausts the memory of a host: 200 calls at once
// that get bytes without end must leave most of the memory of the smallest hosts.
func TestMemoryOfBytesWithoutEnd(t *testing.T) {
	const calls, allowed = 200, 64 << 20 // bytes
	bodies := append(slices.Clone(endlessHeads), []struct {
		name  string
		serve serve
	}{
		{"buffered body", endless(okHead+"Content-Length: 100000000000\r\n\r\n", "x")},
		{"buffered body in chunks", endless(okHead+"Transfer-Encoding: chunked\r\n\r\n", "4\r\ngood\r\n")},
	}...)
	for _, tt := range bodies {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, e := newPeer(t, tt.serve)
			c := exchanger.New(dialect{})
			defer c.Close()
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var running sync.WaitGroup
			for i := range calls {
				running.Go(func() { bufferAndHold(ctx, c, e, fmt.Sprint("call-", i)) })
			}
			peak := uint64(0)
			for ctx.Err() == nil {
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapInuse)
				time.Sleep(50 * time.Millisecond)
			}
			running.Wait()
			is.True(peak < before.HeapInuse+allowed)
		})
	}
}

// bufferAndHold makes a call, buffers its body, and holds it until ctx ends.
func bufferAndHold(ctx context.Context, c *exchanger.Client, e *tracker.Endpoint, id string) {
	call := router.NewCall(id, "POST", "h", "/x", "/x", http.Header{}, nil)
	a, err := c.Do(ctx, e, exchanger.NewOutbound(call, e.ID(), time.Now().Add(time.Second)), time.Minute, 1000)
	if err != nil {
		return
	}
	defer func() { _ = a.Body().Close() }()
	if a.Buffer(exchanger.MaxBuffered) == nil {
		<-ctx.Done()
	}
}

// Guards against data of one call that is read as part of the next call on the
// connection.
func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		serve serve
		body  string
		conns int
	}{
		{"connection reused", func(w net.Conn, id string, _ int) bool { return write(w, reply(id, id)) }, "", 1},
		{"bytes after the response", func(w net.Conn, id string, _ int) bool { return write(w, reply(id, id)+"more") }, "", 3},
		{"second response later", func(w net.Conn, id string, _ int) bool {
			ok := write(w, reply(id, id))
			time.Sleep(20 * time.Millisecond)
			return ok && write(w, reply(id, "again"))
		}, "", 3},
		{"closed while idle", func(w net.Conn, id string, _ int) bool { return write(w, reply(id, id)) && false }, "", 3},
		{"close requested", func(w net.Conn, id string, _ int) bool {
			return write(w, strings.Replace(reply(id, id), "Id:", "Connection: close\r\nId:", 1))
		}, "", 3},
		{"response before a long body was read", func(w net.Conn, id string, _ int) bool {
			ok := write(w, reply(id, id))
			time.Sleep(200 * time.Millisecond)
			return ok && false
		}, strings.Repeat("x", 8<<20), 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, e := newPeer(t, tt.serve)
			c := exchanger.New(dialect{})
			defer c.Close()
			for i := range 3 {
				id := fmt.Sprint("call-", i)
				got := do(t, c, e, id, tt.body)
				is.NoErr(got.err)
				is.Equal(got.body, id)
				time.Sleep(50 * time.Millisecond)
			}
			conns, calls := p.counts()
			is.Equal(calls, 3)
			is.Equal(conns, tt.conns)
		})
	}
}

// Guards against a call that is reported as sent although no connection was made.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	p, e := newPeer(t, nil)
	_ = p.listener.Close()
	c := exchanger.New(dialect{})
	defer c.Close()
	got := do(t, c, e, "call-1", "")
	is.True(got.err != nil)
	is.True(!got.sent)
	is.Equal(e.Outstanding(), 0)
}

// Guards against work that continues at an endpoint after the caller has
// canceled.
func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	closed := make(chan time.Time, 1)
	_, e := newPeer(t, func(w net.Conn, id string, _ int) bool {
		_ = write(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n")
		_, _ = w.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	c := exchanger.New(dialect{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	call := router.NewCall("call-1", "GET", "h", "/x", "/x", http.Header{}, nil)
	a, err := c.Do(ctx, e, exchanger.NewOutbound(call, e.ID(), time.Now().Add(time.Minute)), time.Minute, 10)
	is.NoErr(err)
	canceledAt := time.Now()
	cancel()
	_, err = io.ReadAll(a.Body())
	is.True(err != nil)
	is.NoErr(a.Body().Close())
	is.True((<-closed).Sub(canceledAt) < 500*time.Millisecond)
	is.Equal(e.Outstanding(), 0)
}

// Guards against opening more connections to an endpoint than this host's share.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	defer close(hold)
	_, e := newPeer(t, func(net.Conn, string, int) bool { <-hold; return false })
	c := exchanger.New(dialect{})
	defer c.Close()
	call := router.NewCall("call-1", "GET", "h", "/x", "/x", http.Header{}, nil)
	for range 2 {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _ = c.Do(ctx, e, exchanger.NewOutbound(call, "e1", time.Now().Add(time.Second)), time.Minute, 2)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	_, err := c.Do(t.Context(), e, exchanger.NewOutbound(call, "e1", time.Now().Add(time.Second)), time.Minute, 2)
	is.True(exchanger.IsConnectionLimit(err))
}
