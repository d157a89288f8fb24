package budgeter

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// poolGrace is the time in which the pool answers while the table is up. Only
// loads that it did not grant use the private rate.
const poolGrace = 50 * time.Millisecond

// privateLoop grants loads from the node's own part of the rate. It needs no
// table.
func (b *Budgeter) privateLoop(ctx context.Context) {
	defer b.loops.Done()
	for {
		wait := b.grantPrivate(time.Now())
		if !sleep(ctx, wait, b.wakePrivate) {
			return
		}
	}
}

// grantPrivate grants one load if the node's turn has come, and returns when to
// look again; a negative time means not before a load waits.
func (b *Budgeter) grantPrivate(now time.Time) time.Duration {
	waited, ok := b.queue.oldest(now)
	if !ok {
		return -1
	}
	if waited < poolGrace {
		return poolGrace - waited
	}
	position, nodes := b.members()
	total := b.limits().StoreRate() * privateShare
	if total <= 0 || nodes <= 0 {
		return pollEvery
	}
	// The turns keep to the rate. The limiter keeps a node from taking two turns
	// in a row when its position changes; its slack of 2 lets it take each turn
	// at any moment of the turn.
	b.private.SetLimit(rate.Limit(2 * total / float64(nodes)))
	if wait := untilTurn(now, position, nodes, total); wait > 0 {
		return wait
	}
	if !b.takePrivate(now) {
		return pollEvery
	}
	if !b.queue.grant(b.endPrivate) {
		b.endPrivate()
	}
	return 0
}

// untilTurn spreads the private loads of all nodes over time. Without it, nodes
// that were idle would start their loads together, above the rate. Each node's
// turn is the first half of its place in a cycle, so that the loads of two
// nodes are at least half a place apart.
func untilTurn(now time.Time, position, nodes int, total float64) time.Duration {
	place := time.Duration(float64(time.Second) / total)
	cycle := place * time.Duration(nodes)
	start := place * time.Duration(position%nodes)
	at := time.Duration(now.UnixNano()) % cycle
	if at >= start && at < start+place/2 {
		return 0
	}
	return (start - at + cycle) % cycle
}

func (b *Budgeter) takePrivate(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flying || !b.private.AllowN(now, 1) {
		return false
	}
	b.flying = true
	return true
}

func (b *Budgeter) endPrivate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flying = false
}
