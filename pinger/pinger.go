package pinger

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
)

const (
	interval = 600 * time.Millisecond
	// lostAfter leaves room for three lost datagrams.
	lostAfter = 2200 * time.Millisecond
	maxPing   = 512 // bytes
)

// ping is a datagram.
type ping struct {
	Host    string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"`
	Config  int64  `cbor:"3,keyasint,omitempty"` // version of the configuration in force
}

// heard is what is known of another host.
type heard struct {
	at      time.Time
	leaving bool
	lost    bool
}

// State is what a host tells the others of itself.
type State struct {
	leaving bool
	config  int64
}

// NewState returns whether a host is about to stop, and the version of its
// configuration.
func NewState(leaving bool, config int64) State { return State{leaving: leaving, config: config} }

// Pinger sends and receives signs of life.
type Pinger struct {
	self  string
	peers func() []netip.AddrPort
	state func() State
	newer func()
	log   *logger.Logger

	mu    sync.Mutex
	heard map[string]*heard
}

// New returns a pinger of a host. Peers returns the addresses of the other hosts of
// the data centre; newer is called when one of them has a newer configuration.
func New(self string, peers func() []netip.AddrPort, state func() State, newer func(), log *logger.Logger) *Pinger {
	return &Pinger{self: self, peers: peers, state: state, newer: newer, log: log.Component("pinger"), heard: make(map[string]*heard)}
}

// Alive reports whether a host has been heard of lately. Known is false for one
// that was never heard of.
func (p *Pinger) Alive(host string) (alive, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.heard[host]
	if !ok {
		return false, false
	}
	return !h.leaving && time.Since(h.at) <= lostAfter, true
}

// Run sends and receives on an address until ctx ends.
func (p *Pinger) Run(ctx context.Context, address string) error {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return fmt.Errorf("listen for signs of life: %w", err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return fmt.Errorf("listen for signs of life: unexpected connection %T", conn)
	}
	var receiving sync.WaitGroup
	receiving.Go(func() { p.receive(ctx, udp) })
	defer receiving.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		p.send(udp)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.check(time.Since(last))
		last = time.Now()
	}
}

func (p *Pinger) send(conn *net.UDPConn) {
	state := p.state()
	data, err := encoder.Marshal(ping{Host: p.self, Leaving: state.leaving, Config: state.config})
	if err != nil {
		p.log.Error("ping-not-encoded", logger.Err(err))
		return
	}
	for _, to := range p.peers() {
		if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
			p.log.Debug("ping-not-sent", logger.Err(err))
		}
	}
}

func (p *Pinger) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxPing)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				p.log.Debug("ping-not-received", logger.Err(err))
			}
			continue
		}
		got, err := encoder.Unmarshal[ping](buf[:n])
		if err != nil {
			p.log.Warn("ping-not-read", logger.Err(err))
			continue
		}
		p.note(got)
		if got.Config > p.state().config {
			p.newer()
		}
	}
}

func (p *Pinger) note(got ping) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.heard[got.Host]
	if h == nil {
		h = &heard{lost: true}
		p.heard[got.Host] = h
	}
	if h.lost || h.leaving != got.Leaving {
		p.log.Info("host-heard", logger.With(logger.KeyPeer, got.Host), logger.With(logger.KeyOutcome, leavingName(got.Leaving)))
	}
	h.at, h.leaving, h.lost = time.Now(), got.Leaving, false
}

func leavingName(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "serving"
}

// check notes hosts that fell silent. After a pause of this process their silence
// means nothing, because their datagrams were not read.
func (p *Pinger) check(since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, h := range p.heard {
		if since > lostAfter {
			h.at = now
		}
		if !h.lost && now.Sub(h.at) > lostAfter {
			h.lost = true
			p.log.Warn("host-silent", logger.With(logger.KeyPeer, name), logger.With(logger.KeyAge, now.Sub(h.at).Milliseconds()))
		}
	}
}
