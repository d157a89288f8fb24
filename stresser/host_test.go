package stresser_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// limits are those that a host is given by its settings, its descriptor limit and the
// configuration.
type limits struct {
	memoryMB    int
	descriptors int
	bodyBytes   int
	headerBytes int
	headerTime  time.Duration
}

// firstPort is the first of the consecutive ports on which a host listens. They are
// below the kernel's range of ephemeral ports.
const firstPort = 21300

// addresses counts the hosts, each of which has an address of its own.
var addresses atomic.Int64

// host is one process of the program under test, with a fake store and a fake plain
// service.
type host struct {
	limits
	address  string
	logPath  string
	process  *exec.Cmd
	exited   chan struct{}
	stop     chan struct{}
	sampled  chan struct{}
	maxFiles atomic.Int64 // largest number of open descriptors that was seen
}

// buildProgram builds the program without the race detector, which multiplies memory.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(os.TempDir(), fmt.Sprintf("stresser-%d", os.Getpid()))
	if _, err := os.Stat(binary); err == nil {
		return binary
	}
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/dragonflyford").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.Remove(filepath.Join(os.TempDir(), fmt.Sprintf("stresser-%d", os.Getpid())))
	os.Exit(code)
}

// startHost starts a host and waits until it is ready.
func startHost(t *testing.T, l limits) *host {
	t.Helper()
	binary := buildProgram(t)
	store := emulator.NewStore()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	endpoint := emulator.NewEndpoint("i-plain", emulator.NewServiceOptions(5*time.Millisecond))
	endpointServer := httptest.NewServer(endpoint.Handler())
	t.Cleanup(endpointServer.Close)
	store.Set("servers", endpoint.ID(), endpoint.Entry("ledger", endpointServer.Listener.Addr().String(), "z1", "ready"))
	store.Set("op", "config", fmt.Appendf(nil, `{"version":1,"routes":[
		{"name":"once","host":"h","prefix":"/post/","route_type":"unsafe","timeout_ms":10000,"target_latency_ms":1000,"service":"ledger","max_attempts":1}],
		"services":[{"name":"ledger","max_conns":100}],
		"limits":{"max_body_bytes":%d,"max_header_bytes":%d,"header_timeout_ms":%d,"idle_timeout_ms":15000}}`,
		l.bodyBytes, l.headerBytes, l.headerTime.Milliseconds()))
	dir := t.TempDir()
	h := &host{
		limits: l, address: fmt.Sprintf("127.%d.251.%d", 16+os.Getpid()%200, addresses.Add(1)), logPath: filepath.Join(dir, "log"),
		exited: make(chan struct{}), stop: make(chan struct{}), sampled: make(chan struct{}),
	}
	settings := filepath.Join(dir, "settings.json")
	text := fmt.Sprintf(`{"node":{"name":"n","address":%q,"data_centre":"z1","region":"r1"},
		"listen":{"callers":%q,"readiness":%q,"directory":%q,"peers":%q,"metrics":%q},
		"data_centres":[{"name":"z1","region":"r1"}],"store":{"address":%q},"stop":{"grace":"3s"},"limits":{"memory_mb":%d}}`,
		h.address, h.port(0), h.port(1), h.port(2), h.port(3), h.port(4), storeServer.Listener.Addr(), l.memoryMB)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(h.logPath)
	if err != nil {
		t.Fatal(err)
	}
	// The shell sets the descriptor limit, because Go restores the original one in
	// the processes that it starts.
	h.process = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" entry --config "$1"`, l.descriptors), binary, settings)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = h.process.Wait() // a killed process returns an error
		_ = log.Close()
		close(h.exited)
	}()
	go h.sampleFiles()
	t.Cleanup(func() {
		close(h.stop)
		<-h.sampled
		_ = h.process.Process.Signal(syscall.SIGKILL)
		<-h.exited
	})
	for deadline := time.Now().Add(20 * time.Second); !h.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the host is not ready after 20 s\n%s", h.logTail())
		}
	}
	return h
}

func (h *host) port(n int) string { return fmt.Sprintf("%s:%d", h.address, firstPort+n) }

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(emulator.ReadinessURL(h.port(1)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// sampleFiles records the largest number of open descriptors until stop is closed.
func (h *host) sampleFiles() {
	defer close(h.sampled)
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid)); err == nil {
			h.maxFiles.Store(max(h.maxFiles.Load(), int64(len(list))))
		}
	}
}

// peakMemory returns the peak resident memory of the process in KiB.
func (h *host) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		t.Fatalf("read the status of the process: %v\n%s", err, h.logTail())
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatal("the status has no peak memory")
	return 0
}

// logTail returns the end of what the process wrote.
func (h *host) logTail() string {
	data, err := os.ReadFile(h.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}
