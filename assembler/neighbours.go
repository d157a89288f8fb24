package assembler

import (
	"net/netip"

	"github.com/dragonflyford/dragonflyford/enroller"
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
