package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/broadcaster"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	outboxInterval     = 150 * time.Millisecond
	outboxTimeout      = time.Second
	quarantineInterval = 300 * time.Millisecond
)

// outbox sends to the other hosts what this host has learned.
type outbox[T any] struct {
	host    *Host
	items   *broadcaster.Broadcaster[T]
	take    func() []T // returns what has not been told yet
	send    func(ctx context.Context, address string, items []T) error
	failure string // event of the log line if a host was not told
}

// run sends the items until ctx ends. Each interval begins with the function before.
func (n *outbox[T]) run(ctx context.Context, before func()) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for sleeper.Sleep(ctx, outboxInterval) == nil {
		before()
		now := time.Now()
		n.items.Add(now, n.take()...)
		for _, d := range n.items.Next(now, n.host.peers()) {
			sending.Go(func() { n.deliver(ctx, d) })
		}
	}
}

func (n *outbox[T]) deliver(ctx context.Context, d *broadcaster.Delivery[T]) {
	peer := n.host.members.View().Host(d.Peer())
	if peer == nil {
		d.Failed(time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	if err := n.send(ctx, peer.PeerAddress(), d.Items()); err != nil {
		d.Failed(time.Now())
		n.host.log.Warn(n.failure, logger.With(logger.KeyPeer, peer.Name()), logger.Err(err))
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

// judgeCrashes passes on the crashes that are confirmed, and judges all that are known.
func (h *Host) judgeCrashes(ctx context.Context) {
	for _, m := range h.confirmer.Confirmed(ctx) {
		h.screener.RecordCrash(m)
	}
	h.screener.Judge()
}

// storeQuarantine keeps the rows of the prompt parts in quarantine.
func (h *Host) storeQuarantine(ctx context.Context) {
	for sleeper.Sleep(ctx, quarantineInterval) == nil {
		h.registrar.Synchronise(ctx)
	}
}
