package supplier

import (
	"time"
)

const (
	promptRate   = 20.0 // tokens that an engine reads in a millisecond
	promptMargin = 1.05
	// streamTime is left for the streams between two prompts: three steps, so that
	// an event, which holds three or four of them, waits for one prompt only.
	streamTime = 30 * time.Millisecond
	tokenTime  = 14 * time.Millisecond // of one token, prompts of other calls included
	// unlimitedSlots stands for an engine whose slots are not configured.
	unlimitedSlots = 1 << 20
)

// grant gives a call a place if its model is there, without waiting for orders on
// their way.
func (k *keeper) grant(w ReserveRequest) (ReserveResponse, bool) {
	now := time.Now()
	k.touch(append(w.used, w.model), now)
	ready := k.ready.Load()
	if ready == nil || w.missing {
		return nil, false
	}
	version, ok := (*ready)[w.model]
	if !ok || version < w.version {
		return nil, false
	}
	return k.plan(w, version, now, now), true
}

// plan gives a call its turn from a time on.
func (k *keeper) plan(w ReserveRequest, version int64, now, earliest time.Time) ReserveResponse {
	slots := unlimitedSlots
	if settings := k.supplier.settings(k.endpoint.Service()); settings != nil && settings.Slots() > 0 {
		slots = settings.Slots()
	}
	reading := time.Duration(float64(w.tokens)/promptRate*float64(time.Millisecond)*promptMargin) + streamTime
	generating := time.Duration(w.output) * tokenTime
	start, ok := k.calendar.reserve(now, earliest, earliest.Add(w.patience), reading, generating, slots)
	if !ok {
		return NewFull(start.Sub(now))
	}
	return NewGranted(version, start.Sub(now))
}
