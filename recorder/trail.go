package recorder

import (
	"context"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Trail follows one request through the pipeline. It keeps what a front end must
// tell the caller even when a stage fails: the bundle epoch and the adapter
// version that the request was bound to.
type Trail struct {
	recorder *Recorder
	request  string
	epoch    atomic.Uint64
	model    atomic.Pointer[connector.Model]
}

// trailKey is the context key of a Trail.
type trailKey struct{}

// StartTrail returns a context that carries a trail for a request. The recorder may
// be nil; the trail then keeps the binding only.
func StartTrail(ctx context.Context, r *Recorder, request string) (context.Context, *Trail) {
	t := &Trail{recorder: r, request: request}
	return context.WithValue(ctx, trailKey{}, t), t
}

// From returns the trail in ctx, or nil. All methods accept a nil trail.
func From(ctx context.Context) *Trail {
	t, _ := ctx.Value(trailKey{}).(*Trail)
	return t
}

// Note records a decision about the request.
func (t *Trail) Note(stage Stage, decision, reason string) {
	if t == nil || t.recorder == nil {
		return
	}
	t.recorder.Record(t.request, stage, decision, reason)
}

// SetEpoch notes the bundle that the request is resolved against.
func (t *Trail) SetEpoch(epoch uint64) {
	if t != nil {
		t.epoch.Store(epoch)
	}
}

// SetModel notes the adapter version that the request asks for. The model must
// not be changed afterwards.
func (t *Trail) SetModel(m *connector.Model) {
	if t != nil {
		t.model.Store(m)
	}
}

// Epoch returns the epoch, or 0 when the request was not bound to a bundle.
func (t *Trail) Epoch() uint64 {
	if t == nil {
		return 0
	}
	return t.epoch.Load()
}

// Model returns the adapter version, and false when none was chosen.
func (t *Trail) Model() (connector.Model, bool) {
	if t == nil {
		return connector.Model{}, false
	}
	m := t.model.Load()
	if m == nil {
		return connector.Model{}, false
	}
	return *m, true
}
