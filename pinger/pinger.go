package pinger

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/elector"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
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
	// Key 3 was the version of the configuration in force.
	Latest uint64  `cbor:"4,keyasint,omitempty"` // version of the latest row of the operator's table
	AgeMS  *uint32 `cbor:"5,keyasint,omitempty"` // since the store confirmed that table; absent if it never has
}

// peerState is the last known state of another host.
type peerState struct {
	receivedAt time.Time
	leaving    bool
	timedOut   bool // heartbeats have stopped; also set before the first one
}

// State is the state that a host reports in its heartbeats.
type State struct {
	leaving  bool
	operator elector.Announcement
}

// NewState returns a state. Leaving reports whether the host is about to stop; operator is
// the state of its copy of the operator's table.
func NewState(leaving bool, operator elector.Announcement) State {
	return State{leaving: leaving, operator: operator}
}

func encodeHeartbeat(host string, s State) heartbeat {
	h := heartbeat{Host: host, Leaving: s.leaving, Latest: uint64(s.operator.Latest())}
	if age, confirmed := s.operator.Age(); confirmed {
		ms := uint32(min(age.Milliseconds(), math.MaxUint32))
		h.AgeMS = &ms
	}
	return h
}

// announcement returns what a heartbeat says of the operator's table.
func (h heartbeat) announcement() elector.Announcement {
	if h.AgeMS == nil {
		return elector.NewUnconfirmed(storer.Version(h.Latest))
	}
	return elector.NewAnnouncement(storer.Version(h.Latest), time.Duration(*h.AgeMS)*time.Millisecond)
}

// Pinger sends and receives heartbeats.
type Pinger struct {
	self       string
	peers      func() []netip.AddrPort
	state      func() State
	onAnnounce func(host string, a elector.Announcement)
	log        *logger.Logger
	now        chan struct{} // a heartbeat is to be sent at once

	mu         sync.Mutex
	peerStates map[string]*peerState
}

// New returns a pinger for the host self. Peers returns the addresses of the other
// hosts of the data centre. State returns the state to send. OnAnnounce is called for each
// heartbeat of another host.
func New(self string, peers func() []netip.AddrPort, state func() State, onAnnounce func(host string, a elector.Announcement), log *logger.Logger) *Pinger {
	return &Pinger{
		self: self, peers: peers, state: state, onAnnounce: onAnnounce, log: log.Component("pinger"),
		now: make(chan struct{}, 1), peerStates: make(map[string]*peerState),
	}
}

// Announce sends a heartbeat at once, because the state has changed.
func (p *Pinger) Announce() {
	select {
	case p.now <- struct{}{}:
	default: // one is pending
	}
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
		case <-p.now:
			continue
		case <-ticker.C:
		}
		p.checkTimeouts(time.Since(last))
		last = time.Now()
	}
}

func (p *Pinger) send(conn *net.UDPConn) {
	data, err := encoder.Marshal(encodeHeartbeat(p.self, p.state()))
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
		p.onAnnounce(got.Host, got.announcement())
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
