package supplier

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
)

// unlimitedSlots is the number of job slots of an engine for which none is configured.
const unlimitedSlots = 1 << 20

// reasonOverShare is the reason of a decline because of the share of a workspace.
const reasonOverShare = "workspace is above its share of the engine"

// tryReserve reserves capacity for a call whose model is usable, without waiting
// for the worker, which may be sending an order.
func (w *engineWorker) tryReserve(req ReserveRequest) (ReserveResponse, bool) {
	now := time.Now()
	w.recordUse(append(req.modelsInUse, req.model), now)
	usable := w.usable.Load()
	if usable == nil || req.modelMissing {
		return nil, false
	}
	version, ok := (*usable)[req.model]
	if !ok || version < req.minVersion {
		return nil, false
	}
	return w.reserve(req, version, now, now), true
}

// reserve schedules a call at the first possible time from earliest on.
func (w *engineWorker) reserve(req ReserveRequest, version int64, now, earliest time.Time) ReserveResponse {
	slots := unlimitedSlots
	if spec := w.supplier.engineSpec(w.endpoint.Service()); spec != nil && spec.Slots() > 0 {
		slots = spec.Slots()
	}
	speed := w.supplier.speeds.Estimate(w.endpoint.ID(), w.endpoint.Service())
	if jobs, at := speed.Jobs(); !at.IsZero() {
		w.calendar.report(jobs, at)
	}
	prefill := speed.PrefillTime(req.promptTokens)
	prefill += speed.DecodePause(prefill)
	if until := speed.SlowUntil(); until.After(earliest) {
		earliest = until
	}
	decode := speed.GenerationTime(req.expectedOutputTokens)
	start, refused := w.calendar.reserve(now, demand{
		workspace: req.workspace, earliest: earliest, maxWait: req.maxWait, prefill: prefill, decode: decode, slots: slots,
	})
	switch refused.(type) {
	case tooLate:
		return NewFull(start.Sub(now))
	case overShare:
		w.log("reservation-over-share", logger.With(logger.KeyWorkspace, req.workspace.Name()),
			logger.With(logger.KeyReason, reasonOverShare), logger.With(logger.KeyWait, start.Sub(now).Milliseconds()))
		// Not NewFull: the engine may have capacity for calls of other workspaces.
		return NewDeclined(reasonOverShare, start.Sub(now))
	}
	// The hosts list the models in use only with their next request.
	w.recordUse([]connector.Model{req.model}, start.Add(prefill+decode))
	granted := NewGranted(version, start.Sub(now))
	if !speed.Sure() {
		return granted.AsUnsure()
	}
	return granted
}
