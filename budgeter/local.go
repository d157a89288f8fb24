package budgeter

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// poolGrace is how long a load waits for a permit from the pool before it may
// use the node's local rate. The pool grants loads within this time while the
// table is up.
const poolGrace = 50 * time.Millisecond

// localLoop grants loads from the node's own share of the rate, without access
// to the table.
func (b *Budgeter) localLoop(ctx context.Context) {
	defer b.loops.Done()
	for {
		wait := b.grantLocal(time.Now())
		if !sleep(ctx, wait, b.wakeLocal) {
			return
		}
	}
}

// grantLocal grants one load if the node's time slot has come. It returns how
// long to wait before the next call; a negative duration means until a load
// arrives.
func (b *Budgeter) grantLocal(now time.Time) time.Duration {
	waited, ok := b.queue.oldest(now)
	if !ok {
		return -1
	}
	if waited < poolGrace {
		return poolGrace - waited
	}
	position, nodes := b.members()
	localRate := b.limits().StoreRate() * localShare
	if localRate <= 0 || nodes <= 0 {
		return pollInterval
	}
	// The time slots enforce the rate. The limiter prevents a node from using
	// two consecutive slots when its position changes. It runs at twice the
	// node's rate, so that the node can use any moment of each of its slots.
	b.localLimiter.SetLimit(rate.Limit(2 * localRate / float64(nodes)))
	if wait := untilSlot(now, position, nodes, localRate); wait > 0 {
		return wait
	}
	if !b.startLocal(now) {
		return pollInterval
	}
	if !b.queue.grant(b.endLocal) {
		b.endLocal()
	}
	return 0
}

// untilSlot returns how long to wait for the node's time slot; zero means that
// the slot is now. The slots spread the local loads of all nodes over time.
// Without them, nodes that were idle would start their loads together and
// exceed the rate. A cycle has one slot per node, and a node may start a load
// only in the first half of its slot, so that the loads of two nodes start at
// least half a slot apart.
func untilSlot(now time.Time, position, nodes int, localRate float64) time.Duration {
	slot := time.Duration(float64(time.Second) / localRate)
	cycle := slot * time.Duration(nodes)
	start := slot * time.Duration(position%nodes)
	offset := time.Duration(now.UnixNano()) % cycle
	if offset >= start && offset < start+slot/2 {
		return 0
	}
	return (start - offset + cycle) % cycle
}

func (b *Budgeter) startLocal(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.localLoading || !b.localLimiter.AllowN(now, 1) {
		return false
	}
	b.localLoading = true
	return true
}

func (b *Budgeter) endLocal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.localLoading = false
}
