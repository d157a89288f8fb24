package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of a host, which are the same on all hosts.
const (
	portCallers = iota
	portReadiness
	portDirectory
	portPeers
	portMetrics
	portCount
)

// Host is an entry host, which runs as a process of its own.
type Host struct {
	name     string
	ip       string
	zone     string
	region   string
	ports    [portCount]int
	settings string // path of the settings file
	binary   string
	recorder *Recorder
	output   *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Address returns the address for callers.
func (h *Host) Address() string { return h.listen(portCallers) }

func (h *Host) listen(port int) string { return fmt.Sprintf("%s:%d", h.ip, h.ports[port]) }

// writeSettings renders the fields of deploy/entry.json.
func (h *Host) writeSettings(dir string, d *Deployment) error {
	zones, regions := []map[string]string{}, map[string]bool{}
	for _, other := range d.hosts {
		if !regions[other.zone] {
			regions[other.zone] = true
			zones = append(zones, map[string]string{"name": other.zone, "region": other.region})
		}
	}
	var seeds []string
	for _, other := range d.hosts[:min(3, len(d.hosts))] {
		seeds = append(seeds, other.listen(portPeers))
	}
	doc := map[string]any{
		"node": map[string]string{"name": h.name, "address": h.ip, "data_centre": h.zone, "region": h.region},
		"listen": map[string]string{
			"callers": h.listen(portCallers), "readiness": h.listen(portReadiness), "directory": h.listen(portDirectory),
			"peers": h.listen(portPeers), "metrics": h.listen(portMetrics),
		},
		"data_centres": zones,
		"seeds":        seeds,
		"store":        map[string]string{"address": d.storeAddress},
		"endpoints":    map[string]string{"report_interval": heartbeat.String(), "adaptive": "reported"},
		"lease":        map[string]string{"turns": "3000ms"},
		"repeats":      map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"},
		"stop":         map[string]string{"grace": "8s"},
		"limits":       map[string]any{"memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
	}
	if d.quotas {
		doc["quotas"] = map[string]any{"window": "8s", "over": 0.1, "slack": 11000}
	}
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	h.settings = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := exec.Command(h.binary, "entry")
	p.Env = append(os.Environ(), "DRAGONFLYFORD_SETTINGS="+h.settings)
	p.Stdout, p.Stderr = h.output, h.output
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return fmt.Errorf("start host %s: %w", h.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = p.Wait() // killed processes report an error
		close(exited)
	}()
	h.process, h.exited = p, exited
	h.recorder.Printf("host %s starts, process %d", h.name, p.Process.Pid)
	return nil
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill() // fails only if it has ended
	<-h.exited
	h.process = nil
	h.recorder.Printf("host %s killed", h.name)
}

// Ended reports whether the process has ended by itself.
func (h *Host) Ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return false
	}
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// Ready reports whether the host says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.listen(portReadiness) + "/dragonflyford/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
