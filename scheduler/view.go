package scheduler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// touch asks for a new view.
func (s *Scheduler) touch() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// publishLoop publishes views. Many changes of counts within publishEvery make
// one view.
func (s *Scheduler) publishLoop() {
	defer s.work.Done()
	timer := time.NewTimer(publishEvery)
	defer timer.Stop()
	for {
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			s.publish(s.view())
			return
		}
		s.publish(s.view())
		timer.Reset(publishEvery)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
}

// view describes the engine. The map of models is shared by all views between
// two changes of residency.
func (s *Scheduler) view() *viewer.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.models = s.residency()
		s.stale = false
	}
	now := time.Now()
	victim, ok := s.victim()
	var cost float64
	if victim != nil {
		cost = victim.heat.rate(now)
	}
	room := 0
	if ok {
		room = max(0, s.room())
	}
	accepts := s.reported && !s.leaving && !s.closed && s.failedInARow < staleReports
	return viewer.NewView(s.name, s.owner, s.models, s.slots, s.batch, len(s.running), len(s.queue), now, accepts,
		viewer.WithLoadCapacity(room, cost), viewer.WithPrefixes(s.prefixes))
}

func (s *Scheduler) residency() map[connector.Model]viewer.Residency {
	models := make(map[connector.Model]viewer.Residency, s.slots)
	for m, e := range s.entries {
		switch e.state {
		case pending, loading:
			models[m] = viewer.Loading
		case resident:
			if !e.retiring {
				models[m] = viewer.Resident
			}
		}
	}
	return models
}
