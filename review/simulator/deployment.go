package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// heartbeat is the time between two entries of a worker.
const heartbeat = 1200 * time.Millisecond

// Deployment is a set of hosts with the stand-ins around them. All addresses are loopback
// addresses.
type Deployment struct {
	recorder     *Recorder
	dir          string
	network      string // first three bytes of all addresses
	store        *emulator.Store
	storeServer  *http.Server
	storeAddress string
	hosts        []*Host
	quotas       bool

	mu      sync.Mutex
	workers []*Worker
	done    chan struct{}
	beats   sync.WaitGroup
}

// Place is where a host is.
type Place struct{ Zone, Region string }

// New returns a deployment with a host in each of the places. Binary is the program under
// test. Quotas is whether the settings bound the quotas of tenants.
func New(r *Recorder, binary string, quotas bool, places ...Place) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	d := &Deployment{recorder: r, dir: dir, store: emulator.NewStore(), quotas: quotas, done: make(chan struct{})}
	d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	listener, err := net.Listen("tcp", d.network+".200:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	d.storeAddress = listener.Addr().String()
	d.storeServer = &http.Server{Handler: d.store.Handler()}
	go func() { _ = d.storeServer.Serve(listener) }() // ends with Close
	ports, err := freePorts(d.network, len(places))
	if err != nil {
		return nil, err
	}
	for i, p := range places {
		name := fmt.Sprintf("front-%d", i+1)
		output, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			return nil, fmt.Errorf("create log: %w", err)
		}
		d.hosts = append(d.hosts, &Host{
			name: name, ip: fmt.Sprintf("%s.%d", d.network, i+1), zone: p.Zone, region: p.Region,
			ports: ports, binary: binary, recorder: r, output: output,
		})
	}
	for _, h := range d.hosts {
		if err := h.writeSettings(dir, d); err != nil {
			return nil, err
		}
	}
	return d, nil
}

var errNoPorts = errors.New("no ports are free on all addresses")

// freePorts returns ports that are free on the addresses of all hosts, for TCP and UDP.
func freePorts(network string, hosts int) ([portCount]int, error) {
	const attempts, first, span = 50, 21000, 9000 // below the range of outgoing connections
	for range attempts {
		var ports [portCount]int
		base := first + rand.IntN(span)
		free := true
		for i := range ports {
			ports[i] = base + i
			for h := 1; h <= hosts && free; h++ {
				free = isFree(fmt.Sprintf("%s.%d:%d", network, h, ports[i]))
			}
		}
		if free {
			return ports, nil
		}
	}
	return [portCount]int{}, errNoPorts
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = p.Close()
	return true
}

// Hosts returns the hosts.
func (d *Deployment) Hosts() []*Host { return d.hosts }

// Configure writes a configuration, as the operator does.
func (d *Deployment) Configure(document string) {
	d.store.Set("op", "config", []byte(document))
	d.recorder.Printf("the operator writes a configuration")
}

// StartHosts starts all hosts and waits until they are ready.
func (d *Deployment) StartHosts() error {
	for _, h := range d.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	const limit = 15 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.Ready() {
				ready++
			}
		}
		if ready == len(d.hosts) {
			d.recorder.Printf("all hosts are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the hosts do not become ready")
		}
	}
}

// AnyEnded reports whether a host has ended by itself.
func (d *Deployment) AnyEnded() bool {
	for _, h := range d.hosts {
		if h.Ended() {
			return true
		}
	}
	return false
}

// Close ends all hosts and stand-ins, and removes the folder.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		h.Kill()
		_ = h.output.Close()
	}
	close(d.done)
	d.beats.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		w.stop()
	}
	_ = d.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
