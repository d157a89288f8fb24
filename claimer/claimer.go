package claimer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Liveness tells which nodes still exist.
type Liveness interface {
	// Gone reports that the lease of the node that wrote a claim has expired, with
	// the guard, or that another instance has taken its name.
	Gone(node string) bool
	// LeaseEnd returns the end of this node's lease by its own clock, as far as it
	// is known now. No other node sees this one as gone before it.
	LeaseEnd() time.Time
}

// alone is the liveness of a node without leases: attempts are only taken over
// after their hold.
type alone struct{}

func (alone) Gone(string) bool    { return false }
func (alone) LeaseEnd() time.Time { return time.Now().Add(time.Hour) }

// Claimed is a request with the right to run.
type Claimed struct {
	*admitter.Admitted
	claim Claim
}

// Claim returns the request's claim.
func (c *Claimed) Claim() Claim { return c.claim }

// Claimer is the fourth stage of the request pipeline.
type Claimer struct {
	table    storer.Table
	node     string
	process  string // differs for each claimer, also for two lives of one node
	attempts atomic.Uint64
	settings settings
	live     Liveness
	asserts  *asserter.Asserter
	flusher  *flusher
	memory   *memory
	settler  *settler
	sweeper  *sweeper

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option sets an optional property of a Claimer.
type Option func(*Claimer)

// WithoutSweeper leaves finished claims in the table.
func WithoutSweeper() Option { return func(c *Claimer) { c.settings.sweepInterval = -1 } }

// WithRetention sets how long finished claims are kept; the default is a day.
func WithRetention(d time.Duration) Option { return func(c *Claimer) { c.settings.retention = d } }

// WithQueue bounds the writes that wait for a commit, and the rows of one commit.
func WithQueue(writes, group int) Option {
	return func(c *Claimer) { c.settings.maxQueue, c.settings.maxGroup = writes, group }
}

// WithCommitTiming sets how long the first write of a group waits for others, and the mean
// time between the starts of two commits.
func WithCommitTiming(window, interval time.Duration) Option {
	return func(c *Claimer) { c.settings.window, c.settings.interval = window, interval }
}

// WithLiveness lets claims of expired nodes be taken over at once.
func WithLiveness(l Liveness) Option { return func(c *Claimer) { c.live = l } }

// New returns a claimer that writes claims in the name of node, which is the
// identity that Liveness knows. Close ends it.
func New(table storer.Table, node string, asserts *asserter.Asserter, opts ...Option) *Claimer {
	c := &Claimer{
		table:    table,
		node:     node,
		process:  processID(),
		settings: defaultSettings(),
		live:     alone{},
		asserts:  asserts,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.flusher = newFlusher(table, c.settings)
	c.memory = newMemory(c.settings.maxMemory, c.settings.retention)
	c.settler = newSettler(c)
	c.sweeper = &sweeper{table: table, settings: c.settings}
	c.SetSweepInterval(c.settings.sweepInterval)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.settler.run(ctx) })
	if c.settings.sweepInterval > 0 {
		c.done.Go(func() { c.sweeper.run(ctx) })
	}
	return c
}

func processID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails; see crypto/rand
	return hex.EncodeToString(b[:])
}

// Close ends the claimer's goroutines. Writes that are not committed yet fail.
func (c *Claimer) Close() {
	c.cancel()
	c.flusher.close()
	c.done.Wait()
}

// SetInterval sets the mean time between two commits of this node. The
// commits of all nodes share the table.
func (c *Claimer) SetInterval(d time.Duration) { c.flusher.interval.Store(int64(d)) }

// SetSweepInterval sets the time between two sweeps of this node from the next
// one on. All nodes sweep the same rows.
func (c *Claimer) SetSweepInterval(d time.Duration) { c.sweeper.interval.Store(int64(d)) }

// Commits returns how many commits the claimer made.
func (c *Claimer) Commits() int64 { return c.flusher.commits.Load() }

// Rows returns how many row writes the commits carried.
func (c *Claimer) Rows() int64 { return c.flusher.rows.Load() }

// Apply claims the work of a non-idempotent request.
func (c *Claimer) Apply(ctx context.Context, a *admitter.Admitted) (*Claimed, error) {
	target, ok := a.Target().(*receiver.ServiceTarget)
	if !ok || a.Idempotent() {
		return &Claimed{Admitted: a, claim: NotRequired{}}, nil
	}
	claim, err := c.Acquire(ctx, a.Request, target)
	if err != nil {
		return nil, err
	}
	return &Claimed{Admitted: a, claim: claim}, nil
}

// note records how the search for a claim ended. Without a trail it does nothing.
func note(ctx context.Context, claim Claim, err error) {
	trail := recorder.From(ctx)
	if trail == nil {
		return
	}
	if err != nil {
		trail.Note(recorder.StageClaimer, "refused", err.Error())
		return
	}
	switch claim := claim.(type) {
	case *Held:
		trail.Note(recorder.StageClaimer, "claimed", "attempt "+claim.attempt)
	case *Replay:
		trail.Note(recorder.StageClaimer, "replayed", "the answer of an earlier attempt is stored")
	}
}

// Acquire claims one call of a plain service. It returns a Held claim or the
// Replay of an earlier answer.
func (c *Claimer) Acquire(ctx context.Context, r *receiver.Request, t *receiver.ServiceTarget) (Claim, error) {
	s := &seeker{
		claimer: c,
		request: r,
		target:  t,
		key:     Key(r.Caller(), t.Service(), t.Key()),
		poll:    firstPoll,
	}
	claim, err := s.seek(ctx)
	note(ctx, claim, err)
	return claim, err
}

func (c *Claimer) newHeld(key string, hash receiver.Fingerprint) *Held {
	attempt := fmt.Sprintf("%s/%s/%d", c.node, c.process, c.attempts.Add(1))
	return &Held{
		claimer: c,
		key:     key,
		attempt: attempt,
		sure:    earlier(time.Now().Add(c.settings.hold), c.live.LeaseEnd()),
		record: record{
			State:    stateClaimed,
			Attempt:  attempt,
			Node:     c.node,
			BodyHash: hash[:],
			Hold:     int64(c.settings.hold),
		},
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// get reads a row with a limit on the time.
func (c *Claimer) get(ctx context.Context, key string) (storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.commitTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return storer.Row{}, fmt.Errorf("read claim: %w", err)
	}
	return row, nil
}

// errContended reports a write that met a conflict whose other side could not be
// read; an earlier try of the same write may have been the other side.
var errContended = eris.New("the claim was written by another attempt or an earlier try")

// noEffect reports whether a failed write certainly was not applied.
func noEffect(err error) bool {
	for _, known := range []error{storer.ErrConflict, storer.ErrUnavailable, errFull, errClosed, errWithdrawn} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// put stores rec as the value of key if the row has the expected version, and
// returns the new version. The effect of a lost answer is looked up by the
// attempt id in rec. An error is ErrConflict only if the row was seen to have
// another version.
func (c *Claimer) put(ctx context.Context, key string, rec record, expected storer.Version) (storer.Version, error) {
	value, err := encodeRecord(rec)
	if err != nil {
		return 0, err
	}
	var doubt error // what earlier tries leave open
	for range maxWriteTries {
		err = c.flusher.commit(ctx, storer.NewPut(key, value, expected))
		if err == nil {
			return expected + 1, nil
		}
		conflict := errors.Is(err, storer.ErrConflict)
		if noEffect(err) && !conflict {
			return 0, doubtful(rec, doubt, err)
		}
		if conflict {
			doubt = errContended
		} else if doubt == nil {
			doubt = storer.ErrUncertain
		}
		found, readErr := c.get(ctx, key)
		if readErr != nil && !errors.Is(readErr, storer.ErrNotFound) {
			return 0, doubtful(rec, doubt, readErr)
		}
		if isOwn(found, rec) {
			return found.Version(), nil
		}
		if found.Version() != expected {
			return 0, fmt.Errorf("store claim as %s: %w", rec.State, storer.NewConflictError(key))
		}
	}
	return 0, doubtful(rec, doubt, err)
}

// doubtful describes a write that failed after tries that left doubt. The cause
// keeps its type only if there is none.
func doubtful(rec record, doubt, cause error) error {
	if doubt == nil {
		return fmt.Errorf("store claim as %s: %w", rec.State, cause)
	}
	return fmt.Errorf("store claim as %s: %w: %s", rec.State, doubt, cause)
}

// isOwn reports whether the row holds what rec's attempt meant to write.
func isOwn(row storer.Row, rec record) bool {
	if row.Version() == 0 {
		return false
	}
	found, err := decodeRecord(row.Value())
	return err == nil && found.Attempt == rec.Attempt && found.State == rec.State
}
