package imitator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// storePort is the offset of the port at which a machine's link to the store begins.
const storePort = 5

// restartDelay is the time after which the platform starts a process that ended.
const restartDelay = time.Second

// Host is a machine of the system with its process.
type Host struct {
	deployment *Deployment
	name       string
	ip         string
	zone       string
	settings   string // path of the settings
	log        *os.File
	store      *link
	number     int
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	started    time.Time
}

// AddHost adds a machine in a zone and starts its process.
func (d *Deployment) AddHost(zone string) (*Host, error) {
	n := len(d.hosts) + 1
	h := &Host{deployment: d, number: n, zone: zone, name: fmt.Sprintf("front-%s-%d", zone, n), ip: d.ip(n)}
	h.settings = filepath.Join(d.dir, h.name+".json")
	text, err := json.Marshal(h.document())
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if h.log, err = os.Create(filepath.Join(d.dir, h.name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	l, err := d.listen(d.address(h.number, storePort))
	if err != nil {
		return nil, err
	}
	h.store = newLink(l, d.address(storeHost, 0))
	d.hosts = append(d.hosts, h)
	return h, h.Start()
}

// document returns the settings as deploy/entry.json renders them for the small site.
func (h *Host) document() map[string]any {
	d := h.deployment
	zones := make([]map[string]string, 0, len(Zones))
	for _, z := range Zones {
		zones = append(zones, map[string]string{"name": z, "region": Region(z)})
	}
	return map[string]any{
		"node": map[string]string{"name": h.name, "address": h.ip, "data_centre": h.zone, "region": Region(h.zone)},
		"listen": map[string]string{
			"callers": d.address(h.number, 0), "readiness": d.address(h.number, 1), "directory": d.address(h.number, 2),
			"peers": d.address(h.number, 3), "metrics": d.address(h.number, 4),
		},
		"data_centres": zones,
		"store":        map[string]string{"address": d.address(h.number, storePort)},
		"endpoints":    map[string]string{"report_interval": HeartbeatInterval.String()},
		"lease":        map[string]string{"turns": "3000ms"},
		"repeats":      map[string]any{"ratio": 0.2, "slack": 52, "window": "10s"},
		"stop":         map[string]string{"grace": "8s"},
		"limits":       map[string]any{"memory_mb": 284, "link_mbps": 1000.0},
	}
}

// Name returns the name of the machine.
func (h *Host) Name() string { return h.name }

// IP returns the address of the machine.
func (h *Host) IP() string { return h.ip }

// Zone returns the zone of the machine.
func (h *Host) Zone() string { return h.zone }

// Front returns the address for requesters.
func (h *Host) Front() string { return h.deployment.address(h.number, 0) }

// Started returns when the current process was started.
func (h *Host) Started() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := exec.Command(h.deployment.binary, "entry")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYFORD_SETTINGS=" + h.settings}
	p.Stdout, p.Stderr = h.log, h.log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	exited := make(chan struct{})
	h.process, h.exited, h.started = p, exited, time.Now()
	h.deployment.Record.Printf("%s starts", h.name)
	go func() {
		_ = p.Wait() // a killed process returns an error
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s) // the process may have ended
	}
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	h.wait()
}

func (h *Host) wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Restart stops the process as planned and starts it again.
func (h *Host) Restart() error {
	h.deployment.Record.Printf("%s gets SIGTERM", h.name)
	h.Signal(syscall.SIGTERM)
	h.wait()
	time.Sleep(restartDelay)
	return h.Start()
}

// Crash kills the process, which is started again after a short delay.
func (h *Host) Crash() error {
	h.deployment.Record.Printf("%s gets SIGKILL", h.name)
	h.Kill()
	time.Sleep(restartDelay)
	return h.Start()
}

// CutFromStore sets whether the machine is partitioned from the store.
func (h *Host) CutFromStore(cut bool) { h.store.setCut(cut) }

// Ready reports whether the readiness check answers 200.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.ReadinessURL(h.deployment.address(h.number, 1)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Resolve asks the host which addresses requesters in a zone may use.
func (h *Host) Resolve(name, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(emulator.DirectoryURL(h.deployment.address(h.number, 2), name, Region(zone), zone))
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	addresses, _, err := emulator.ReadDirectory(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	return addresses, nil
}

// Source returns the address of the machine through which the host reads a table, by the
// latest line of its log that tells, or "" if there is none.
func (h *Host) Source(table string) string {
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return ""
	}
	source := ""
	for line := range bytes.Lines(data) {
		var entry struct {
			Event      string `json:"event"`
			Dependency string `json:"dependency"`
			Peer       string `json:"peer"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Event == "source-chosen" && entry.Dependency == table {
			source = entry.Peer
		}
	}
	return source
}
