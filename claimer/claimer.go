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

// Liveness reports which nodes still hold their lease.
type Liveness interface {
	// Expired reports whether the lease of a node's process has expired, including
	// the guard, or another process has taken its name.
	Expired(node string) bool
	// LeaseEnd returns the end of this node's current lease by its own clock. No
	// other node treats this lease as expired before then.
	LeaseEnd() time.Time
}

// noLeases implements Liveness for a deployment without leases: claims are only
// taken over after their hold.
type noLeases struct{}

func (noLeases) Expired(string) bool { return false }
func (noLeases) LeaseEnd() time.Time { return time.Now().Add(time.Hour) }

// Claimed is a request with its claim.
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
	process  string // unique per Claimer, also across restarts of a node
	attempts atomic.Uint64
	settings settings
	liveness Liveness
	asserts  *asserter.Asserter
	flusher  *flusher
	cache    *keyCache
	finals   *finalWriter
	sweeper  *sweeper

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Option sets an optional property of a Claimer.
type Option func(*Claimer)

// WithoutSweeper disables the deletion of finished claims.
func WithoutSweeper() Option { return func(c *Claimer) { c.settings.sweepInterval = -1 } }

// WithRetention sets how long finished claims are kept; the default is a day.
func WithRetention(d time.Duration) Option { return func(c *Claimer) { c.settings.retention = d } }

// WithQueue limits the writes that wait for a commit and the rows of one commit.
func WithQueue(writes, group int) Option {
	return func(c *Claimer) { c.settings.maxQueue, c.settings.maxGroup = writes, group }
}

// WithCommitTiming sets how long the first write of a group waits for others, and
// the mean time between the starts of two commits.
func WithCommitTiming(window, interval time.Duration) Option {
	return func(c *Claimer) { c.settings.window, c.settings.interval = window, interval }
}

// WithLiveness allows claims of expired nodes to be taken over at once.
func WithLiveness(l Liveness) Option { return func(c *Claimer) { c.liveness = l } }

// New returns a claimer that writes claims in the name of node, the identity that
// is passed to Liveness. The caller must call Close.
func New(table storer.Table, node string, asserts *asserter.Asserter, opts ...Option) *Claimer {
	c := &Claimer{
		table:    table,
		node:     node,
		process:  processID(),
		settings: defaultSettings(),
		liveness: noLeases{},
		asserts:  asserts,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.flusher = newFlusher(table, c.settings)
	c.cache = newKeyCache(c.settings.maxSentKeys, c.settings.retention)
	c.finals = newFinalWriter(c)
	c.sweeper = &sweeper{table: table, settings: c.settings}
	c.SetSweepInterval(c.settings.sweepInterval)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() { c.finals.run(ctx) })
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

// Close stops the claimer's goroutines. Writes that are not committed yet fail.
func (c *Claimer) Close() {
	c.cancel()
	c.flusher.close()
	c.done.Wait()
}

// SetInterval sets the mean time between two commits of this node. All nodes share
// the table's commit rate.
func (c *Claimer) SetInterval(d time.Duration) { c.flusher.interval.Store(int64(d)) }

// SetSweepInterval sets the time between two sweeps of this node; it takes effect
// after the next sweep. All nodes sweep the same rows.
func (c *Claimer) SetSweepInterval(d time.Duration) { c.sweeper.interval.Store(int64(d)) }

// Commits returns the number of commits that the claimer started.
func (c *Claimer) Commits() int64 { return c.flusher.commits.Load() }

// Rows returns the number of row writes in these commits.
func (c *Claimer) Rows() int64 { return c.flusher.rows.Load() }

// Apply acquires the claim of a non-idempotent request.
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

// recordResult records the result of Acquire. Without a trail it does nothing.
func recordResult(ctx context.Context, claim Claim, err error) {
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
	a := &acquirer{
		claimer:      c,
		request:      r,
		target:       t,
		key:          Key(r.Caller(), t.Service(), t.Key()),
		pollInterval: firstPoll,
	}
	claim, err := a.acquire(ctx)
	recordResult(ctx, claim, err)
	return claim, err
}

func (c *Claimer) newHeld(key string, hash receiver.Fingerprint) *Held {
	attempt := fmt.Sprintf("%s/%s/%d", c.node, c.process, c.attempts.Add(1))
	return &Held{
		claimer:        c,
		key:            key,
		attempt:        attempt,
		exclusiveUntil: minTime(time.Now().Add(c.settings.hold), c.liveness.LeaseEnd()),
		record: record{
			State:    stateClaimed,
			Attempt:  attempt,
			Node:     c.node,
			BodyHash: hash[:],
			Hold:     int64(c.settings.hold),
		},
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// get reads a row within the commit timeout.
func (c *Claimer) get(ctx context.Context, key string) (storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.commitTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return storer.Row{}, fmt.Errorf("read claim: %w", err)
	}
	return row, nil
}

// errContended reports a write that conflicted with a write that could not be
// read. An earlier try of the same write may have caused the conflict.
var errContended = eris.New("the claim was written by another attempt or an earlier try")

// noEffect reports whether err proves that a write was not applied.
func noEffect(err error) bool {
	for _, known := range []error{storer.ErrConflict, storer.ErrUnavailable, errFull, errClosed, errWithdrawn} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// put stores rec as the value of key if the row has the expected version, and
// returns the new version. After a conflict or a lost answer, put reads the row and
// compares its attempt id with that of rec. An error is ErrConflict only if the
// row was read with another version.
func (c *Claimer) put(ctx context.Context, key string, rec record, expected storer.Version) (storer.Version, error) {
	value, err := encodeRecord(rec)
	if err != nil {
		return 0, err
	}
	var unresolved error // uncertain effect of earlier tries
	for range maxWriteTries {
		err = c.flusher.commit(ctx, storer.NewPut(key, value, expected))
		if err == nil {
			return expected + 1, nil
		}
		conflict := errors.Is(err, storer.ErrConflict)
		if noEffect(err) && !conflict {
			return 0, writeError(rec, unresolved, err)
		}
		if conflict {
			unresolved = errContended
		} else if unresolved == nil {
			unresolved = storer.ErrUncertain
		}
		found, readErr := c.get(ctx, key)
		if readErr != nil && !errors.Is(readErr, storer.ErrNotFound) {
			return 0, writeError(rec, unresolved, readErr)
		}
		if isOwn(found, rec) {
			return found.Version(), nil
		}
		if found.Version() != expected {
			return 0, fmt.Errorf("store claim as %s: %w", rec.State, storer.NewConflictError(key))
		}
	}
	return 0, writeError(rec, unresolved, err)
}

// writeError returns the error of a failed write. It wraps cause only if no earlier
// try had an uncertain effect; otherwise it wraps unresolved.
func writeError(rec record, unresolved, cause error) error {
	if unresolved == nil {
		return fmt.Errorf("store claim as %s: %w", rec.State, cause)
	}
	return fmt.Errorf("store claim as %s: %w: %s", rec.State, unresolved, cause)
}

// isOwn reports whether the row has the attempt and the state of rec.
func isOwn(row storer.Row, rec record) bool {
	if row.Version() == 0 {
		return false
	}
	found, err := decodeRecord(row.Value())
	return err == nil && found.Attempt == rec.Attempt && found.State == rec.State
}
