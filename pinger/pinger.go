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
	// heartbeatTimeout tolerates the loss of three consecutive datagrams.
	heartbeatTimeout = 2200 * time.Millisecond
	maxDatagram      = 512 // bytes
)

// heartbeat is the content of a datagram.
type heartbeat struct {
	Host    string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"`
	Config  int64  `cbor:"3,keyasint,omitempty"` // version of the configuration in force
}

// peerState is the last known state of another host.
type peerState struct {
	receivedAt time.Time
	leaving    bool
	timedOut   bool // heartbeats have stopped; also set before the first one
}

// State is the state that a host reports in its heartbeats.
type State struct {
	leaving bool
	config  int64
}

// NewState returns a state. Leaving reports whether the host is about to stop; config
// is the version of its configuration in force.
func NewState(leaving bool, config int64) State { return State{leaving: leaving, config: config} }

// Pinger sends and receives heartbeats.
type Pinger struct {
	self          string
	peers         func() []netip.AddrPort
	state         func() State
	onNewerConfig func(host string, version int64)
	log           *logger.Logger

	mu         sync.Mutex
	peerStates map[string]*peerState
}

// New returns a pinger for the host self. Peers returns the addresses of the other
// hosts of the data centre. State returns the state to send. OnNewerConfig is called
// for each heartbeat from a host that has a newer configuration, with its version.
func New(self string, peers func() []netip.AddrPort, state func() State, onNewerConfig func(host string, version int64), log *logger.Logger) *Pinger {
	return &Pinger{self: self, peers: peers, state: state, onNewerConfig: onNewerConfig, log: log.Component("pinger"), peerStates: make(map[string]*peerState)}
}

// Alive reports whether a host is alive: it sent a heartbeat within heartbeatTimeout
// and is not leaving. Known is false if it never sent one.
func (p *Pinger) Alive(host string) (alive, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.peerStates[host]
	if !ok {
		return false, false
	}
	return !h.leaving && time.Since(h.receivedAt) <= heartbeatTimeout, true
}

// Run sends and receives heartbeats on a UDP address until ctx ends.
func (p *Pinger) Run(ctx context.Context, address string) error {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return fmt.Errorf("listen for heartbeats: %w", err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return fmt.Errorf("listen for heartbeats: unexpected connection %T", conn)
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
		p.checkTimeouts(time.Since(last))
		last = time.Now()
	}
}

func (p *Pinger) send(conn *net.UDPConn) {
	state := p.state()
	data, err := encoder.Marshal(heartbeat{Host: p.self, Leaving: state.leaving, Config: state.config})
	if err != nil {
		p.log.Error("heartbeat-not-encoded", logger.Err(err))
		return
	}
	for _, to := range p.peers() {
		if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
			p.log.Debug("heartbeat-not-sent", logger.Err(err))
		}
	}
}

func (p *Pinger) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				p.log.Debug("heartbeat-not-received", logger.Err(err))
			}
			continue
		}
		got, err := encoder.Unmarshal[heartbeat](buf[:n])
		if err != nil {
			p.log.Warn("heartbeat-not-decoded", logger.Err(err))
			continue
		}
		p.record(got)
		if got.Config > p.state().config {
			p.onNewerConfig(got.Host, got.Config)
		}
	}
}

func (p *Pinger) record(got heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.peerStates[got.Host]
	if h == nil {
		h = &peerState{timedOut: true}
		p.peerStates[got.Host] = h
	}
	if h.timedOut || h.leaving != got.Leaving {
		p.log.Info("host-state-changed", logger.With(logger.KeyPeer, got.Host), logger.With(logger.KeyOutcome, outcome(got.Leaving)))
	}
	h.receivedAt, h.leaving, h.timedOut = time.Now(), got.Leaving, false
}

func outcome(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "serving"
}

// checkTimeouts marks the hosts whose heartbeats have timed out. After a pause of
// this process longer than heartbeatTimeout, it restarts the timeout of each host,
// because the datagrams were not read during the pause.
func (p *Pinger) checkTimeouts(elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, h := range p.peerStates {
		if elapsed > heartbeatTimeout {
			h.receivedAt = now
		}
		if !h.timedOut && now.Sub(h.receivedAt) > heartbeatTimeout {
			h.timedOut = true
			p.log.Warn("host-silent", logger.With(logger.KeyPeer, name), logger.With(logger.KeyAge, now.Sub(h.receivedAt).Milliseconds()))
		}
	}
}
