package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// slowBody is a body whose second half is sent once release is closed.
type slowBody struct {
	halves  []string
	release chan struct{}
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.halves) == 0 {
		return 0, io.EOF
	}
	if len(b.halves) == 1 {
		<-b.release
	}
	n := copy(p, b.halves[0])
	b.halves = b.halves[1:]
	return n, nil
}

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
	release := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 4 {
		req, err := emulator.NewCall(fmt.Sprint("late-", i), "h", "/post/x", "body", 5*time.Second, "").Request(t.Context(), d.listenAddress(hostA, 0))
		is.NoErr(err)
		req.Body = io.NopCloser(&slowBody{halves: []string{"bo", "dy"}, release: release})
		callers.Go(func() {
			resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
			if err != nil {
				t.Errorf("call %d is cut: %v", i, err)
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("call %d gets status %d", i, resp.StatusCode)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	close(release)
	callers.Wait()
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
