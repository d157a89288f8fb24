package supplier

import (
	"time"
)

const (
	prefillRate   = 20.0 // prompt tokens per millisecond
	prefillMargin = 1.05
	// prefillGap is left for decoding between two prefills: three steps, so that an
	// event, which holds the tokens of three or four steps, is delayed by one prefill
	// only.
	prefillGap = 30 * time.Millisecond
	// decodeTokenTime is the decoding time per token, including the pauses for the
	// prefills of other calls.
	decodeTokenTime = 14 * time.Millisecond
	// unlimitedSlots is the number of job slots of an engine for which none is
	// configured.
	unlimitedSlots = 1 << 20
)

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
	prefill := time.Duration(float64(req.promptTokens)/prefillRate*float64(time.Millisecond)*prefillMargin) + prefillGap
	decode := time.Duration(req.expectedOutputTokens) * decodeTokenTime
	start, ok := w.calendar.reserve(now, earliest, earliest.Add(req.maxWait), prefill, decode, slots)
	if !ok {
		return NewFull(start.Sub(now))
	}
	return NewGranted(version, start.Sub(now))
}
