package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/requester"
)

// newRawNode starts a node that answers each call with raw bytes once its head has been read.
// If it resets the connection, it does so at once.
func newRawNode(t *testing.T, answer string, resets bool) (address string) {
	t.Helper()
	server, err := emulator.NewRawServer(func(conn *net.TCPConn, req *http.Request) {
		if req.Method != http.MethodPost {
			return // the request for the entry addresses
		}
		_, _ = io.WriteString(conn, answer)
		if resets {
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// Guards against a broken answer that counts as one of a call which is done.
func TestBrokenAnswers(t *testing.T) {
	const uploadLength = 4 << 20 // bytes
	tests := []struct {
		name   string
		answer string
		resets bool
	}{
		{"reset beside the upload", "HTTP/1.1 200 OK\r\nX-Outcome: done\r\n\r\npart", true},
		{"status 000", "HTTP/1.1 000 x\r\nX-Outcome: done\r\nContent-Length: 4\r\n\r\nbody", false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nX-Outcome: done\r\nX : 1\r\nContent-Length: 4\r\n\r\nbody", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r := requester.New("ana", []string{newRawNode(t, tt.answer, tt.resets)}, 1, requester.WithAttempts(1))
			defer r.Close()
			for range 20 { // the head of the answer is not always read before the reset
				reply := r.Call(ctx, requester.NewCall("ledger", http.MethodPost, "/a", "key", make([]byte, uploadLength)))
				is.Equal(reply.Outcome(), classifier.Unknown{})
			}
		})
	}
}
