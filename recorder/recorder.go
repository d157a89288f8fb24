package recorder

import (
	"slices"
	"sync/atomic"
	"time"
)

// Stage names the part of the pipeline that decided.
type Stage string

// The stages that record decisions.
const (
	StageServer     Stage = "server"
	StageReceiver   Stage = "receiver"
	StageResolver   Stage = "resolver"
	StageAdmitter   Stage = "admitter"
	StageClaimer    Stage = "claimer"
	StagePlacer     Stage = "placer"
	StageDispatcher Stage = "dispatcher"
	StageVerifier   Stage = "verifier"
	StageRetrier    Stage = "retrier"
	StageResponder  Stage = "responder"
)

// Decision is one recorded step of a request.
type Decision struct {
	sequence uint64
	request  string
	stage    Stage
	decision string
	reason   string
	at       time.Time
}

// Request returns the id of the request.
func (d *Decision) Request() string { return d.request }

// Stage returns the stage that decided.
func (d *Decision) Stage() Stage { return d.stage }

// Decision returns what was decided.
func (d *Decision) Decision() string { return d.decision }

// Reason returns why.
func (d *Decision) Reason() string { return d.reason }

// At returns when the decision was recorded.
func (d *Decision) At() time.Time { return d.at }

// Recorder is a ring of decisions. Writers claim a slot with one atomic addition
// and never wait; the oldest decision is overwritten.
type Recorder struct {
	slots []atomic.Pointer[Decision]
	next  atomic.Uint64
}

// New returns a recorder that keeps the latest size decisions.
func New(size int) *Recorder {
	return &Recorder{slots: make([]atomic.Pointer[Decision], max(size, 1))}
}

// Record stores a decision.
func (r *Recorder) Record(request string, stage Stage, decision, reason string) {
	sequence := r.next.Add(1) - 1
	r.slots[sequence%uint64(len(r.slots))].Store(&Decision{
		sequence: sequence,
		request:  request,
		stage:    stage,
		decision: decision,
		reason:   reason,
		at:       time.Now(),
	})
}

// Explain returns the decisions about a request that are still in the ring,
// oldest first. It reads the whole ring, which is cheap enough for operators
// and keeps an index off the request path.
func (r *Recorder) Explain(request string) []*Decision {
	var found []*Decision
	for i := range r.slots {
		if d := r.slots[i].Load(); d != nil && d.request == request {
			found = append(found, d)
		}
	}
	slices.SortFunc(found, func(a, b *Decision) int {
		if a.sequence < b.sequence {
			return -1
		}
		return 1
	})
	return found
}
