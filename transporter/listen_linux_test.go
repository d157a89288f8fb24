package transporter_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/transporter"
)

// Guards against an accepted connection that stays open for minutes after its client has
// disappeared without a reset.
func TestListen(t *testing.T) {
	is := is.New(t)
	l, err := transporter.Listen(t.Context(), "127.0.0.1:0", 5*time.Second)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	const tcpUserTimeout = 18 // not in package syscall
	for option, want := range map[int]int{tcpUserTimeout: 5000, syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 3} {
		var got int
		is.NoErr(raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) }))
		is.NoErr(err)
		is.Equal(got, want)
	}
}
