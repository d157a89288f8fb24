package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
)

// waiter is a request from its arrival until its stream is closed.
type waiter struct {
	job      connector.Job
	entry    *entry
	deadline time.Time
	sequence uint64
	arrived  time.Time
	started  time.Time
	stall    time.Duration // waited for the adapter
	granted  chan error    // receives once: nil when the job may start
}

// before reports whether w is served before o: by priority, then by deadline,
// then by arrival.
func (w *waiter) before(o *waiter) bool {
	if w.job.Priority() != o.job.Priority() {
		return w.job.Priority() > o.job.Priority()
	}
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.sequence < o.sequence
}

// noDeadline orders requests without a deadline behind all others.
const noDeadline = 24 * time.Hour

// enqueue adds a request to the queue or refuses it.
func (s *Scheduler) enqueue(ctx context.Context, job connector.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.mayEnqueue(job.Model(), now); err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	e := s.entry(job.Model())
	e.heat.add(now)
	e.waiting.Add(1)
	s.sequence++
	w := &waiter{job: job, entry: e, deadline: deadline, sequence: s.sequence, arrived: now, granted: make(chan error, 1)}
	s.queue = append(s.queue, w)
	s.advance()
	return w, nil
}

func (s *Scheduler) mayEnqueue(m connector.Model, now time.Time) error {
	switch {
	case s.closed:
		return classifier.NewUnavailable("the node no longer runs the engine", classifier.RetryAfter(retryElsewhere))
	case s.leaving:
		return leavingFault()
	case s.failedInARow >= staleReports:
		return classifier.NewUnavailable(fmt.Sprintf("engine %q does not report", s.name), classifier.RetryAfter(retryElsewhere))
	case len(s.queue) >= s.queueLimit:
		return classifier.NewOverloaded(fmt.Sprintf("%d requests wait for engine %q", len(s.queue), s.name), classifier.RetryAfter(retryElsewhere))
	}
	e := s.entries[m]
	if e == nil {
		return nil
	}
	if e.retiring {
		return retiringFault(m)
	}
	if e.state == absent && now.Before(e.retryAt) {
		return classifier.NewUnavailable(fmt.Sprintf("adapter %s could not be loaded", m),
			classifier.RetryAfter(e.retryAt.Sub(now)), classifier.Cause(e.failure))
	}
	return nil
}

func retiringFault(m connector.Model) error {
	return classifier.NewUnavailable(fmt.Sprintf("adapter %s makes room for another one", m), classifier.RetryAfter(retryElsewhere))
}

func leavingFault() error {
	return classifier.NewUnavailable("the engine is leaving", classifier.RetryAfter(retryElsewhere))
}

// abandon removes a request whose caller gave up.
func (s *Scheduler) abandon(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, w); i >= 0 {
		s.dequeue(i)
	} else if _, ok := s.running[w]; ok {
		s.stop(w)
	}
	s.advance()
	detail := fmt.Sprintf("the request waited for adapter %s", w.job.Model())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.NewExpired(detail, classifier.Cause(ctx.Err()))
	}
	return classifier.NewCanceled(detail, classifier.Cause(ctx.Err()))
}

func (s *Scheduler) dequeue(i int) *waiter {
	w := s.queue[i]
	s.queue = slices.Delete(s.queue, i, i+1)
	w.entry.waiting.Add(-1)
	return w
}

// refuse ends the wait of every request that selected reports.
func (s *Scheduler) refuse(err error, selected func(*waiter) bool) {
	for i := 0; i < len(s.queue); {
		if !selected(s.queue[i]) {
			i++
			continue
		}
		s.dequeue(i).granted <- err
	}
}

func (s *Scheduler) refuseQueue(err error) {
	s.refuse(err, func(*waiter) bool { return true })
}

// advance makes every decision that the state allows: it starts jobs, then
// loads. It is called under the mutex after each change.
func (s *Scheduler) advance() {
	for len(s.running) < s.batch+s.allowance {
		i := s.nextReady()
		if i < 0 {
			break
		}
		s.start(s.dequeue(i))
	}
	s.startLoads()
	s.touch()
}

// nextReady returns the position of the request to start next, or -1. At most
// one suspect job is in the engine, so that a crash identifies it.
func (s *Scheduler) nextReady() int {
	best := -1
	for i, w := range s.queue {
		if w.entry.state != resident || w.job.Suspect() && !s.takesSuspect() {
			continue
		}
		if best < 0 || w.before(s.queue[best]) {
			best = i
		}
	}
	return best
}

// takesSuspect reports whether a suspect job would be the only one. A job of a
// previous owner may be suspect too, and the engine's report does not say so.
func (s *Scheduler) takesSuspect() bool {
	if s.suspects > 0 {
		return false
	}
	for _, e := range s.entries {
		if e.unsettled {
			return false
		}
	}
	return true
}

func (s *Scheduler) start(w *waiter) {
	w.started = time.Now()
	w.stall = max(w.entry.since.Sub(w.arrived), 0) // the entry is resident since then
	w.entry.running++
	s.running[w] = struct{}{}
	if w.job.Suspect() {
		s.suspects++
	}
	w.granted <- nil
}

// release ends a job.
func (s *Scheduler) release(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop(w)
	s.advance()
}

func (s *Scheduler) stop(w *waiter) {
	delete(s.running, w)
	w.entry.running--
	if w.job.Suspect() {
		s.suspects--
	}
	if len(s.running) > 0 {
		return
	}
	for _, idle := range s.idle {
		close(idle)
	}
	s.idle = nil
}

// notStarted ends a job that the engine did not take.
func (s *Scheduler) notStarted(w *waiter, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop(w)
	if errors.Is(err, connector.ErrBroken) {
		s.addBroken(w.job)
	}
	if errors.Is(err, connector.ErrNotResident) && w.entry.state == resident && w.entry.since.Before(w.started) {
		s.setState(w.entry, absent)
	}
	s.advance()
}

// startFault says that the job did not run where the engine's answer proves it.
func startFault(err error) error {
	if errors.Is(err, connector.ErrNotResident) || errors.Is(err, connector.ErrRefused) {
		return classifier.NewUnavailable("the engine did not start the job", classifier.Cause(err))
	}
	return err
}
