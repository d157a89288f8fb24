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
	// maxTrackedCalls limits the number of calls with marks that a host keeps.
	maxTrackedCalls = 4096
	// stoppedRetryAfter is how long callers of a refused call should wait
	// before a retry.
	stoppedRetryAfter = 20 * time.Second
)

// Fingerprint is a hash of the content of a call. Repeats of a call have the
// same one, regardless of the sender.
type Fingerprint uint64

// Mark records that an endpoint process crashed while it ran a call.
type Mark struct {
	call     Fingerprint
	endpoint string
}

// NewMark returns the mark of an endpoint process that crashed while it ran a
// call.
func NewMark(call Fingerprint, endpoint string) Mark { return Mark{call: call, endpoint: endpoint} }

// Call returns the fingerprint of the call.
func (m Mark) Call() Fingerprint { return m.call }

// Endpoint returns the id of the endpoint process.
func (m Mark) Endpoint() string { return m.endpoint }

// crashTimes holds the time of the latest crash of each endpoint process.
type crashTimes map[string]time.Time

func (c crashTimes) countRecent(now time.Time) int {
	n := 0
	for _, at := range c {
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
	log     *logger.Logger
	mu      sync.Mutex
	crashes atomic.Pointer[map[Fingerprint]crashTimes]
	unsent  []Mark // not sent to other hosts yet
}

// New returns a screener without marks.
func New(log *logger.Logger) *Screener {
	s := &Screener{log: log.Component("screener")}
	s.crashes.Store(&map[Fingerprint]crashTimes{})
	return s
}

// Apply refuses a call that has crashed too many endpoint processes.
func (s *Screener) Apply(_ context.Context, r *router.Routed) (*Screened, error) {
	f := fingerprint(r.Call)
	if crashes, ok := (*s.crashes.Load())[f]; ok {
		if n := crashes.countRecent(time.Now()); n >= crashLimit {
			return nil, classifier.NewStopped(fmt.Sprintf("%d endpoints broke off while they ran the call", n),
				classifier.RetryAfter(stoppedRetryAfter))
		}
	}
	return &Screened{Routed: r, fingerprint: f}, nil
}

func fingerprint(c *router.Call) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.Method(), c.Host(), c.Target(), c.Model().Base(), c.Model().Adapter()} {
		_, _ = h.WriteString(part) // writing to a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body())
	return Fingerprint(h.Sum64())
}

// RecordCrash records that an endpoint process crashed while it ran a call.
func (s *Screener) RecordCrash(m Mark) {
	s.add([]Mark{m}, true)
}

// ApplyMarks adds the marks that another host sent.
func (s *Screener) ApplyMarks(marks []Mark) { s.add(marks, false) }

// TakeUnsentMarks returns the marks that have not been sent to other hosts yet,
// and clears them.
func (s *Screener) TakeUnsentMarks() []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := s.unsent
	s.unsent = nil
	return marks
}

func (s *Screener) add(marks []Mark, local bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	next := maps.Clone(*s.crashes.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, c crashTimes) bool { return c.countRecent(now) == 0 })
	for _, m := range marks {
		if len(next) >= maxTrackedCalls && next[m.call] == nil {
			continue
		}
		crashes := maps.Clone(next[m.call])
		if crashes == nil {
			crashes = make(crashTimes)
		}
		crashes[m.endpoint] = now
		next[m.call] = crashes
		n := crashes.countRecent(now)
		s.log.Info("crash-marked", logger.With(logger.KeyCount, n), logger.With(logger.KeyEndpoint, m.endpoint))
		if n >= crashLimit {
			s.log.Warn("call-stopped", logger.With(logger.KeyCount, n), logger.With(logger.KeyEndpoint, m.endpoint))
		}
		if local {
			s.unsent = append(s.unsent, m)
		}
	}
	s.crashes.Store(&next)
}
