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

// reportLoop reads the engine's reports and corrects the recorded state.
func (s *Scheduler) reportLoop() {
	defer s.work.Done()
	ticker := time.NewTicker(s.reportInterval)
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
	requested := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, maxFailedReports*s.reportInterval)
	defer cancel()
	report, err := s.engine.Report(ctx)
	if err != nil {
		s.reportFailed(err)
		return
	}
	s.applyReport(report, requested.Add(-report.Age()))
}

func (s *Scheduler) reportFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedReports++
	if !s.reportReceived || s.failedReports == maxFailedReports {
		s.refuse(classifier.NewUnavailable(fmt.Sprintf("engine %q does not report", s.name),
			classifier.RetryAfter(retryElsewhere), classifier.Cause(err)),
			func(w *waiter) bool { return w.entry.state != resident })
	}
	s.requestPublish()
}

// applyReport updates the state from a report that was created no earlier than at.
func (s *Scheduler) applyReport(r connector.Report, at time.Time) {
	s.mu.Lock()
	crashed := s.detectRestart(r, at)
	s.failedReports = 0
	s.prefixes = viewer.NewPrefixes(r.PrefixHashes())
	s.updateResidency(r, at)
	s.clearPossiblyInUse(r, at)
	s.relieveStarvation(time.Now())
	s.reportReceived = true
	s.pruneEntries(time.Now())
	s.schedule()
	s.mu.Unlock()
	if len(crashed) > 0 && s.crashes != nil {
		s.crashes.Crashed(s.name, crashed)
	}
}

// detectRestart records the engine's instance and returns the jobs that were
// running if it has restarted since the last report. They stay pinned until their
// streams are closed.
func (s *Scheduler) detectRestart(r connector.Report, at time.Time) []connector.Job {
	restarted := s.reportReceived && r.Instance() != s.instance
	s.instance = r.Instance()
	if !restarted {
		return nil
	}
	jobs := make([]connector.Job, 0, len(s.broken))
	known := make(map[string]bool, len(s.broken))
	for _, b := range s.broken {
		if time.Since(b.at) < brokenRetention && !known[b.job.Attempt()] {
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
	// brokenRetention is how long a broken stream is kept until a report shows a
	// restart; a cold start takes a few seconds.
	brokenRetention = 15 * time.Second
	// maxBroken limits the recorded broken jobs; a crash breaks about one batch.
	maxBroken = 1024
)

// recordBroken records a job whose stream broke.
func (s *Scheduler) recordBroken(job connector.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBroken(job)
}

// addBroken keeps a broken job until a restart is detected or brokenRetention
// has passed. The caller holds mu.
func (s *Scheduler) addBroken(job connector.Job) {
	now := time.Now()
	s.broken = slices.DeleteFunc(s.broken, func(b brokenJob) bool { return now.Sub(b.at) >= brokenRetention })
	if len(s.broken) < maxBroken {
		s.broken = append(s.broken, brokenJob{job: job, at: now})
	}
}

// updateResidency corrects entries that last changed before the report. They may be
// wrong after a cold restart or an order whose response was lost.
func (s *Scheduler) updateResidency(r connector.Report, at time.Time) {
	reported := make(map[connector.Model]bool, s.slots)
	for _, m := range r.Resident() {
		reported[m] = true
		e := s.entry(m)
		if e.state == absent && e.since.Before(at) {
			s.setState(e, resident)
			e.possiblyInUse = s.reportReceived || !s.previousPinsKnown || s.previousPins[m]
			e.firstReported = time.Now()
		}
	}
	for m, e := range s.entries {
		if e.state == resident && !reported[m] && e.since.Before(at) {
			s.setState(e, absent)
			e.possiblyInUse = false
		}
	}
}

// clearPossiblyInUse resets possiblyInUse for adapters that no job of a previous
// owner can still be using.
func (s *Scheduler) clearPossiblyInUse(r connector.Report, at time.Time) {
	for m, e := range s.entries {
		if e.possiblyInUse && r.Running(m) == 0 && at.After(e.firstReported.Add(s.guard)) {
			e.possiblyInUse = false
		}
	}
}

// SetPreviousOwnerPins records that the previous owner pins the given models and no
// others. If it is called before the first report, it applies to the adapters that
// the report lists.
func (s *Scheduler) SetPreviousOwnerPins(inUse ...connector.Model) {
	pinned := make(map[connector.Model]bool, len(inUse))
	for _, m := range inUse {
		pinned[m] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousPinsKnown, s.previousPins = true, pinned
	for m, e := range s.entries {
		if !pinned[m] {
			e.possiblyInUse = false
		}
	}
	s.schedule()
}

// PossiblyInUse returns the resident models that a job of a previous owner may
// still use.
func (s *Scheduler) PossiblyInUse() []connector.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	var models []connector.Model
	for m, e := range s.entries {
		if e.possiblyInUse {
			models = append(models, m)
		}
	}
	return sortedModels(models)
}
