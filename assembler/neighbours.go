package assembler

import (
	"net/netip"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/subscriber"
)

// neighbours are the other hosts of the data centre.
type neighbours struct{ host *Host }

// Heard implements subscriber.Peers.
func (n neighbours) Heard() []subscriber.Peer {
	return n.list(func(peer *enroller.Host) bool {
		alive, _ := n.host.pinger.Heard(peer.Name())
		return alive
	})
}

// manyEngines is how many engines make tables large: a host then reads some 200 KB
// when it starts.
const manyEngines = 500

// Listed implements subscriber.Peers.
func (n neighbours) Listed() []subscriber.Peer {
	view := n.host.members.View()
	if view.Owned() < manyEngines {
		return nil
	}
	return n.list(view.Alive)
}

func (n neighbours) list(accept func(*enroller.Host) bool) []subscriber.Peer {
	var list []subscriber.Peer
	for _, peer := range n.host.members.View().Hosts() {
		if n.host.isNeighbour(peer) && accept(peer) {
			list = append(list, subscriber.NewPeer(peer.Name(), peer.Peers(), peer.Link()))
		}
	}
	return list
}

// neighbourAddresses returns where the other hosts of the data centre listen for
// signs of life.
func (h *Host) neighbourAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, peer := range h.members.View().Hosts() {
		if address, err := netip.ParseAddrPort(peer.Peers()); err == nil && h.isNeighbour(peer) {
			list = append(list, address)
		}
	}
	return list
}

func (h *Host) isNeighbour(peer *enroller.Host) bool {
	return peer.Zone() == h.members.Zone() && peer.Name() != h.members.Self()
}
