package replicator

import (
	"context"
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
	// maxUnshared limits the records that are collected.
	maxUnshared = 4096
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
}

// Members provides the hosts.
type Members interface {
	View() *enroller.View
	Self() string
}

// Coverage returns how far back this host has received the records of a service.
type Coverage func(service string, now time.Time) pinner.Coverage

// Replicator keeps records and has other hosts keep them. It is safe for concurrent use.
type Replicator struct {
	remote   Remote
	members  Members
	coverage Coverage
	memory   *memory
	log      *logger.Logger
	work     sync.WaitGroup
	mu       sync.Mutex
	unshared []Record
}

// New returns a replicator. Lifetime is the time after which a stream is over.
func New(remote Remote, members Members, coverage Coverage, lifetime time.Duration, log *logger.Logger) *Replicator {
	return &Replicator{remote: remote, members: members, coverage: coverage, memory: newMemory(lifetime), log: log.Component("replicator")}
}

// Keep keeps records of another host.
func (r *Replicator) Keep(records []Record) { r.memory.add(time.Now(), false, records...) }

// Answer returns what this host knows of the record of a stream.
func (r *Replicator) Answer(service, key string) pinner.Answer {
	now := time.Now()
	if record, ok := r.memory.find(now, key); ok {
		return pinner.NewFound(record.version)
	}
	if c, ok := r.coverage(service, now).(pinner.Complete); ok {
		return pinner.NewAbsent(pinner.NewComplete(min(c.Span(), r.memory.span(now))))
	}
	return pinner.NewAbsent(pinner.Incomplete{})
}

// Own returns the records of the streams that began at this host.
func (r *Replicator) Own() []Record { return r.memory.ownRecords(time.Now()) }

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
	r.memory.add(time.Now(), true, record)
	peers := r.keepers(record.key, copies, false)
	done := make(chan error, 1)
	if len(peers) == 0 {
		done <- ErrAlone
		return done
	}
	results := make(chan error, len(peers))
	for _, p := range peers {
		r.work.Go(func() { results <- r.send(p, []Record{record}) })
	}
	r.work.Go(func() {
		kept := 0
		for range peers {
			if err := <-results; err == nil {
				kept++
			}
			if kept >= min(minCopies, len(peers)) {
				done <- nil
				return
			}
		}
		done <- errTooFewCopies
	})
	return done
}

func (r *Replicator) send(peer *enroller.Host, records []Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout) // a caller that goes away may resume
	defer cancel()
	err := r.remote.Replicate(ctx, peer.PeerAddress(), records)
	if err != nil {
		r.log.Warn("record-not-replicated", logger.With(logger.KeyPeer, peer.Name()), logger.With(logger.KeyCount, len(records)), logger.Err(err))
	}
	return err
}

// Share keeps the record of a stream that began here, and sends it to other hosts in the background.
func (r *Replicator) Share(record Record) {
	r.memory.add(time.Now(), true, record)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unshared) < maxUnshared {
		r.unshared = append(r.unshared, record)
	}
}

// Close waits for the requests to other hosts. No record may be added from then on.
func (r *Replicator) Close() { r.work.Wait() }

// Run sends shared records to other hosts until ctx is done, and those that are left then.
func (r *Replicator) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, shareInterval) == nil {
		r.sendUnshared()
	}
	r.sendUnshared()
}

func (r *Replicator) sendUnshared() {
	byPeer := make(map[*enroller.Host][]Record)
	for _, record := range r.takeUnshared() {
		for _, p := range r.keepers(record.key, copies, false) {
			byPeer[p] = append(byPeer[p], record)
		}
	}
	for p, list := range byPeer {
		r.work.Go(func() { _ = r.send(p, list) }) // logged; the record is missing there
	}
}

func (r *Replicator) takeUnshared() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.unshared
	r.unshared = nil
	return list
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
