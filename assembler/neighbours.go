package assembler

import (
	"context"
	"net/netip"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/subscriber"
)

// neighbours returns the other live hosts of the data centre.
func (h *Host) neighbours() []subscriber.Peer {
	var list []subscriber.Peer
	for _, peer := range h.members.View().Hosts() {
		if alive, _ := h.pinger.Alive(peer.Name()); alive && h.isNeighbour(peer) {
			list = append(list, subscriber.NewPeer(peer.Name(), peer.PeerAddress(), peer.LinkMbps()))
		}
	}
	return list
}

// startTimeout bounds the read of the hosts' rows at the start.
const startTimeout = time.Second

// startNeighbours returns the other hosts of the data centre that the store lists when this
// host starts. They may be starting, too. It returns none while the store does not answer.
func (h *Host) startNeighbours(ctx context.Context) []subscriber.Peer {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	if h.listed != nil {
		return h.listed
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	rows, err := h.store.Table(tableFleet).List(ctx, enroller.HostPrefix)
	if err != nil {
		h.log.Warn("hosts-not-listed", logger.Err(err))
		return nil
	}
	h.listed = []subscriber.Peer{}
	for _, peer := range enroller.ListedHosts(rows.List()) {
		if h.isNeighbour(peer) {
			h.listed = append(h.listed, subscriber.NewPeer(peer.Name(), peer.PeerAddress(), peer.LinkMbps()))
		}
	}
	return h.listed
}

// seeds returns the hosts of the settings that may have copies of the tables when this host starts.
func (h *Host) seeds() []subscriber.Peer {
	var list []subscriber.Peer
	for _, address := range h.settings.Load().Seeds() {
		list = append(list, subscriber.NewPeer(address, address, 0))
	}
	return list
}

// neighbourAddresses returns the addresses on which the other hosts of the data
// centre receive heartbeats.
func (h *Host) neighbourAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, peer := range h.members.View().Hosts() {
		if address, err := netip.ParseAddrPort(peer.PeerAddress()); err == nil && h.isNeighbour(peer) {
			list = append(list, address)
		}
	}
	return list
}

func (h *Host) isNeighbour(peer *enroller.Host) bool {
	return peer.DataCentre() == h.members.DataCentre() && peer.Name() != h.members.Self()
}

// peerAddress returns the address of another host for calls from hosts.
func (h *Host) peerAddress(host string) (string, bool) {
	peer := h.members.View().Host(host)
	if peer == nil {
		return "", false
	}
	return peer.PeerAddress(), true
}
