package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Claim is the right to run a request: Free for idempotent work, Held for a
// claim in the table, Replay for work that an earlier attempt has done.
type Claim interface{ claim() }

// Free needs no claim, because the work may run more than once.
type Free struct{}

// Held is a claim that this attempt wrote to the table.
type Held struct {
	claimer *Claimer
	key     string
	attempt string
	version storer.Version
	record  record
}

// Replay is the stored answer of an earlier attempt.
type Replay struct {
	reply connector.Reply
}

// Reply returns the stored answer.
func (r *Replay) Reply() connector.Reply { return r.reply }

// Attempt returns the id of the attempt that holds the claim.
func (h *Held) Attempt() string { return h.attempt }

func (Free) claim()    {}
func (*Held) claim()   {}
func (*Replay) claim() {}

// Claimed is a request with the right to run.
type Claimed struct {
	*admitter.Admitted
	claim Claim
}

// Claim returns the request's claim.
func (c *Claimed) Claim() Claim { return c.claim }

// Claimer is the fourth stage of the request pipeline.
type Claimer struct {
	table storer.Table
	node  string
}

// New returns a claimer that writes claims in the name of node.
func New(table storer.Table, node string) *Claimer {
	return &Claimer{table: table, node: node}
}

// Apply claims the work of a non-idempotent request.
func (c *Claimer) Apply(ctx context.Context, a *admitter.Admitted) (*Claimed, error) {
	target, ok := a.Target().(*receiver.ServiceTarget)
	if !ok || a.Idempotent() {
		return &Claimed{Admitted: a, claim: Free{}}, nil
	}
	claim, err := c.acquire(ctx, a.Request, target)
	if err != nil {
		return nil, err
	}
	return &Claimed{Admitted: a, claim: claim}, nil
}

// state is how far a claim has come.
type state string

const (
	stateClaimed state = "claimed"
	stateSent    state = "sent"
	stateDone    state = "done"
	stateNotRun  state = "not-run"
)

// record is the stored form of a claim.
type record struct {
	State       state  `cbor:"1,keyasint"`
	Attempt     string `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	BodyHash    []byte `cbor:"4,keyasint"`
	Status      int    `cbor:"5,keyasint,omitempty"`
	ContentType string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
}

// Key returns the claim row of a caller's idempotency key. Caller and key are
// hashed, because both may hold any byte.
func Key(caller, service, key string) string {
	hashed := func(s string) string {
		sum := sha256.Sum256([]byte(s))
		return hex.EncodeToString(sum[:12])
	}
	return strings.Join([]string{"claim", hashed(caller), service, hashed(key)}, "/")
}

func (c *Claimer) acquire(ctx context.Context, r *receiver.Request, t *receiver.ServiceTarget) (Claim, error) {
	fingerprint := r.Fingerprint()
	h := &Held{
		claimer: c,
		key:     Key(r.Caller(), t.Service(), t.Key()),
		attempt: c.node + "/" + r.ID(),
		record:  record{State: stateClaimed, Node: c.node, BodyHash: fingerprint[:]},
	}
	h.record.Attempt = h.attempt
	row, err := c.table.Get(ctx, h.key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		if err := h.store(ctx, h.record); err != nil {
			return nil, classifier.NewUnavailable("the claim could not be stored", classifier.Cause(err))
		}
		return h, nil
	case err != nil:
		return nil, classifier.NewUnavailable("the claim could not be read", classifier.Cause(err))
	}
	return existing(row, fingerprint)
}

func existing(row storer.Row, f receiver.Fingerprint) (Claim, error) {
	var rec record
	if err := cbor.Unmarshal(row.Value(), &rec); err != nil {
		return nil, classifier.NewUncertain("the claim cannot be read", classifier.Cause(err))
	}
	if string(rec.BodyHash) != string(f[:]) {
		return nil, classifier.NewKeyReused("the idempotency key came with another request before")
	}
	if rec.State == stateDone {
		return &Replay{reply: connector.NewReply(rec.Attempt, rec.Status, rec.ContentType, rec.Body)}, nil
	}
	return nil, classifier.NewInProgress("an earlier attempt with this key has not ended")
}

func (h *Held) store(ctx context.Context, rec record) error {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	if err := h.claimer.table.Commit(ctx, storer.NewPut(h.key, value, h.version)); err != nil {
		return fmt.Errorf("store claim %q as %s: %w", h.key, rec.State, err)
	}
	h.version++
	h.record = rec
	return nil
}

// MarkSent records that the call may have been sent. Nothing may be sent before
// it returns nil.
func (h *Held) MarkSent(ctx context.Context) error {
	rec := h.record
	rec.State = stateSent
	if err := h.store(ctx, rec); err != nil {
		return classifier.NewUnavailable("the claim could not be marked as sent", classifier.Cause(err))
	}
	return nil
}

// Finish stores the answer, so that a repeat of the key gets it.
func (h *Held) Finish(ctx context.Context, reply connector.Reply) error {
	rec := h.record
	rec.State = stateDone
	rec.Status = reply.Status()
	rec.ContentType = reply.ContentType()
	rec.Body = reply.Body()
	return h.store(ctx, rec)
}

// Release records that the call was not run, after the endpoint refused it.
func (h *Held) Release(ctx context.Context) error {
	rec := h.record
	rec.State = stateNotRun
	return h.store(ctx, rec)
}
