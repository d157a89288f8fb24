package recorder

import (
	"slices"
	"sync/atomic"
	"time"
)

// Stage is the stage of the pipeline that made a decision.
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
	sequence   uint64
	request    string
	stage      Stage
	decision   string
	reason     string
	recordedAt time.Time
}

// Request returns the id of the request.
func (d *Decision) Request() string { return d.request }

// Stage returns the stage that made the decision.
func (d *Decision) Stage() Stage { return d.stage }

// Decision returns the decision, such as "refused".
func (d *Decision) Decision() string { return d.decision }

// Reason returns the reason for the decision.
func (d *Decision) Reason() string { return d.reason }

// At returns the time at which the decision was recorded.
func (d *Decision) At() time.Time { return d.recordedAt }

// Recorder is a ring buffer of decisions. Writers reserve a slot with one
// atomic addition and never block; each overwrites the oldest decision.
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
		sequence:   sequence,
		request:    request,
		stage:      stage,
		decision:   decision,
		reason:     reason,
		recordedAt: time.Now(),
	})
}

// Explain returns the decisions about a request that are still in the ring,
// oldest first. It scans the whole ring, which is cheap enough for operators
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
