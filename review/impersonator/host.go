package impersonator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Zone is a zone of a deployment, which is a region of its own.
type Zone struct{ Name, Region string }

// Zones are the zones of the deployment of a case.
var Zones = []Zone{{"lj-a", "lj"}, {"mb-a", "mb"}, {"kp-a", "kp"}}

// Host is a host of the project, a process of its own.
type Host struct {
	Name     string
	IP       string
	Front    string
	ready    string
	settings string
	log      *os.File
	process  *exec.Cmd
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// NewHost writes the settings of a host as deploy/entry.json renders them for the site
// ckl-wiki, with the addresses of the case.
func NewHost(folder string, index int, store string) (*Host, error) {
	zone := Zones[index%len(Zones)]
	ip := fmt.Sprintf("127.0.%d.1", 10+index)
	ports, err := freePorts(ip, 5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	name := fmt.Sprintf("front-%s-%d", zone.Name, index)
	centres := []map[string]string{}
	for _, z := range Zones {
		centres = append(centres, map[string]string{"name": z.Name, "region": z.Region})
	}
	settings := map[string]any{
		"node":         map[string]string{"name": name, "address": ip, "data_centre": zone.Name, "region": zone.Region},
		"listen":       map[string]string{"callers": at(0), "readiness": at(1), "directory": at(2), "peers": at(3), "metrics": at(4)},
		"data_centres": centres,
		"seeds":        []string{},
		"store":        map[string]string{"address": store},
		"endpoints":    map[string]string{"report_interval": "1200ms", "adaptive": "reported"},
		"lease":        map[string]string{"turns": "3000ms"},
		"repeats":      map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"},
		"stop":         map[string]string{"grace": "8s"},
		"limits":       map[string]any{"memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, IP: ip, Front: at(0), ready: at(1), settings: filepath.Join(folder, name+".json")}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(folder, name+".log"))
	return h, err
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	h.process = exec.Command("target/dragonflyford", "entry")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYFORD_SETTINGS=" + h.settings}
	h.process.Stdout, h.process.Stderr = h.log, h.log
	return h.process.Start()
}

// Kill ends the process with SIGKILL and waits for its end.
func (h *Host) Kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL)
	_ = h.process.Wait()
	h.process = nil
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/dragonflyford/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s did not become ready", h.Name)
}
