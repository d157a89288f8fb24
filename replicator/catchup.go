package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
)

const (
	// maxAsked limits the hosts that are asked at a time.
	maxAsked = 32
	// maxSilent is the number of hosts that need not confirm: an ended host counts as live
	// for some seconds, and each record has two copies besides the one at its origin.
	maxSilent = minCopies - 1
	// catchUpTime is the time after which the answers of hosts count that may lack records
	// themselves. Without it, hosts that start together would never be done.
	catchUpTime = 10 * time.Second
)

// Status is what a host says of the records that it holds, also to a process of another host
// that should keep some of them.
type Status struct {
	sent    bool
	final   bool
	members uint64
	pinner.Restatement
}

// NewStatus returns a status. Sent is whether the process has received all of the records
// that it should keep, and final whether the host itself does not expect older records of
// others. Members identifies the set of hosts that the host takes to be live, or that may be
// although a restore of the store has lost their rows.
func NewStatus(sent, final bool, members uint64, restatement pinner.Restatement) Status {
	return Status{sent: sent, final: final, members: members, Restatement: restatement}
}

// Sent reports whether the process has received all of the records that it should keep.
func (s Status) Sent() bool { return s.sent }

// Final reports whether the host does not expect older records of others.
func (s Status) Final() bool { return s.final }

// Members identifies the set of hosts that the host takes to be live.
func (s Status) Members() uint64 { return s.members }

// confirmation is the status of a host that has sent all of its records.
type confirmation struct {
	at    time.Time
	spans map[string]time.Duration
}

// since returns the time from which on the host lacks no record of a service.
func (c confirmation) since(service string) time.Time { return c.at.Add(-c.spans[service]) }

// catchUp holds which processes have sent their records since this host began to lack some.
type catchUp struct {
	since     time.Time
	confirmed map[uint64]confirmation
}

// Status returns what this host says to a process of another host. Era is the latest era of
// the store in which it has all records that this host has to store.
func (r *Replicator) Status(process, era uint64) Status {
	now := time.Now()
	spans := make(map[string]time.Duration)
	for _, service := range r.coverage.Services() {
		if c, ok := r.coverageOf(service, now).(pinner.Complete); ok {
			spans[service] = c.Span()
		}
	}
	copies := make(map[uint64]time.Duration)
	for begun, at := range r.members.CopiedAt() {
		copies[begun] = now.Sub(at)
	}
	_, behind := r.coverage.MayCatchUp(now)
	awaited := r.awaitedMembers()
	r.mu.Lock()
	defer r.mu.Unlock()
	return NewStatus(r.outboxes.sent(process), !behind, r.outboxes.members^awaited, pinner.NewRestatement(era, spans, copies))
}

// CatchUp asks other hosts whether this one has received all of the records that they hold
// and that it should keep. Once they have confirmed it, CatchUp returns the time by service
// from which on this host lacks no record. It has to be called again until then.
func (r *Replicator) CatchUp(ctx context.Context) (map[string]time.Time, bool) {
	since, behind := r.coverage.MayCatchUp(time.Now())
	if !behind {
		return nil, false
	}
	r.mu.Lock()
	if !since.Equal(r.catchUp.since) {
		r.catchUp = catchUp{since: since, confirmed: make(map[uint64]confirmation)}
	}
	r.mu.Unlock()
	hosts := r.others()
	r.askStatus(ctx, hosts, time.Since(since) > catchUpTime)
	r.mu.Lock()
	result, ok := r.catchUp.result(hosts, r.coverage.Services())
	r.mu.Unlock()
	if ok {
		r.log.Info("records-caught-up", logger.With(logger.KeyCount, len(hosts)), logger.With(logger.KeyAge, time.Since(since).Milliseconds()))
	}
	return result, ok
}

// askStatus asks hosts that have not confirmed.
func (r *Replicator) askStatus(ctx context.Context, hosts []*enroller.Host, acceptBehind bool) {
	r.mu.Lock()
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *enroller.Host) bool {
		_, confirmed := r.catchUp.confirmed[h.Process()]
		return confirmed
	})
	r.mu.Unlock()
	hosts = hosts[:min(len(hosts), maxAsked)]
	for i, status := range r.statuses(ctx, hosts) {
		if status == nil || !status.sent || !status.final && !acceptBehind {
			continue
		}
		r.mu.Lock()
		r.catchUp.confirmed[hosts[i].Process()] = confirmation{at: time.Now(), spans: status.Spans()}
		r.mu.Unlock()
	}
}

// statuses returns the status of each host, or nil if it does not answer.
func (r *Replicator) statuses(ctx context.Context, hosts []*enroller.Host) []*Status {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list := make([]*Status, len(hosts))
	var asked sync.WaitGroup
	for i, h := range hosts {
		asked.Go(func() {
			status, err := r.remote.Status(ctx, h.PeerAddress(), r.members.Process())
			if err != nil {
				r.log.Warn("record-status-failed", logger.With(logger.KeyPeer, h.Name()), logger.Err(err))
				return
			}
			list[i] = &status
		})
	}
	asked.Wait()
	return list
}

// result returns the times by service from which on this host lacks no record, if enough of
// the other live hosts have confirmed that they have sent theirs.
func (c catchUp) result(hosts []*enroller.Host, services []string) (map[string]time.Time, bool) {
	var list []confirmation
	for _, h := range hosts {
		if one, ok := c.confirmed[h.Process()]; ok {
			list = append(list, one)
		}
	}
	needed := max(len(hosts)-maxSilent, 1)
	if len(list) < needed {
		return nil, false
	}
	result := make(map[string]time.Time)
	for _, service := range services {
		times := make([]time.Time, 0, len(list))
		for _, one := range list {
			times = append(times, one.since(service))
		}
		slices.SortFunc(times, time.Time.Compare)
		result[service] = times[needed-1]
	}
	return result, true
}
