package stresser_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// kind is a kind of clients that exceed the limits. send writes to the connection and
// returns when the client has sent what it sends, or cannot write. endless, if any, is
// then written again and again until the test ends.
type kind struct {
	name    string
	send    func(conn net.Conn, n int) error
	endless []byte
}

// Sizes of what clients send.
const (
	longHeader    = 60 << 10  // bytes
	missingBytes  = 50_000    // by which bodies are short of their end
	largeChunk    = 64 << 10  // bytes
	smallChunks   = 512 << 10 // chunks of one byte in a body
	slowPiece     = 64 << 10  // bytes that a slow client sends at once
	slowPause     = 30 * time.Millisecond
	endlessPause  = 10 * time.Millisecond
	writeDeadline = 15 * time.Second
	callTime      = 20 * time.Second
)

func requestHead(n int, fields string) []byte {
	call := emulator.NewCall(fmt.Sprint("client-", n), "h", "/post/x", "", callTime, "")
	return append(call.Head(), fields...)
}

// headerLines are field lines with short distinct names, which take far more memory
// than bytes on the connection.
func headerLines(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.Bytes()
}

func write(conn net.Conn, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := conn.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// kinds returns the kinds of clients. What they send is built once.
func kinds(bodyBytes int) []kind {
	header := headerLines(longHeader)
	body := bytes.Repeat([]byte("b"), bodyBytes-missingBytes)
	chunk := append(fmt.Appendf(nil, "%x\r\n", largeChunk), bytes.Repeat([]byte("c"), largeChunk)...)
	chunk = append(chunk, "\r\n"...)
	chunks := bytes.Repeat(chunk, bodyBytes/largeChunk)
	small := bytes.Repeat([]byte("1\r\nd\r\n"), smallChunks)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return []kind{
		{name: "headers", send: func(conn net.Conn, n int) error { return write(conn, requestHead(n, ""), header) }},
		{
			name: "endless headers", send: func(conn net.Conn, n int) error { return write(conn, requestHead(n, "")) },
			endless: header[:4<<10],
		},
		{
			name: "empty lines", send: func(net.Conn, int) error { return nil },
			endless: []byte(strings.Repeat("\r\n", 2<<10)),
		},
		{name: "bodies", send: func(conn net.Conn, n int) error {
			if err := write(conn, requestHead(n, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))); err != nil {
				return err
			}
			if n%2 == 0 {
				return write(conn, body)
			}
			for rest := body; len(rest) > 0; {
				piece := rest[:min(slowPiece, len(rest))]
				if err := write(conn, piece); err != nil {
					return err
				}
				rest = rest[len(piece):]
				time.Sleep(slowPause)
			}
			return nil
		}},
		{name: "large chunks", send: func(conn net.Conn, n int) error { return write(conn, requestHead(n, chunked), chunks) }},
		{name: "small chunks", send: func(conn net.Conn, n int) error { return write(conn, requestHead(n, chunked), small) }},
	}
}

// clients are connections of clients that exceed the limits. None connects again.
type clients struct{ running, sending sync.WaitGroup }

// start starts n clients of a kind, which keep their connections open until ctx ends or
// the host closes them.
func (c *clients) start(ctx context.Context, k kind, address string, n int) {
	for i := range n {
		c.sending.Add(1)
		c.running.Go(func() {
			var sent sync.Once
			done := func() { sent.Do(c.sending.Done) }
			defer done()
			conn, err := net.DialTimeout("tcp", address, writeDeadline)
			if err != nil {
				return // the host refuses the connection, which it may do
			}
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_ = conn.SetWriteDeadline(time.Now().Add(writeDeadline))
			err = k.send(conn, i)
			for range 20 { // at least 20 times what is written without an end
				if err == nil && len(k.endless) > 0 {
					err = write(conn, k.endless)
				}
			}
			done()
			for err == nil && len(k.endless) > 0 && ctx.Err() == nil {
				time.Sleep(endlessPause)
				_ = conn.SetWriteDeadline(time.Now().Add(writeDeadline))
				err = write(conn, k.endless)
			}
			<-ctx.Done()
		})
	}
}
