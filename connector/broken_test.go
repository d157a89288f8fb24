package connector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Guards against the beginning of a reply that is taken for the whole one, because the
// service reset the connection while it was still being sent the operation.
func TestReplyResetBesideUpload(t *testing.T) {
	const uploadLength = 4 << 20 // bytes
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+connector.HeaderAttempt+": a\r\n\r\npart")
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	s := connector.NewHTTPService(l.Addr().String())
	defer s.Close()
	for range 20 { // the head of the reply is not always read before the reset
		_, err := s.Call(t.Context(), connector.NewOperation("a", "op", http.MethodPost, "/x", make([]byte, uploadLength)))
		is.True(errors.Is(err, connector.ErrBroken))
	}
}
