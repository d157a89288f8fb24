package screener

import (
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/quarantiner"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// Judging takes time in proportion to the crashes that count, so it is done less
	// often while there are no new ones and no part is released.
	quietAfter    = 30 * time.Second
	quietInterval = 10 * time.Second
	// maxLost limits the parts of lost calls that a host keeps.
	maxLost = 4096
)

// quarantine holds the parts whose calls are refused. Calls read its snapshots; the
// rest requires the screener's mutex.
type quarantine struct {
	history *quarantiner.History
	held    atomic.Pointer[map[router.PromptPart]*heldPart]
	watched atomic.Pointer[map[router.PromptPart]struct{}]

	judge    *quarantiner.Quarantiner
	lost     map[router.PromptPart]time.Time // parts of calls that this host lost
	released []router.PromptPart             // whose rows this host has to delete
	lastLoss time.Time
	judged   time.Time // zero if another part may have to take the place of a released one
}

func newQuarantine(now time.Time) *quarantine {
	history := quarantiner.NewHistory(now)
	q := &quarantine{history: history, judge: quarantiner.New(history), lost: make(map[router.PromptPart]time.Time)}
	q.held.Store(&map[router.PromptPart]*heldPart{})
	q.watched.Store(&map[router.PromptPart]struct{}{})
	return q
}

// check returns a fault if parts of the call's prompt are in quarantine, unless the call is
// sent as a probe of them.
func (q *quarantine) check(c *router.Call, log *logger.Logger) error {
	held := *q.held.Load()
	if len(held) == 0 {
		return nil
	}
	now := time.Now()
	prompt := c.SharedPromptParts()
	var found []router.PromptPart
	matches := false
	for _, part := range prompt {
		if h := held[part]; h != nil {
			found = append(found, part)
			matches = matches || h.matches(prompt)
		}
	}
	if len(found) == 0 {
		return nil
	}
	if !matches && held[found[0]].takeProbe(now) {
		log.Info("part-probed", logger.Request(c.ID()), logger.With(logger.KeyParts, found))
		return nil
	}
	for _, part := range found {
		held[part].refused.Store(now.UnixNano())
	}
	return classifier.NewStopped(fmt.Sprintf("endpoints crash on the prompt part %s", found[0]), classifier.RetryAfter(stoppedRetryAfter))
}

func (q *quarantine) recordLoss(m Mark, local bool, now time.Time) {
	if len(m.prompt) == 0 {
		return
	}
	q.lastLoss = now
	q.judge.RecordLoss(m.endpoint, m.prompt, m.at)
	if !local {
		return
	}
	if len(q.lost) >= maxLost {
		q.lost = make(map[router.PromptPart]time.Time)
	}
	for _, part := range m.prompt {
		q.lost[part] = now
	}
}

// publish makes the state visible to calls.
func (q *quarantine) publish(now time.Time) {
	old := *q.held.Load()
	held := make(map[router.PromptPart]*heldPart)
	for _, part := range q.judge.Held() {
		if held[part] = old[part]; held[part] == nil {
			_, lost := q.lost[part]
			held[part] = newHeldPart(now, lost)
		}
		signatures := q.judge.Signatures(part)
		held[part].signatures.Store(&signatures)
	}
	q.held.Store(&held)
	watched := make(map[router.PromptPart]struct{})
	for _, part := range q.judge.Watched(now) {
		watched[part] = struct{}{}
	}
	q.watched.Store(&watched)
}

// RecordOutput records that the output of a call began at an endpoint.
func (s *Screener) RecordOutput(c *router.Call) {
	now := time.Now()
	s.quarantine.history.RecordOutput(c.SharedPromptParts(), now)
	watched := *s.quarantine.watched.Load()
	if len(watched) == 0 {
		return
	}
	for _, part := range c.SharedPromptParts() {
		if _, ok := watched[part]; ok {
			s.clear(part, true, now)
		}
	}
}

// clear applies the evidence that the output of a call with a part began.
func (s *Screener) clear(part router.PromptPart, local bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.quarantine
	released := q.judge.RecordBegun(part, now)
	if released {
		q.judged = time.Time{}
		s.log.Info("part-released", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "output began"))
	}
	if local {
		s.unsent = append(s.unsent, NewBegun(part))
	}
	if local && released {
		q.released = append(q.released, part)
	}
	q.publish(now)
}

// Judge puts the parts in quarantine that crashes have shown to be fatal. It is to be
// called several times a second.
func (s *Screener) Judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, now := s.quarantine, time.Now()
	if now.Sub(q.lastLoss) > quietAfter && now.Sub(q.judged) < quietInterval {
		return
	}
	q.judged = now
	s.releaseRefuted()
	for _, part := range q.judge.Judge(now) {
		s.log.Warn("part-quarantined", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "crashes"))
	}
	q.publish(now)
}

// Holds returns the parts in quarantine.
func (s *Screener) Holds() []Hold {
	var list []Hold
	for part, h := range *s.quarantine.held.Load() {
		list = append(list, h.hold(part))
	}
	return list
}

// releaseRefuted ends the quarantine of the parts that this host knows to be sound. It
// requires mu.
func (s *Screener) releaseRefuted() {
	for _, part := range s.quarantine.judge.ReleaseRefuted() {
		s.log.Info("part-released", logger.With(logger.KeyParts, part), logger.With(logger.KeyReason, "output began after the crashes"))
		s.quarantine.released = append(s.quarantine.released, part)
	}
}

// Hold puts a part in quarantine that another host found, or found earlier, unless this
// host knows it to be sound.
func (s *Screener) Hold(part router.PromptPart, signatures []quarantiner.Signature) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.quarantine.judge.Hold(part, signatures, now)
	s.releaseRefuted()
	s.quarantine.publish(now)
}

// Release ends the quarantine of a part.
func (s *Screener) Release(part router.PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.judge.Release(part)
	s.quarantine.judged = time.Time{}
	s.quarantine.publish(time.Now())
}

// TakeReleased returns the parts whose quarantine ended because this host saw the
// output of a call with them begin, also before it learned of the quarantine, and clears
// the list.
func (s *Screener) TakeReleased() []router.PromptPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.quarantine.released
	s.quarantine.released = nil
	return list
}

// forgetLost drops the parts of calls that were lost long ago.
func (q *quarantine) forgetLost(now time.Time) {
	maps.DeleteFunc(q.lost, func(_ router.PromptPart, at time.Time) bool { return now.Sub(at) > EvidenceLifetime })
}
