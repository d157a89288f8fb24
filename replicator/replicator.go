package replicator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	// copies is the number of other hosts that receive a record, and minCopies how many
	// of them have to keep it, so that it outlives its host and one more.
	copies    = 4
	minCopies = 2
	// requestTimeout limits one request to another host.
	requestTimeout = 600 * time.Millisecond
	// shareInterval is the time in which records that nobody waits for are collected.
	shareInterval = 200 * time.Millisecond
	// retryDelay is the time after which records are sent again to a host that did not
	// answer.
	retryDelay = time.Second
)

var (
	// ErrAlone reports that there is no other live host.
	ErrAlone = eris.New("no other host is alive")

	errTooFewCopies = eris.New("too few other hosts keep the record of the stream")
)

// Remote calls the host at an address.
type Remote interface {
	// Replicate makes the host keep records.
	Replicate(ctx context.Context, address string, records []Record) error
	// Find asks the host for the record of a stream of a service.
	Find(ctx context.Context, address, service, key string) (pinner.Answer, error)
	// Status asks the host which of its records a process of this host has received.
	Status(ctx context.Context, address string, process uint64) (Status, error)
}

// Members provides the hosts.
type Members interface {
	View() *enroller.View
	Self() string
	Process() uint64
	CopiedAt() map[uint64]time.Time
}

// Coverage is how far back this host has received the records of services.
type Coverage interface {
	// Coverage returns how far back the records of a service reach.
	Coverage(service string, now time.Time) pinner.Coverage
	// Services returns the services that are known.
	Services() []string
	// MayCatchUp reports whether other hosts may hold records that this host has not
	// received, and since when it has been without them.
	MayCatchUp(now time.Time) (since time.Time, ok bool)
}

// Replicator keeps records and has other hosts keep them. It is safe for concurrent use.
type Replicator struct {
	remote   Remote
	members  Members
	coverage Coverage
	memory   *memory
	log      *logger.Logger
	work     sync.WaitGroup
	mu       sync.Mutex
	pending  []string // keys of records whose keepers have not been looked at
	outboxes outboxes
	catchUp  catchUp
}

// New returns a replicator. Lifetime is the time after which a stream is over.
func New(remote Remote, members Members, coverage Coverage, lifetime time.Duration, log *logger.Logger) *Replicator {
	return &Replicator{remote: remote, members: members, coverage: coverage, memory: newMemory(lifetime), log: log.Component("replicator")}
}

// Keep keeps records of another host, which sends them to the other keepers, too. A host
// that has joined lately may not be known there yet.
func (r *Replicator) Keep(records []Record) {
	now := time.Now()
	entries := make([]*entry, 0, len(records))
	var pending []string
	for _, record := range records {
		e := newEntry(now, record)
		for _, h := range r.keepers(record.key, copies, false) {
			if now.Sub(h.ProcessSeen()) > enroller.SettleTime {
				e.kept = append(e.kept, h.Process())
			}
		}
		if len(e.kept) < copies {
			pending = append(pending, record.key)
		}
		entries = append(entries, e)
	}
	r.memory.add(now, entries...)
	r.addPending(pending...)
}

// keepOwn keeps the record of a stream that began at this host.
func (r *Replicator) keepOwn(record Record) {
	now := time.Now()
	r.memory.add(now, newEntry(now, record.From(r.members.Process())))
}

func (r *Replicator) addPending(keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, keys...)
}

// Answer returns what this host knows of the record of a stream.
func (r *Replicator) Answer(service, key string) pinner.Answer {
	now := time.Now()
	if record, ok := r.memory.find(now, key); ok {
		return pinner.NewFound(record.version)
	}
	return pinner.NewAbsent(r.coverageOf(service, now))
}

// coverageOf returns how far back the records of a service reach here.
func (r *Replicator) coverageOf(service string, now time.Time) pinner.Coverage {
	if c, ok := r.coverage.Coverage(service, now).(pinner.Complete); ok {
		return pinner.NewComplete(min(c.Span(), r.memory.span(now)))
	}
	return pinner.Incomplete{}
}

// Replicate keeps the record of a stream that began here, and has other hosts keep it. The
// channel receives nil once enough of them do, or why they do not.
func (r *Replicator) Replicate(record Record) <-chan error {
	return r.replicate(record, copies, minCopies)
}

// ReplicateToAll is like Replicate, but the record has to reach all other live hosts.
func (r *Replicator) ReplicateToAll(record Record) <-chan error {
	hosts := r.members.View().LiveCount()
	return r.replicate(record, hosts, hosts)
}

func (r *Replicator) replicate(record Record, copies, minCopies int) <-chan error {
	r.keepOwn(record)
	peers := r.keepers(record.key, copies, false)
	done := make(chan error, 1)
	if len(peers) == 0 {
		r.addPending(record.key)
		done <- ErrAlone
		return done
	}
	results := make(chan error, len(peers))
	for _, p := range peers {
		r.work.Go(func() { results <- r.send(p, []Record{record.From(r.members.Process())}) })
	}
	r.work.Go(func() {
		kept := 0
		for range peers {
			if err := <-results; err != nil {
				continue
			}
			if kept++; kept == min(minCopies, len(peers)) {
				done <- nil
			}
		}
		if kept < len(peers) {
			r.addPending(record.key) // sent again, also to hosts that take the place of others
		}
		if kept < min(minCopies, len(peers)) {
			done <- errTooFewCopies
		}
	})
	return done
}

func (r *Replicator) send(peer *enroller.Host, records []Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout) // a caller that goes away may resume
	defer cancel()
	err := r.remote.Replicate(ctx, peer.PeerAddress(), records)
	if err != nil {
		r.log.Warn("record-not-replicated", logger.With(logger.KeyPeer, peer.Name()), logger.With(logger.KeyCount, len(records)), logger.Err(err))
		return fmt.Errorf("send records to host: %w", err)
	}
	r.memory.markKept(peer.Process(), records)
	return nil
}

// Share keeps the record of a stream that began here, and sends it to other hosts in the background.
func (r *Replicator) Share(record Record) {
	r.keepOwn(record)
	r.addPending(record.key)
}

// Close waits for the requests to other hosts. No record may be added from then on.
func (r *Replicator) Close() { r.work.Wait() }

// Run sends records to the hosts that should keep them and may lack them until ctx is done,
// and once more then.
func (r *Replicator) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, shareInterval) == nil {
		r.sendPending()
	}
	r.sendPending()
}

// sendPending sends shared records, and all records to the hosts that have become keepers
// because others have ended or joined.
func (r *Replicator) sendPending() {
	now, hosts := time.Now(), r.others()
	byProcess := make(map[uint64][]string)
	for _, key := range r.takePending(now, hosts) {
		for _, h := range r.keepers(key, copies, false) {
			byProcess[h.Process()] = append(byProcess[h.Process()], key)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for process, box := range r.outboxes.byProcess {
		box.keys = append(box.keys, byProcess[process]...)
		if keys := box.take(now); keys != nil {
			host := box.host
			r.work.Go(func() { r.deliver(host, box, keys) })
		}
	}
}

// takePending returns the keys of the records whose keepers are to be looked at: those of
// all records if hosts have joined or ended. Without other hosts the records wait for that.
func (r *Replicator) takePending(now time.Time, hosts []*enroller.Host) []string {
	members := r.members.Process()
	for _, h := range hosts {
		members ^= h.Process() // does not depend on the order
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	if members == r.outboxes.members {
		return pending
	}
	r.outboxes.reset(members, hosts)
	pending = pending[:0]
	for _, record := range r.memory.records(now) {
		pending = append(pending, record.key)
	}
	return pending
}

// deliver sends the records with keys from an outbox that the host may lack.
func (r *Replicator) deliver(host *enroller.Host, box *outbox, keys []string) {
	var err error
	if records := r.memory.lacking(time.Now(), host.Process(), keys); len(records) > 0 {
		err = r.send(host, records)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	box.finish(time.Now(), keys, err)
}

// Find asks the hosts that may keep the record of a stream, this one included, and returns
// an answer of each, in the order in which they arrive.
func (r *Replicator) Find(ctx context.Context, service, key string) <-chan pinner.Answer {
	keepers := r.keepers(key, copies+1, true)
	answers := make(chan pinner.Answer, len(keepers))
	var asked sync.WaitGroup
	for _, p := range keepers {
		if p.Name() == r.members.Self() {
			answers <- r.Answer(service, key)
			continue
		}
		asked.Go(func() { answers <- r.ask(ctx, p, service, key) })
	}
	r.work.Go(func() {
		asked.Wait()
		close(answers)
	})
	return answers
}

func (r *Replicator) ask(ctx context.Context, peer *enroller.Host, service, key string) pinner.Answer {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := r.remote.Find(ctx, peer.PeerAddress(), service, key)
	if err != nil {
		r.log.Warn("record-lookup-failed", logger.With(logger.KeyPeer, peer.Name()), logger.Err(err))
		return pinner.NewAbsent(pinner.Unknown{})
	}
	return answer
}

// keepers returns the hosts that keep the record with a key, with or without this one.
func (r *Replicator) keepers(key string, n int, self bool) []*enroller.Host {
	list := r.members.View().Ranked(key, n+1)
	kept := list[:0]
	for _, h := range list {
		if (self || h.Name() != r.members.Self()) && len(kept) < n {
			kept = append(kept, h)
		}
	}
	return kept
}
