package replicator

import (
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
)

// maxBatch limits the records of one request, some 25 bytes each.
const maxBatch = 2000

// outbox holds the keys of the records that are to be sent to a process of another host.
type outbox struct {
	host    *enroller.Host
	keys    []string
	sending bool
	retryAt time.Time
}

// take removes the next keys to send, if the host may be called now.
func (o *outbox) take(now time.Time) []string {
	if o.sending || now.Before(o.retryAt) || len(o.keys) == 0 {
		return nil
	}
	n := min(len(o.keys), maxBatch)
	keys := o.keys[:n:n]
	o.keys = o.keys[n:]
	o.sending = true
	return keys
}

// finish records how the request with keys ended.
func (o *outbox) finish(now time.Time, keys []string, err error) {
	o.sending = false
	if err != nil {
		o.keys = append(keys, o.keys...)
		o.retryAt = now.Add(retryDelay)
	}
}

func (o *outbox) empty() bool { return !o.sending && len(o.keys) == 0 }

// outboxes are the outboxes of the processes that serve.
type outboxes struct {
	members   uint64 // of the latest look at the hosts
	byProcess map[uint64]*outbox
}

// reset replaces the processes, because hosts have joined or ended.
func (b *outboxes) reset(members uint64, hosts []*enroller.Host) {
	next := make(map[uint64]*outbox, len(hosts))
	for _, h := range hosts {
		box := b.byProcess[h.Process()]
		if box == nil {
			box = &outbox{}
		}
		box.host, box.keys = h, nil
		next[h.Process()] = box
	}
	b.members, b.byProcess = members, next
}

// sent reports whether nothing is left to send to a process.
func (b *outboxes) sent(process uint64) bool {
	box, serves := b.byProcess[process]
	return serves && box.empty()
}
