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

// Settings of the hosts and sizes of the fake services. The times are short, so
// that several takeovers happen within a minute.
const (
	leaseTime         = 3 * time.Second
	takeoverDelay     = time.Second // minimum time between orders of two owners
	stopGrace         = 5 * time.Second
	drainTime         = 2500 * time.Millisecond // duration of planned work after the restart of a host
	applyTime         = 2500 * time.Millisecond // time for the hosts to apply a new configuration
	heartbeatInterval = 300 * time.Millisecond
	adapterCount      = 9
	adapterSlots      = 4
	streamEvents      = 15
)

// firstPort is the first of the consecutive ports on which a host listens. They are
// below the kernel's range of ephemeral ports, so no outgoing connection occupies
// one of them while a host is down.
const firstPort = 21100

// host is one process of the program under test.
type host struct {
	name       string
	address    string
	dataCentre string
	store      *proxy
	file       string
	log        *os.File
	restarting sync.Mutex
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
}

// endpoint is a fake endpoint behind a proxy.
type endpoint struct {
	*emulator.Endpoint
	service    string
	dataCentre string
	link       *proxy
	server     *httptest.Server
	state      string
}

// cluster is the deployment under test.
type cluster struct {
	t         *testing.T
	binary    string
	dir       string
	store     *emulator.Store
	server    *httptest.Server
	hosts     []*host
	endpoints []*endpoint
	version   int
	subnet    int // third octet of the hosts' addresses
	mu        sync.Mutex
}

func newCluster(t *testing.T, binary string, hosts int, seed uint64) *cluster {
	t.Helper()
	cl := &cluster{t: t, binary: binary, dir: t.TempDir(), store: emulator.NewStore(), subnet: 9 + int(seed%200)}
	cl.server = httptest.NewServer(cl.store.Handler())
	t.Cleanup(cl.server.Close)
	for i := range 3 {
		cl.addEndpoint(fmt.Sprint("i-engine-", i), "llm", dataCentre(i), emulator.NewEngineOptions("m", adapterSlots, 60*time.Millisecond, 15*time.Millisecond, streamEvents, 80*time.Millisecond))
	}
	for i := range 2 {
		cl.addEndpoint(fmt.Sprint("i-plain-", i), "ledger", dataCentre(i), emulator.NewServiceOptions(8*time.Millisecond))
	}
	cl.configure()
	for i := range hosts {
		cl.addHost(i)
	}
	return cl
}

func dataCentre(i int) string { return fmt.Sprint("z", i%2+1) }

func (cl *cluster) addEndpoint(id, service, dataCentre string, o emulator.EndpointOptions) {
	e := &endpoint{Endpoint: emulator.NewEndpoint(id, o), service: service, dataCentre: dataCentre, state: "ready"}
	e.server = httptest.NewServer(e.Handler())
	cl.t.Cleanup(e.server.Close)
	e.link = newProxy(cl.t, e.server.Listener.Addr().String())
	cl.endpoints = append(cl.endpoints, e)
	cl.writeEntry(e)
}

// writeEntry writes an endpoint's registry row, as its heartbeat does.
func (cl *cluster) writeEntry(e *endpoint) {
	cl.store.Set("servers", e.ID(), e.Entry(e.service, e.link.address(), e.dataCentre, e.state))
}

// heartbeats rewrites the registry rows periodically until stop is closed.
func (cl *cluster) heartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		cl.mu.Lock()
		for _, e := range cl.endpoints {
			if e.state != "" {
				cl.writeEntry(e)
			}
		}
		cl.mu.Unlock()
	}
}

// configure writes the next configuration, which has one route more than the last.
func (cl *cluster) configure() {
	cl.version++
	routes := `{"name":"stream","host":"h","prefix":"/llm/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":1000,"service":"llm","max_attempts":2,"can_resume":true,"gap_aim_ms":300},
		{"name":"once","host":"h","prefix":"/post/","route_type":"unsafe","timeout_ms":2000,"target_latency_ms":400,"service":"ledger","max_attempts":2},
		{"name":"look","host":"h","prefix":"/look/","route_type":"safe","timeout_ms":2000,"target_latency_ms":400,"service":"ledger","max_attempts":2}`
	for v := 1; v <= cl.version; v++ {
		routes += fmt.Sprintf(`,{"name":"v%d","host":"h","prefix":"/v%d/","route_type":"safe","service":"ledger","max_attempts":1}`, v, v)
	}
	cl.store.Set("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],
		"services":[{"name":"llm","max_conns":300,"engine":{"slots":8,"adapter_slots":%d,"weights_mb":1000,"models":[{"name":"m","weights_mb":500,"adapter_mb":1}]}},
		{"name":"ledger","max_conns":300}]}`, cl.version*10, routes, adapterSlots))
}

func (cl *cluster) addHost(i int) {
	h := &host{name: fmt.Sprint("host-", i), address: fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, cl.subnet, i+1), dataCentre: dataCentre(i)}
	h.store = newProxy(cl.t, cl.server.Listener.Addr().String())
	h.file = filepath.Join(cl.dir, h.name+".json")
	log, err := os.Create(filepath.Join(cl.dir, h.name+".log"))
	if err != nil {
		cl.t.Fatal(err)
	}
	h.log = log
	cl.t.Cleanup(func() { _ = log.Close() })
	cl.settings(h, "info")
	cl.hosts = append(cl.hosts, h)
	h.start(cl)
	cl.t.Cleanup(func() { h.signal(syscall.SIGCONT); h.signal(syscall.SIGKILL); h.wait() })
}

func (cl *cluster) settings(h *host, level string) {
	addr := func(port int) string { return cl.addr(h, port) }
	text := fmt.Sprintf(`{"node":{"name":%q,"address":%q,"data_centre":%q,"region":"r1"},
		"listen":{"callers":%q,"readiness":%q,"directory":%q,"peers":%q,"metrics":%q},
		"data_centres":[{"name":"z1","region":"r1"},{"name":"z2","region":"r1"}],
		"store":{"address":%q},"lease":{"renew":"500ms","time":"%s","guard":"500ms","turns":"%s"},
		"stop":{"grace":"%s"},"log":{"level":%q}}`,
		h.name, h.address, h.dataCentre, addr(0), addr(1), addr(2), addr(3), addr(4), h.store.address(), leaseTime, takeoverDelay, stopGrace, level)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		cl.t.Fatal(err)
	}
}

func (h *host) start(cl *cluster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = exec.Command(cl.binary, "entry", "--config", h.file)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	if err := h.process.Start(); err != nil {
		cl.t.Error(err)
		return
	}
	h.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait() // a killed process returns an error
		close(exited)
	}(h.process, h.exited)
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s) // the process may have exited
}

func (h *host) wait() { <-h.exited }

func (cl *cluster) addr(h *host, port int) string {
	return fmt.Sprintf("%s:%d", h.address, firstPort+port)
}

func (cl *cluster) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.ReadinessURL(cl.addr(h, 1)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (cl *cluster) eventually(condition string, within time.Duration, met func() bool) {
	cl.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if met() {
			return
		}
	}
	cl.t.Errorf("%s did not hold within %v", condition, within)
}
