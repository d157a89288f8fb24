package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/pinner"
)

// Responsible returns the records that this host has to store again after a restore of the
// store: those of streams that began here, or at a process that does not serve any more.
func (r *Replicator) Responsible() []Record {
	serving := make(map[uint64]bool)
	for _, h := range r.others() {
		serving[h.Process()] = true
	}
	return slices.DeleteFunc(r.memory.records(time.Now()), func(record Record) bool { return serving[record.origin] })
}

// Restatements returns what all other live hosts say of the records that a restore may have
// lost. It returns false if one does not answer, or takes other hosts to be live: which host
// has to store a record follows from that. It also returns false while a host may be live
// whose row the restore has lost.
func (r *Replicator) Restatements(ctx context.Context) ([]pinner.Restatement, bool) {
	others := r.others()
	awaited, settled := r.members.View().Awaited()
	if !settled && (len(others) == 0 || len(awaited) > 0) || r.anyAnswers(ctx, awaited) {
		return nil, false
	}
	r.mu.Lock()
	members := r.outboxes.members
	r.mu.Unlock()
	var list []pinner.Restatement
	for hosts := range slices.Chunk(others, maxAsked) {
		for _, status := range r.statuses(ctx, hosts) {
			if status == nil || status.members != members {
				return nil, false
			}
			list = append(list, status.Restatement)
		}
	}
	return list, true
}

// anyAnswers reports whether any of the hosts answers, which therefore has not terminated.
func (r *Replicator) anyAnswers(ctx context.Context, hosts []*enroller.Host) bool {
	for chunk := range slices.Chunk(hosts, maxAsked) {
		if slices.ContainsFunc(r.statuses(ctx, chunk), func(s *Status) bool { return s != nil }) {
			return true
		}
	}
	return false
}

// awaitedMembers identifies the set of hosts that may be live although a restore of the
// store has lost their rows. It is 0 if there are none.
func (r *Replicator) awaitedMembers() uint64 {
	awaited, settled := r.members.View().Awaited()
	if settled {
		return 0
	}
	members := uint64(0)
	for _, h := range awaited {
		members ^= h.Process()
	}
	return members
}

// others returns the live hosts that are not leaving, without this one.
func (r *Replicator) others() []*enroller.Host {
	return slices.DeleteFunc(r.members.View().Serving(), func(h *enroller.Host) bool { return h.Name() == r.members.Self() })
}
