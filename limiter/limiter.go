package limiter

import (
	"maps"
	"sync"
	"time"
)

const (
	// usableShare is the share of a rate that is granted. The rest covers requests of
	// hosts that do not know of the limit yet, and the moments in which two hosts space
	// the requests to one endpoint.
	usableShare = 0.95
	// burstTime is the time whose requests may follow each other at once after a pause.
	burstTime = 600 * time.Millisecond
	// idleTime is the age at which an endpoint without requests is forgotten.
	idleTime = time.Minute
	// refusedWait is the wait that is reported for an endpoint that accepts no requests.
	refusedWait = time.Second
)

// Verdict is the answer to a request for a turn: Granted or Declined.
type Verdict interface{ verdict() }

type (
	// Granted means that the request may be sent after a wait.
	Granted struct{ wait time.Duration }
	// Declined means that the request may not be sent within the time that it can wait.
	Declined struct{ wait time.Duration }
)

// NewGranted returns the permission to send a request after a wait.
func NewGranted(wait time.Duration) Granted { return Granted{wait: wait} }

// NewDeclined returns a refusal. Wait is the time until the next turn.
func NewDeclined(wait time.Duration) Declined { return Declined{wait: wait} }

// Wait returns the time after which the request may be sent.
func (g Granted) Wait() time.Duration { return g.wait }

// Wait returns the time until the next turn.
func (d Declined) Wait() time.Duration { return d.wait }

func (Granted) verdict()  {}
func (Declined) verdict() {}

// Limiter holds the next turn at each limited endpoint. It is safe for concurrent use.
type Limiter struct {
	firstWait bool
	mu        sync.Mutex
	next      map[string]time.Time // turn that is free next, by endpoint
	swept     time.Time
}

// Option sets an optional property of a Limiter.
type Option func(*Limiter)

// WithFirstWait makes the first request to an endpoint wait for as long as a later one.
func WithFirstWait() Option { return func(l *Limiter) { l.firstWait = true } }

// New returns a limiter.
func New(opts ...Option) *Limiter {
	l := &Limiter{next: make(map[string]time.Time)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Admit requests a turn at an endpoint that accepts rate requests a second. The request
// can wait for at most maxWait.
func (l *Limiter) Admit(endpoint string, rate float64, maxWait time.Duration, now time.Time) Verdict {
	if rate <= 0 {
		return Declined{refusedWait}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	interval := time.Duration(float64(time.Second) / (rate * usableShare))
	turn, known := l.next[endpoint]
	switch earliest := now.Add(-burstTime); {
	case !known && l.firstWait:
		turn = now.Add(interval)
		l.next[endpoint] = turn
	case !known:
		turn = now
	case turn.Before(earliest):
		turn = earliest
	}
	wait := max(turn.Sub(now), 0)
	if wait > maxWait {
		return Declined{wait}
	}
	l.next[endpoint] = turn.Add(interval)
	return Granted{wait}
}

// sweep forgets endpoints without requests. It requires mu.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < idleTime {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.next, func(_ string, turn time.Time) bool { return now.Sub(turn) > idleTime })
}

// Endpoints returns the number of endpoints that are kept.
func (l *Limiter) Endpoints() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.next)
}
