package assembler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	fakes "github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// runCounter counts the executions of calls by id.
type runCounter struct {
	mu   sync.Mutex
	byID map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id]++
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// newBrokenDeployment returns a running deployment of one host. Each kind of route leads to a
// service with one endpoint, which answers calls with raw bytes once it has read their heads.
func newBrokenDeployment(t *testing.T, answer func(conn *net.TCPConn, id string)) (d *deployment, runs *runCounter) {
	t.Helper()
	d, runs = newDeployment(t), &runCounter{byID: make(map[string]int)}
	server, err := fakes.NewRawServer(func(conn *net.TCPConn, req *http.Request) {
		id := emulator.CallID(req.Header)
		runs.add(id)
		answer(conn, id)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	bad := emulator.NewEndpoint("i-broken", emulator.NewServiceOptions(time.Millisecond))
	d.address[bad.ID()] = server.Address()
	d.setEntry(bad, "broken", "ready")
	d.store.Set("op", "config", []byte(`{"version":2,"routes":[
		{"name":"stream","host":"h","prefix":"/stream/","route_type":"streaming","timeout_ms":3000,"target_latency_ms":1000,"service":"broken","max_attempts":1,"gap_aim_ms":300},
		{"name":"resume","host":"h","prefix":"/resume/","route_type":"streaming","timeout_ms":3000,"target_latency_ms":1000,"service":"broken","max_attempts":2,"can_resume":true,"gap_aim_ms":300},
		{"name":"once","host":"h","prefix":"/post/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"service":"broken","max_attempts":2},
		{"name":"look","host":"h","prefix":"/look/","route_type":"safe","timeout_ms":3000,"target_latency_ms":1000,"service":"broken","max_attempts":2},
		{"name":"sound","host":"h","prefix":"/sound/","route_type":"safe","timeout_ms":3000,"target_latency_ms":1000,"service":"ledger","max_attempts":2}],
		"services":[{"name":"broken","max_conns":100},{"name":"ledger","max_conns":100}],"limits":{"max_body_bytes":4000000,"idle_timeout_ms":6000}}`))
	d.start(hostA)
	d.eventually(func() bool {
		status, _, err := d.call(http.DefaultClient, hostA, fmt.Sprint("first", time.Now().UnixNano()), "/sound/x", "")
		return status == http.StatusOK && err == nil
	})
	return d, runs
}

// upload sends a call with a body of 2 MB.
func (d *deployment) upload(id, path string) (status int, body string, err error) {
	const length = 2 << 20 // bytes
	return d.send(http.DefaultClient, hostA, emulator.NewCall(id, "h", path, strings.Repeat("x", length), 5*time.Second, ""))
}

// hasReason reports whether a log line of a call names a reason.
func (d *deployment) hasReason(id, reason string) bool {
	for _, line := range d.logs.lines(id) {
		if line["reason"] == reason {
			return true
		}
	}
	return false
}

// Guards against the beginning of an answer that reaches a caller as the whole one, because
// the endpoint reset the connection while it was still being sent the call.
func TestResetBesideUpload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, runs := newBrokenDeployment(t, func(conn *net.TCPConn, id string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+emulator.ResponseFields(id)+"\r\nid: 0\ndata: 0\n\n")
		_ = conn.SetLinger(0)
	})
	for i, path := range []string{"/post/x", "/look/x", "/stream/x", "/resume/x"} {
		for n := range 3 {
			id := fmt.Sprint("reset-", i, "-", n)
			status, body, err := d.upload(id, path)
			t.Logf("%s: status %d, body %q, error %v", path, status, body, err)
			if strings.HasPrefix(path, "/post") || strings.HasPrefix(path, "/look") {
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
			} else {
				is.True(err != nil || status == http.StatusBadGateway) // a stream whose head was sent is cut
			}
			is.True(runs.of(id) <= 1 || !strings.HasPrefix(path, "/post"))
			is.True(d.hasReason(id, "reset"))
		}
	}
}

// Guards against an answer with a malformed head that reaches a caller, or that hides the
// bytes of another answer which then does. The endpoint may have run the call.
func TestMalformedHeads(t *testing.T) {
	t.Parallel()
	// sound returns a complete answer.
	sound := func(id string) string { return string(emulator.ResponseHead(id, 3)) + "bad" }
	tests := []struct {
		name   string
		reason string // in the log
		answer func(id string) string
	}{
		{"status 000", "status", func(id string) string {
			return strings.Replace(sound(id), "200", "000", 1)
		}},
		{"status 000 before an answer", "status", func(id string) string { return "HTTP/1.1 000 x\r\n\r\n" + sound(id) }},
		{"status 099 before a refusal", "status", func(id string) string {
			return "HTTP/1.1 099 x\r\n\r\n" + emulator.RefusalHead(id) + "Content-Length: 0\r\n\r\n"
		}},
		{"status 600", "status", func(id string) string { return strings.Replace(sound(id), "200", "600", 1) }},
		{"blank in a field name", "field", func(id string) string { return strings.Replace(sound(id), "\r\n", "\r\nX Y: 1\r\n", 1) }},
		{"blank before the colon", "field", func(id string) string { return strings.Replace(sound(id), "Content-Length:", "Content-Length :", 1) }},
		{"control byte in a field name", "field", func(id string) string { return strings.Replace(sound(id), "\r\n", "\r\nX\x01Y: 1\r\n", 1) }},
		{"blank in a field name of an interim head", "field", func(id string) string {
			return "HTTP/1.1 103 x\r\nX Y: 1\r\n\r\n" + sound(id)
		}},
		{"blank in a field name of a refusal", "field", func(id string) string {
			return emulator.RefusalHead(id) + "X Y: 1\r\nContent-Length: 0\r\n\r\n"
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d, runs := newBrokenDeployment(t, func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, tt.answer(id))
				_, _ = io.Copy(io.Discard, conn)
			})
			for _, path := range []string{"/post/x", "/look/x", "/stream/x", "/resume/x"} {
				id := strings.NewReplacer("/", "-", " ", "-").Replace(tt.name + path)
				status, body, err := d.call(http.DefaultClient, hostA, id, path, "")
				t.Logf("%s: status %d, body %q, error %v", path, status, body, err)
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.Equal(runs.of(id), 1)
				is.True(d.hasReason(id, tt.reason))
			}
		})
	}
}
