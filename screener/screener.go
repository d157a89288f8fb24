package screener

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// crashLimit is the number of endpoint processes that must have crashed
	// under a call. Two crashes may be coincidence; a third one is not.
	crashLimit = 3
	// markTTL is how long a mark counts.
	markTTL = time.Minute
	// renewInterval is the least time between two renewals of the marks of a call that is
	// refused and sent again.
	renewInterval = 20 * time.Second
	// maxStop is how long marks are renewed. The call may have met endpoints that crashed
	// for another reason.
	maxStop = time.Hour
	// EvidenceLifetime is how long hosts that join are told of a crash.
	EvidenceLifetime = 10 * time.Minute
	// maxTrackedCalls limits the number of calls with marks that a host keeps.
	maxTrackedCalls = 4096
	// stoppedRetryAfter is how long callers of a refused call should wait
	// before a retry.
	stoppedRetryAfter = 20 * time.Second
)

// crashTimes holds the time of the latest crash of each endpoint process under a call, or
// of its renewal.
type crashTimes struct {
	byProcess map[string]time.Time
	first     time.Time // when the first of them was recorded
}

// latest returns the time of the latest crash or renewal.
func (c crashTimes) latest() time.Time {
	var latest time.Time
	for _, at := range c.byProcess {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// renewable reports whether the marks are due to be renewed.
func (c crashTimes) renewable(now time.Time) bool {
	return now.Sub(c.latest()) >= renewInterval && now.Sub(c.first) <= maxStop
}

func (c crashTimes) countRecent(now time.Time) int {
	n := 0
	for _, at := range c.byProcess {
		if now.Sub(at) < markTTL {
			n++
		}
	}
	return n
}

// Screened is a call that passed the screener.
type Screened struct {
	*router.Routed
	fingerprint Fingerprint
}

// Fingerprint returns the hash of the content of the call.
func (s *Screened) Fingerprint() Fingerprint { return s.fingerprint }

// Screener is the second stage of the call pipeline.
type Screener struct {
	log        *logger.Logger
	mu         sync.Mutex
	crashes    atomic.Pointer[map[Fingerprint]crashTimes]
	quarantine *quarantine
	unsent     []Evidence // not sent to other hosts yet
}

// New returns a screener without marks.
func New(log *logger.Logger) *Screener {
	s := &Screener{log: log.Component("screener"), quarantine: newQuarantine(time.Now())}
	s.crashes.Store(&map[Fingerprint]crashTimes{})
	return s
}

// Apply refuses a call that has crashed too many endpoint processes, or whose prompt
// has a part that is found to crash them.
func (s *Screener) Apply(_ context.Context, r *router.Routed) (*Screened, error) {
	if err := s.quarantine.check(r.Call, s.log); err != nil {
		return nil, err
	}
	f := fingerprint(r.Call)
	if crashes, ok := (*s.crashes.Load())[f]; ok {
		now := time.Now()
		if n := crashes.countRecent(now); n >= crashLimit {
			if crashes.renewable(now) {
				s.renew(f, now)
			}
			return nil, classifier.NewStopped(fmt.Sprintf("%d endpoints broke off while they ran the call", n),
				classifier.RetryAfter(stoppedRetryAfter))
		}
	}
	return &Screened{Routed: r, fingerprint: f}, nil
}

// renew keeps a call that is sent again refused on all hosts. That it crashes no endpoint
// while it is refused does not show that it has become sound.
func (s *Screener) renew(f Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := (*s.crashes.Load())[f]
	if !crashes.renewable(now) {
		return // another call was faster
	}
	marks := make([]Mark, 0, len(crashes.byProcess))
	for process := range crashes.byProcess {
		marks = append(marks, NewMark(f, process))
	}
	s.applyMarks(marks, true)
}

// fingerprint covers the parts of the prompt besides the body: calls whose prompts differ
// are not the same call, although their bodies may be alike.
func fingerprint(c *router.Call) Fingerprint {
	h := xxhash.New()
	write := func(text string) {
		_, _ = h.WriteString(text) // writing to a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	for _, text := range []string{c.Method(), c.Host(), c.Target(), c.Model().Base(), c.Model().Adapter()} {
		write(text)
	}
	for _, part := range c.SharedPromptParts() {
		write(string(part))
	}
	_, _ = h.Write(c.Body())
	return Fingerprint(h.Sum64())
}

// RecordCrash records that an endpoint process crashed before the output of a call
// began.
func (s *Screener) RecordCrash(m Mark) { s.addMarks([]Mark{m}, true) }

// Learn applies the evidence that another host sent.
func (s *Screener) Learn(list []Evidence) {
	var marks []Mark
	for _, e := range list {
		switch e := e.(type) {
		case Mark:
			marks = append(marks, e)
		case Begun:
			s.clear(e.part, false, time.Now())
		}
	}
	if len(marks) > 0 {
		s.addMarks(marks, false)
	}
}

// TakeUnsent returns the evidence that has not been sent to other hosts yet, and
// clears it.
func (s *Screener) TakeUnsent() []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.unsent
	s.unsent = nil
	return list
}

func (s *Screener) addMarks(marks []Mark, local bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyMarks(marks, local)
}

// applyMarks requires mu.
func (s *Screener) applyMarks(marks []Mark, local bool) {
	now := time.Now()
	next := maps.Clone(*s.crashes.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, c crashTimes) bool { return c.countRecent(now) == 0 })
	s.quarantine.forgetLost(now)
	for _, m := range marks {
		s.quarantine.recordLoss(m, local, now)
		if local {
			s.unsent = append(s.unsent, m)
		}
		old, known := next[m.call]
		if len(next) >= maxTrackedCalls && !known {
			continue
		}
		crashes := crashTimes{byProcess: maps.Clone(old.byProcess), first: old.first}
		if !known {
			crashes = crashTimes{byProcess: make(map[string]time.Time), first: now}
		}
		crashes.byProcess[m.endpoint] = now
		next[m.call] = crashes
		n := crashes.countRecent(now)
		s.log.Info("crash-marked", logger.With(logger.KeyCount, n), logger.With(logger.KeyEndpoint, m.endpoint), logger.With(logger.KeyParts, m.prompt))
		if n >= crashLimit {
			s.log.Warn("call-stopped", logger.With(logger.KeyCount, n), logger.With(logger.KeyEndpoint, m.endpoint))
		}
	}
	s.crashes.Store(&next)
}
