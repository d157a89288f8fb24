package soaker_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// Times of the hosts' settings. They are short, so that a run of a minute holds
// several takeovers.
const (
	leaseTime  = 3 * time.Second
	turnsTime  = time.Second // two owners must not take turns within it
	graceTime  = 5 * time.Second
	drainTime  = 2500 * time.Millisecond
	applyTime  = 2500 * time.Millisecond
	heartbeat  = 300 * time.Millisecond
	adapters   = 9
	engineSlot = 4
	events     = 15
)

// firstPort and the next ones are those of a host. They are below the ports that the
// kernel gives to outgoing connections, so none of them is taken for one while a
// host is down.
const firstPort = 21100

// host is one process of the program.
type host struct {
	name       string
	address    string
	zone       string
	store      *proxy
	file       string
	log        *os.File
	restarting sync.Mutex
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
}

// endpoint is a fake with its link.
type endpoint struct {
	*emulator.Endpoint
	service string
	zone    string
	link    *proxy
	server  *httptest.Server
	state   string
}

// world is a deployment under test.
type world struct {
	t         *testing.T
	binary    string
	dir       string
	store     *emulator.Store
	server    *httptest.Server
	hosts     []*host
	endpoints []*endpoint
	version   int
	net       int // of the hosts' addresses
	mu        sync.Mutex
}

func newWorld(t *testing.T, binary string, hosts int, seed uint64) *world {
	t.Helper()
	w := &world{t: t, binary: binary, dir: t.TempDir(), store: emulator.NewStore(), net: 9 + int(seed%200)}
	w.server = httptest.NewServer(w.store.Handler())
	t.Cleanup(w.server.Close)
	for i := range 3 {
		w.addEndpoint(fmt.Sprint("i-engine-", i), "llm", zone(i), emulator.NewEngineOptions("m", engineSlot, 60*time.Millisecond, 15*time.Millisecond, events, 80*time.Millisecond))
	}
	for i := range 2 {
		w.addEndpoint(fmt.Sprint("i-plain-", i), "ledger", zone(i), emulator.NewServiceOptions(8*time.Millisecond))
	}
	w.configure()
	for i := range hosts {
		w.addHost(i)
	}
	return w
}

func zone(i int) string { return fmt.Sprint("z", i%2+1) }

func (w *world) addEndpoint(id, service, zone string, o emulator.EndpointOptions) {
	e := &endpoint{Endpoint: emulator.NewEndpoint(id, o), service: service, zone: zone, state: "ready"}
	e.server = httptest.NewServer(e.Handler())
	w.t.Cleanup(e.server.Close)
	e.link = newProxy(w.t, e.server.Listener.Addr().String())
	w.endpoints = append(w.endpoints, e)
	w.list(e)
}

// list writes an endpoint's entry, as its heartbeat does.
func (w *world) list(e *endpoint) {
	w.store.Set("servers", e.ID(), e.Entry(e.service, e.link.address(), e.zone, e.state))
}

// heartbeats keeps the entries up to date until stop is closed.
func (w *world) heartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		for _, e := range w.endpoints {
			if e.state != "" {
				w.list(e)
			}
		}
		w.mu.Unlock()
	}
}

// configure writes the next configuration, which adds a route.
func (w *world) configure() {
	w.version++
	routes := `{"name":"stream","host":"h","prefix":"/llm/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":1000,"service":"llm","max_attempts":2,"can_resume":true,"gap_aim_ms":300},
		{"name":"once","host":"h","prefix":"/post/","route_type":"unsafe","timeout_ms":2000,"target_latency_ms":400,"service":"ledger","max_attempts":2},
		{"name":"look","host":"h","prefix":"/look/","route_type":"safe","timeout_ms":2000,"target_latency_ms":400,"service":"ledger","max_attempts":2}`
	for v := 1; v <= w.version; v++ {
		routes += fmt.Sprintf(`,{"name":"v%d","host":"h","prefix":"/v%d/","route_type":"safe","service":"ledger","max_attempts":1}`, v, v)
	}
	w.store.Set("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],
		"services":[{"name":"llm","max_conns":300,"engine":{"slots":8,"adapter_slots":%d,"weights_mb":1000,"models":[{"name":"m","weights_mb":500,"adapter_mb":1}]}},
		{"name":"ledger","max_conns":300}]}`, w.version*10, routes, engineSlot))
}

func (w *world) addHost(i int) {
	h := &host{name: fmt.Sprint("host-", i), address: fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, w.net, i+1), zone: zone(i)}
	h.store = newProxy(w.t, w.server.Listener.Addr().String())
	h.file = filepath.Join(w.dir, h.name+".json")
	log, err := os.Create(filepath.Join(w.dir, h.name+".log"))
	if err != nil {
		w.t.Fatal(err)
	}
	h.log = log
	w.t.Cleanup(func() { _ = log.Close() })
	w.settings(h, "info")
	w.hosts = append(w.hosts, h)
	h.start(w)
	w.t.Cleanup(func() { h.signal(syscall.SIGCONT); h.signal(syscall.SIGKILL); h.wait() })
}

func (w *world) settings(h *host, level string) {
	at := func(port int) string { return w.at(h, port) }
	text := fmt.Sprintf(`{"node":{"name":%q,"address":%q,"data_centre":%q,"region":"r1"},
		"listen":{"callers":%q,"readiness":%q,"directory":%q,"peers":%q,"metrics":%q},
		"data_centres":[{"name":"z1","region":"r1"},{"name":"z2","region":"r1"}],
		"store":{"address":%q},"lease":{"renew":"500ms","time":"%s","guard":"500ms","turns":"%s"},
		"stop":{"grace":"%s"},"log":{"level":%q}}`,
		h.name, h.address, h.zone, at(0), at(1), at(2), at(3), at(4), h.store.address(), leaseTime, turnsTime, graceTime, level)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func (h *host) start(w *world) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = exec.Command(w.binary, "entry", "--config", h.file)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	if err := h.process.Start(); err != nil {
		w.t.Error(err)
		return
	}
	h.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait() // killed processes end with an error
		close(exited)
	}(h.process, h.exited)
}

// signal sends a signal to the process that this test started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s) // it may have ended
}

func (h *host) wait() { <-h.exited }

func (w *world) at(h *host, port int) string {
	return fmt.Sprintf("%s:%d", h.address, firstPort+port)
}

func (w *world) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.ReadinessURL(w.at(h, 1)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) eventually(what string, within time.Duration, holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Errorf("%s did not hold within %v", what, within)
}
