package procurer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// reportTimeout limits one report. One that arrives later is outdated.
const reportTimeout = 150 * time.Millisecond

// SpeedReport is what a call of this host showed of the speed of an engine.
type SpeedReport struct {
	engine   string
	slowdown estimator.Slowdown
}

// NewSpeedReport returns the report of an engine's slowdown.
func NewSpeedReport(engine string, s estimator.Slowdown) SpeedReport {
	return SpeedReport{engine: engine, slowdown: s}
}

// Engine returns the id of the engine.
func (r SpeedReport) Engine() string { return r.engine }

// Slowdown returns the engine's slowdown.
func (r SpeedReport) Slowdown() estimator.Slowdown { return r.slowdown }

// reports holds the engines of which a slowdown is being reported to their owners.
type reports struct {
	work    sync.WaitGroup
	mu      sync.Mutex
	sending map[string]bool // by engine id
}

// begin reports whether no report of an engine is under way.
func (r *reports) begin(engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sending[engine] {
		return false
	}
	if r.sending == nil {
		r.sending = make(map[string]bool)
	}
	r.sending[engine] = true
	return true
}

func (r *reports) end(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sending, engine)
}

// Report reports a slowdown to the engine's owner at once, unless an earlier report is still
// under way. The loss of one does not matter.
func (p *Procurer) Report(e *tracker.Endpoint, s estimator.Slowdown) {
	view := p.members.View()
	owner, ok := view.Owner(e.ID())
	if !ok || owner.Host() == p.members.Self() {
		return // this host has recorded it
	}
	host := view.Host(owner.Host())
	if !view.Alive(host) || p.unresponsive.Avoids(owner.Host()) || !p.reports.begin(e.ID()) {
		return
	}
	p.reports.work.Go(func() {
		defer p.reports.end(e.ID())
		p.report(host, NewSpeedReport(e.ID(), s))
	})
}

func (p *Procurer) report(owner *enroller.Host, r SpeedReport) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout) // outlives its call
	defer cancel()
	_ = p.remote.ReportSpeed(ctx, owner.PeerAddress(), r) // a host that does not answer is noticed by Reserve
}

// Close waits for the reports that are under way. No call may be made from then on.
func (p *Procurer) Close() { p.reports.work.Wait() }
