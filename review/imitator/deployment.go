package imitator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// HeartbeatInterval is the time between two liveness reports of a worker to the store.
const HeartbeatInterval = 1200 * time.Millisecond

// storeHost is the last octet of the store's address, and firstWorkerHost that of the
// first worker; the machines follow from 1 on.
const (
	storeHost       = 250
	firstWorkerHost = 101
)

// firstPort is the lowest first port of a deployment. The ports are below the kernel's
// range for outgoing connections.
const (
	firstPort = 20000
	portRange = 10000
	portCount = 8
)

// Zones are the zones of a deployment, each in a region of its own.
var Zones = []string{"superior-a", "erie-a", "ontario-a"}

// Region returns the region of a zone.
func Region(zone string) string { return strings.TrimSuffix(zone, "-a") }

// Deployment is a small installation on loopback addresses.
type Deployment struct {
	Store  *emulator.Store
	Record *Recorder

	binary  string
	dir     string
	prefix  string // of the addresses: three octets
	port    int
	server  *http.Server
	hosts   []*Host
	workers []*Worker
	down    atomic.Bool // the store
}

// NewDeployment starts the store. Binary is the program under test. The addresses are
// drawn; accept, unless it is nil, tells whether those of the machines fit, by the number
// of the machine from 1 on.
func NewDeployment(binary string, r *Recorder, accept func(ip func(machine int) string) bool) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create temporary directory: %w", err)
	}
	d := &Deployment{
		Store: emulator.NewStore(), Record: r, binary: binary, dir: dir,
		port: firstPort + rand.N(portRange/portCount)*portCount,
	}
	for ok := false; !ok; ok = accept == nil || accept(d.ip) {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
	}
	l, err := d.listen(d.address(storeHost, 0))
	if err != nil {
		return nil, err
	}
	d.server = serve(l, d.Store.Handler())
	return d, nil
}

// ip returns the IP address of a machine.
func (d *Deployment) ip(machine int) string { return fmt.Sprintf("%s.%d", d.prefix, machine) }

// address returns an address of the deployment. Host is the last octet, and port the
// offset from the first port.
func (d *Deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.prefix, host, d.port+port)
}

func (d *Deployment) listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// serve serves a handler until the server is closed.
func serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }() // ends when the server is closed
	return s
}

// SetConfig writes the config, as the operator does.
func (d *Deployment) SetConfig(config string) { d.Store.Set("op", "config", []byte(config)) }

// SetStoreDown sets whether the store answers all calls with 503. Nobody can report to it
// meanwhile.
func (d *Deployment) SetStoreDown(down bool) {
	if down {
		d.down.Store(true)
		d.Store.Inject(emulator.Down{})
		d.Record.Printf("the store is down")
		return
	}
	for _, w := range d.workers {
		w.excuse()
	}
	d.Store.Inject(emulator.HealthyStore{})
	d.down.Store(false)
	d.Record.Printf("the store is back")
}

// Drill takes the store away for a while. It comes back from a copy, and what the workers
// wrote since then is written again.
func (d *Deployment) Drill(c emulator.Copy, away time.Duration) {
	d.SetStoreDown(true)
	time.Sleep(away)
	d.Store.Restore(c)
	d.SetStoreDown(false)
	for _, w := range d.workers {
		w.enterAgain()
	}
	d.Record.Printf("the store is back from an older copy")
}

// Close ends all processes and servers, and deletes the temporary files.
func (d *Deployment) Close() error {
	for _, h := range d.hosts {
		h.Kill()
	}
	for _, w := range d.workers {
		w.Stop()
	}
	errs := []error{d.server.Close()}
	for _, h := range d.hosts {
		h.store.close()
		errs = append(errs, h.log.Close())
	}
	if os.Getenv("KEEP") == "" {
		errs = append(errs, os.RemoveAll(d.dir))
	} else {
		d.Record.Printf("logs kept in %s", d.dir)
	}
	return errors.Join(errs...)
}

// Eventually waits until a condition is met, and returns an error if it is not in time.
func Eventually(condition string, within time.Duration, met func() bool) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if met() {
			return nil
		}
	}
	return fmt.Errorf("%s within %v", condition, within)
}
