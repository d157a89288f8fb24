package connector_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// Guards against the beginning of a reply that is taken for the whole one, because the
// service reset the connection while it was still being sent the operation.
func TestReplyResetBesideUpload(t *testing.T) {
	const uploadLength = 4 << 20 // bytes
	is := is.New(t)
	server, err := emulator.NewRawServer(func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+connector.HeaderAttempt+": a\r\n\r\npart")
		_ = conn.SetLinger(0)
	})
	is.NoErr(err)
	defer server.Close()
	s := connector.NewHTTPService(server.Address())
	defer s.Close()
	for range 20 { // the head of the reply is not always read before the reset
		_, err := s.Call(t.Context(), connector.NewOperation("a", "op", http.MethodPost, "/x", make([]byte, uploadLength)))
		is.True(errors.Is(err, connector.ErrBroken))
	}
}
