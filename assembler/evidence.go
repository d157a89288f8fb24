package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/broadcaster"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	evidenceInterval   = 150 * time.Millisecond
	evidenceTimeout    = time.Second
	quarantineInterval = 300 * time.Millisecond
)

// exchangeEvidence periodically tells the other hosts of calls that crash endpoints, and
// judges what is known of them.
func (h *Host) exchangeEvidence(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for sleeper.Sleep(ctx, evidenceInterval) == nil {
		h.screener.Judge()
		now := time.Now()
		h.evidence.Add(now, h.screener.TakeUnsent()...)
		for _, d := range h.evidence.Next(now, h.peers()) {
			sending.Go(func() { h.sendEvidence(ctx, d) })
		}
	}
}

func (h *Host) sendEvidence(ctx context.Context, d *broadcaster.Delivery[screener.Evidence]) {
	peer := h.members.View().Host(d.Peer())
	if peer == nil {
		d.Failed(time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if err := h.messenger.SendEvidence(ctx, peer.PeerAddress(), d.Items()); err != nil {
		d.Failed(time.Now())
		h.log.Warn("evidence-not-told", logger.With(logger.KeyPeer, peer.Name()), logger.Err(err))
		return
	}
	d.Delivered()
}

// peers returns the other hosts.
func (h *Host) peers() []broadcaster.Peer {
	var list []broadcaster.Peer
	for _, peer := range h.members.View().Hosts() {
		if peer.Name() != h.members.Self() {
			list = append(list, broadcaster.NewPeer(peer.Name(), peer.ProcessSeen()))
		}
	}
	return list
}

// storeQuarantine keeps the rows of the prompt parts in quarantine.
func (h *Host) storeQuarantine(ctx context.Context) {
	for sleeper.Sleep(ctx, quarantineInterval) == nil {
		h.registrar.Synchronise(ctx)
	}
}
