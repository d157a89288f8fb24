package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// Guards against a call whose body ends late in a planned stop, and that is passed on and
// cut without an answer when the grace time ends.
func TestLateCallInPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	slow := emulator.NewEndpoint("i-slow", emulator.NewServiceOptions(1900*time.Millisecond))
	d.addEndpoint(slow, "ledger")
	d.setEntry(d.plain, "ledger", "draining")
	stop := d.start(hostA)
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	time.Sleep(2 * time.Second) // callers with an old directory response still connect
	conns := make([]net.Conn, 4)
	for i := range conns {
		conn, err := net.Dial("tcp", d.listenAddress(hostA, 0))
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late-%d\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbo", i)
		is.NoErr(err)
		conns[i] = conn
	}
	time.Sleep(1500 * time.Millisecond)
	for i, conn := range conns {
		_, err := io.WriteString(conn, "dy")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("call %d is cut: %v", i, err)
			continue
		}
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.NoErr(resp.Body.Close())
	}
	<-stopped
	is.Equal(len(slow.Runs()), 0)
}

// Guards against a host that ends, or no longer follows the endpoints, because another
// writer left an entry that cannot be read.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.start(hostA)
	const format = `{"service":"ledger","address":%s,"zone":"z1","version":%s,"slots":%s,"state":"ready","born":%s,"models":%s}`
	entry := func(address, version, slots, born, models string) string {
		return fmt.Sprintf(format, address, version, slots, born, models)
	}
	const sound = `"127.0.0.1:9"`
	for i, odd := range []string{
		strings.Repeat("[", 20000),
		strings.Repeat(`{"a":`, 12000) + "1" + strings.Repeat("}", 12000),
		entry(sound, `"v1"`, "8", "1", strings.Repeat("[", 11000)+strings.Repeat("]", 11000)),
		entry(`"127.0.0.1:99999"`, `"v1"`, "8", "1", "[]"),
		entry(`"127.0.0.1:0"`, `"v1"`, "8", "1", "[]"),
		entry(sound, `"v1"`, "1e400", "1", "[]"),
		entry(sound, `"v1"`, "8", "99999999999999999999999", "[]"),
		entry(sound, "7", "8", "1", "[]"),
		entry("7", `"v1"`, "8", "1", "[]"),
		"\xff\xfe", "", "null", "[]", `"text"`,
	} {
		d.store.Set("servers", fmt.Sprint("odd-", i), []byte(odd))
		d.store.Set("servers", "", []byte(odd))
	}
	time.Sleep(inForceTime)
	client := &http.Client{}
	status, _, err := d.call(client, hostA, "sound", "/post/x", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	d.setEntry(d.plain, "ledger", "draining") // still followed
	time.Sleep(inForceTime)
	before := len(d.plain.Arrivals())
	status, _, err = d.call(client, hostA, "leaving", "/post/x", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(len(d.plain.Arrivals()), before)
}
