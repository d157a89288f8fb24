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

// waiter is a request in the queue, and then its job until the stream is closed.
type waiter struct {
	job      connector.Job
	entry    *entry
	deadline time.Time
	sequence uint64
	arrived  time.Time
	started  time.Time
	loadWait time.Duration // time spent waiting for the adapter to be loaded
	granted  chan error    // receives one value: nil when the job may start, or the refusal
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

// noDeadline is the deadline, from now on, that sorts requests without one behind
// all others.
const noDeadline = 24 * time.Hour

// enqueue adds a request to the queue or refuses it.
func (s *Scheduler) enqueue(ctx context.Context, job connector.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.admissionError(job.Model(), now); err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	e := s.entry(job.Model())
	e.requestRate.add(now)
	e.waiting.Add(1)
	s.sequence++
	w := &waiter{job: job, entry: e, deadline: deadline, sequence: s.sequence, arrived: now, granted: make(chan error, 1)}
	s.queue = append(s.queue, w)
	s.schedule()
	return w, nil
}

// admissionError returns the error for a request that must be refused, or nil.
func (s *Scheduler) admissionError(m connector.Model, now time.Time) error {
	switch {
	case s.closed:
		return classifier.NewUnavailable("the node no longer runs the engine", classifier.RetryAfter(retryElsewhere))
	case s.draining:
		return engineDrainingError()
	case s.failedReports >= maxFailedReports:
		return classifier.NewUnavailable(fmt.Sprintf("engine %q does not report", s.name), classifier.RetryAfter(retryElsewhere))
	case len(s.queue) >= s.queueLimit:
		return classifier.NewOverloaded(fmt.Sprintf("%d requests wait for engine %q", len(s.queue), s.name), classifier.RetryAfter(retryElsewhere))
	}
	e := s.entries[m]
	if e == nil {
		return nil
	}
	if e.draining {
		return adapterDrainingError(m)
	}
	if e.state == absent && now.Before(e.retryAt) {
		return classifier.NewUnavailable(fmt.Sprintf("adapter %s could not be loaded", m),
			classifier.RetryAfter(e.retryAt.Sub(now)), classifier.Cause(e.lastError))
	}
	return nil
}

func adapterDrainingError(m connector.Model) error {
	return classifier.NewUnavailable(fmt.Sprintf("adapter %s is draining to free its slot", m), classifier.RetryAfter(retryElsewhere))
}

func engineDrainingError() error {
	return classifier.NewUnavailable("the engine is draining", classifier.RetryAfter(retryElsewhere))
}

// cancelWaiter removes a request whose context has ended.
func (s *Scheduler) cancelWaiter(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, w); i >= 0 {
		s.dequeue(i)
	} else if _, ok := s.running[w]; ok {
		s.finish(w)
	}
	s.schedule()
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

// refuse fails every queued request that matches selected.
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

// schedule starts all jobs and then all loads that the state allows. It is called
// with the mutex held after each change.
func (s *Scheduler) schedule() {
	for len(s.running) < s.batch+s.overcommit {
		i := s.nextReady()
		if i < 0 {
			break
		}
		s.start(s.dequeue(i))
	}
	s.startLoads()
	s.requestPublish()
}

// nextReady returns the index of the queued request to start next, or -1. At most
// one suspect job runs on the engine, so that a crash identifies it.
func (s *Scheduler) nextReady() int {
	best := -1
	for i, w := range s.queue {
		if w.entry.state != resident || w.job.Suspect() && !s.canStartSuspect() {
			continue
		}
		if best < 0 || w.before(s.queue[best]) {
			best = i
		}
	}
	return best
}

// canStartSuspect reports whether a suspect job would be the only one. A job of a
// previous owner may be suspect too, which the engine's report does not show.
func (s *Scheduler) canStartSuspect() bool {
	if s.suspects > 0 {
		return false
	}
	for _, e := range s.entries {
		if e.possiblyInUse {
			return false
		}
	}
	return true
}

func (s *Scheduler) start(w *waiter) {
	w.started = time.Now()
	w.loadWait = max(w.entry.since.Sub(w.arrived), 0) // since is when the adapter became resident
	w.entry.running++
	s.running[w] = struct{}{}
	if w.job.Suspect() {
		s.suspects++
	}
	w.granted <- nil
}

// release removes a job whose stream is closed and schedules others.
func (s *Scheduler) release(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(w)
	s.schedule()
}

// finish removes a job and wakes callers of Drain if it was the last one. The
// caller holds mu.
func (s *Scheduler) finish(w *waiter) {
	delete(s.running, w)
	w.entry.running--
	if w.job.Suspect() {
		s.suspects--
	}
	if len(s.running) > 0 {
		return
	}
	for _, idle := range s.idleWaiters {
		close(idle)
	}
	s.idleWaiters = nil
}

// startFailed removes a job that the engine did not start.
func (s *Scheduler) startFailed(w *waiter, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(w)
	if errors.Is(err, connector.ErrBroken) {
		s.addBroken(w.job)
	}
	if errors.Is(err, connector.ErrNotResident) && w.entry.state == resident && w.entry.since.Before(w.started) {
		s.setState(w.entry, absent)
	}
	s.schedule()
}

// startError returns an error that marks the job as not run, if the engine's answer
// proves that.
func startError(err error) error {
	if errors.Is(err, connector.ErrNotResident) || errors.Is(err, connector.ErrRefused) {
		return classifier.NewUnavailable("the engine did not start the job", classifier.Cause(err))
	}
	return err
}
