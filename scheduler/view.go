package scheduler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// requestPublish triggers the publication of a new view.
func (s *Scheduler) requestPublish() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// publishLoop publishes views. Changes within publishInterval are coalesced into one
// view.
func (s *Scheduler) publishLoop() {
	defer s.work.Done()
	timer := time.NewTimer(publishInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			s.publish(s.view())
			return
		}
		s.publish(s.view())
		timer.Reset(publishInterval)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

// view returns a view of the engine. All views between two changes of residency
// share the map of models.
func (s *Scheduler) view() *viewer.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.modelsStale {
		s.models = s.residency()
		s.modelsStale = false
	}
	now := time.Now()
	victim, ok := s.victim()
	var cost float64
	if victim != nil {
		cost = victim.requestRate.perSecond(now)
	}
	capacity := 0
	if ok {
		capacity = max(0, s.loadCapacity())
	}
	accepts := s.reportReceived && !s.draining && !s.closed && s.failedReports < maxFailedReports
	return viewer.NewView(s.name, s.owner, s.models, s.slots, s.batch, len(s.running), len(s.queue), now, accepts,
		viewer.WithLoadCapacity(capacity, cost), viewer.WithPrefixes(s.prefixes))
}

func (s *Scheduler) residency() map[connector.Model]viewer.Residency {
	models := make(map[connector.Model]viewer.Residency, s.slots)
	for m, e := range s.entries {
		switch e.state {
		case pending, loading:
			models[m] = viewer.Loading
		case resident:
			if !e.draining {
				models[m] = viewer.Resident
			}
		}
	}
	return models
}
