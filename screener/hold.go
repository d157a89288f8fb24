package screener

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/quarantiner"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// A host that has sent a probe of a part sends the next one after probeInterval, which
	// doubles with each up to maxProbeInterval: if the part is fatal, a probe costs an
	// endpoint process.
	probeInterval    = time.Second
	maxProbeInterval = time.Minute
	maxProbeShift    = 6 // doublings that exceed maxProbeInterval
	// probeSpread is the time over which hosts that lost no call with a part begin to
	// probe it, so that most of them learn the result of another host's probe before.
	probeSpread = time.Second
)

// Hold is a part in quarantine.
type Hold struct {
	part       router.PromptPart
	since      time.Time
	lost       bool
	refused    time.Time
	signatures []quarantiner.Signature
}

// Part returns the part.
func (h Hold) Part() router.PromptPart { return h.part }

// Since returns when this host put the part in quarantine.
func (h Hold) Since() time.Time { return h.since }

// Lost reports whether this host lost a call with the part, so that it is one of the
// few hosts that found it.
func (h Hold) Lost() bool { return h.lost }

// Refused returns when this host last refused a call with the part, or the zero time.
func (h Hold) Refused() time.Time { return h.refused }

// Signatures returns what calls look like that are refused because of the part.
func (h Hold) Signatures() []quarantiner.Signature { return h.signatures }

// heldPart is the part of a Hold that calls update.
type heldPart struct {
	since      time.Time
	lost       bool
	refused    atomic.Int64 // Unix nanoseconds; 0 for never
	signatures atomic.Pointer[[]quarantiner.Signature]
	probes     atomic.Int32 // probes that were sent
	probeAt    atomic.Int64 // time of the next probe, Unix nanoseconds
}

func newHeldPart(now time.Time, lost bool) *heldPart {
	h := &heldPart{since: now, lost: lost}
	if !lost {
		now = now.Add(rand.N(probeSpread))
	}
	h.probeAt.Store(now.UnixNano())
	return h
}

// matches reports whether a call looks like those that crashed endpoints.
func (h *heldPart) matches(prompt []router.PromptPart) bool {
	return slices.ContainsFunc(*h.signatures.Load(), func(s quarantiner.Signature) bool { return s.Matches(prompt) })
}

// takeProbe reports whether a call with the part may be sent as a probe now. It returns true
// to one caller at a time.
func (h *heldPart) takeProbe(now time.Time) bool {
	at := h.probeAt.Load()
	interval := min(probeInterval<<min(h.probes.Load(), maxProbeShift), maxProbeInterval)
	if now.UnixNano() < at || !h.probeAt.CompareAndSwap(at, now.Add(interval).UnixNano()) {
		return false
	}
	h.probes.Add(1)
	return true
}

func (h *heldPart) hold(part router.PromptPart) Hold {
	hold := Hold{part: part, since: h.since, lost: h.lost, signatures: *h.signatures.Load()}
	if at := h.refused.Load(); at != 0 {
		hold.refused = time.Unix(0, at)
	}
	return hold
}
