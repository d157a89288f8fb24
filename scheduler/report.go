package scheduler

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// reportLoop compares the engine's reports with what the owner believes.
func (s *Scheduler) reportLoop() {
	defer s.work.Done()
	ticker := time.NewTicker(s.reportEvery)
	defer ticker.Stop()
	for {
		s.readReport()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Scheduler) readReport() {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, staleReports*s.reportEvery)
	defer cancel()
	report, err := s.engine.Report(ctx)
	if err != nil {
		s.reportFailed(err)
		return
	}
	s.apply(report, asked.Add(-report.Age()))
}

func (s *Scheduler) reportFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedInARow++
	if !s.reported || s.failedInARow == staleReports {
		s.refuse(classifier.NewUnavailable(fmt.Sprintf("engine %q does not report", s.name),
			classifier.RetryAfter(retryElsewhere), classifier.Cause(err)),
			func(w *waiter) bool { return w.entry.state != resident })
	}
	s.touch()
}

// apply takes over a report that was true at a time no earlier than at.
func (s *Scheduler) apply(r connector.Report, at time.Time) {
	s.mu.Lock()
	crashed := s.noteInstance(r, at)
	s.failedInARow = 0
	s.prefixes = viewer.NewPrefixes(r.Prefixes())
	s.takeResidency(r, at)
	s.settle(r, at)
	s.relieve(time.Now())
	s.reported = true
	s.forget(time.Now())
	s.advance()
	s.mu.Unlock()
	if len(crashed) > 0 && s.crashes != nil {
		s.crashes.Crashed(s.name, crashed)
	}
}

// noteInstance returns the jobs that ran when the engine restarted. They keep
// their pins until their streams are closed.
func (s *Scheduler) noteInstance(r connector.Report, at time.Time) []connector.Job {
	restarted := s.reported && r.Instance() != s.instance
	s.instance = r.Instance()
	if !restarted {
		return nil
	}
	jobs := make([]connector.Job, 0, len(s.broken))
	known := make(map[string]bool, len(s.broken))
	for _, b := range s.broken {
		if time.Since(b.at) < brokenMemory && !known[b.job.Attempt()] {
			jobs = append(jobs, b.job)
			known[b.job.Attempt()] = true
		}
	}
	s.broken = nil
	for w := range s.running {
		if w.started.Before(at) && !known[w.job.Attempt()] {
			jobs = append(jobs, w.job)
		}
	}
	return jobs
}

// brokenJob is a job whose stream broke.
type brokenJob struct {
	job connector.Job
	at  time.Time
}

const (
	// brokenMemory is how long a broken stream is kept for the report that shows
	// a restart; a cold start takes a few seconds.
	brokenMemory = 15 * time.Second
	// maxBroken bounds the broken jobs; a crash breaks about one batch.
	maxBroken = 1024
)

func (s *Scheduler) noteBroken(job connector.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBroken(job)
}

// addBroken keeps a broken job until the next restart. The caller holds mu.
func (s *Scheduler) addBroken(job connector.Job) {
	now := time.Now()
	s.broken = slices.DeleteFunc(s.broken, func(b brokenJob) bool { return now.Sub(b.at) >= brokenMemory })
	if len(s.broken) < maxBroken {
		s.broken = append(s.broken, brokenJob{job: job, at: now})
	}
}

// takeResidency corrects the owner's belief where the report is newer. It covers
// cold restarts and orders whose response was lost.
func (s *Scheduler) takeResidency(r connector.Report, at time.Time) {
	reported := make(map[connector.Model]bool, s.slots)
	for _, m := range r.Resident() {
		reported[m] = true
		e := s.entry(m)
		if e.state == absent && e.since.Before(at) {
			s.setState(e, resident)
			e.unsettled = s.reported || !s.vouched || s.held[m]
			e.seen = time.Now()
		}
	}
	for m, e := range s.entries {
		if e.state == resident && !reported[m] && e.since.Before(at) {
			s.setState(e, absent)
			e.unsettled = false
		}
	}
}

// settle clears adapters that no job of a previous owner can be using.
func (s *Scheduler) settle(r connector.Report, at time.Time) {
	for m, e := range s.entries {
		if e.unsettled && r.Running(m) == 0 && at.After(e.seen.Add(s.guard)) {
			e.unsettled = false
		}
	}
}

// SetPreviousOwnerPins tells that the previous owner holds pins on the given models
// only. Before the first report it covers the adapters that the report finds.
func (s *Scheduler) SetPreviousOwnerPins(inUse ...connector.Model) {
	held := make(map[connector.Model]bool, len(inUse))
	for _, m := range inUse {
		held[m] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vouched, s.held = true, held
	for m, e := range s.entries {
		if !held[m] {
			e.unsettled = false
		}
	}
	s.advance()
}

// PossiblyInUse returns the resident models that a job of a previous owner may use.
func (s *Scheduler) PossiblyInUse() []connector.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	var models []connector.Model
	for m, e := range s.entries {
		if e.unsettled {
			models = append(models, m)
		}
	}
	return sortedModels(models)
}
