package recorder

import (
	"context"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Trail records the decisions about one request. It also holds the bundle epoch
// and the adapter version of the request, which a front end returns to the
// caller even if a stage fails.
type Trail struct {
	recorder *Recorder
	request  string
	epoch    atomic.Uint64
	model    atomic.Pointer[connector.Model]
}

// trailKey is the context key of a Trail.
type trailKey struct{}

// StartTrail returns a context that carries a new trail for a request. With a
// nil recorder, the trail holds only the epoch and the model.
func StartTrail(ctx context.Context, r *Recorder, request string) (context.Context, *Trail) {
	t := &Trail{recorder: r, request: request}
	return context.WithValue(ctx, trailKey{}, t), t
}

// From returns the trail in ctx, or nil. All methods of Trail accept a nil
// receiver.
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

// SetEpoch sets the epoch of the bundle against which the request is resolved.
func (t *Trail) SetEpoch(epoch uint64) {
	if t != nil {
		t.epoch.Store(epoch)
	}
}

// SetModel sets the adapter version of the request. The model must not be
// changed afterwards.
func (t *Trail) SetModel(m *connector.Model) {
	if t != nil {
		t.model.Store(m)
	}
}

// Epoch returns the bundle epoch, or 0 if none was set.
func (t *Trail) Epoch() uint64 {
	if t == nil {
		return 0
	}
	return t.epoch.Load()
}

// Model returns the adapter version, or false if none was set.
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
