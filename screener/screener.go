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
	// stopAfter is how many endpoint processes must have broken off. Two may be
	// the chance of a bad day; a third one is not.
	stopAfter = 3
	// markLife is how long evidence counts.
	markLife = time.Minute
	// maxCalls bounds the calls with evidence that a host remembers.
	maxCalls = 4096
	// retryStopped is told to callers of a stopped call.
	retryStopped = 20 * time.Second
)

// Fingerprint identifies what a call asks for, whoever repeats it.
type Fingerprint uint64

// Mark is evidence against a call.
type Mark struct {
	call     Fingerprint
	endpoint string
}

// NewMark returns evidence that an endpoint process broke off while it ran a call.
func NewMark(call Fingerprint, endpoint string) Mark { return Mark{call: call, endpoint: endpoint} }

// Call returns the fingerprint of the call.
func (m Mark) Call() Fingerprint { return m.call }

// Endpoint returns the id of the endpoint process.
func (m Mark) Endpoint() string { return m.endpoint }

// evidence holds when each endpoint process broke off.
type evidence map[string]time.Time

func (e evidence) count(now time.Time) int {
	n := 0
	for _, at := range e {
		if now.Sub(at) < markLife {
			n++
		}
	}
	return n
}

// Screened is a call that may run.
type Screened struct {
	*router.Routed
	fingerprint Fingerprint
}

// Fingerprint returns what identifies the call's content.
func (s *Screened) Fingerprint() Fingerprint { return s.fingerprint }

// Screener is the second stage of the path of a call.
type Screener struct {
	log   *logger.Logger
	mu    sync.Mutex
	calls atomic.Pointer[map[Fingerprint]evidence]
	fresh []Mark // to be told to other hosts
}

// New returns a screener without evidence.
func New(log *logger.Logger) *Screener {
	s := &Screener{log: log.Component("screener")}
	s.calls.Store(&map[Fingerprint]evidence{})
	return s
}

// Apply refuses a call that has crashed too many endpoint processes.
func (s *Screener) Apply(_ context.Context, r *router.Routed) (*Screened, error) {
	f := fingerprint(r.Call)
	if e, ok := (*s.calls.Load())[f]; ok {
		if n := e.count(time.Now()); n >= stopAfter {
			return nil, classifier.NewStopped(fmt.Sprintf("%d endpoints broke off while they ran the call", n),
				classifier.RetryAfter(retryStopped))
		}
	}
	return &Screened{Routed: r, fingerprint: f}, nil
}

func fingerprint(c *router.Call) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.Method(), c.Host(), c.Target(), c.Model().Base(), c.Model().Adapter()} {
		_, _ = h.WriteString(part) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body())
	return Fingerprint(h.Sum64())
}

// RecordCrash records that an endpoint process broke off while it ran a call.
func (s *Screener) RecordCrash(m Mark) {
	s.add([]Mark{m}, true)
}

// ApplyMarks takes over evidence of another host.
func (s *Screener) ApplyMarks(marks []Mark) { s.add(marks, false) }

// TakeUnsentMarks returns the evidence that other hosts have not been told.
func (s *Screener) TakeUnsentMarks() []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := s.fresh
	s.fresh = nil
	return marks
}

func (s *Screener) add(marks []Mark, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	next := maps.Clone(*s.calls.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, e evidence) bool { return e.count(now) == 0 })
	for _, m := range marks {
		if len(next) >= maxCalls && next[m.call] == nil {
			continue
		}
		e := maps.Clone(next[m.call])
		if e == nil {
			e = make(evidence)
		}
		e[m.endpoint] = now
		next[m.call] = e
		if n := e.count(now); n >= stopAfter {
			s.log.Warn("call-stopped", logger.With(logger.KeyCount, n), logger.With(logger.KeyEndpoint, m.endpoint))
		}
		if own {
			s.fresh = append(s.fresh, m)
		}
	}
	s.calls.Store(&next)
}
