package placer

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Query is what a choice of an engine depends on besides the views.
type Query struct {
	model    connector.Model
	hash     uint64
	adapter  *bundler.Adapter
	prompt   string
	bytes    int // estimate of what crosses the network
	weights  bundler.Weights
	excluded []string
}

// Bytes that travel with a prompt and with each token, framing included.
const (
	requestBytes = 600
	tokenBytes   = 40
)

// NewQuery returns the query of one generation.
func NewQuery(m connector.Model, a *bundler.Adapter, prompt string, maxTokens int, w bundler.Weights, excluded []string) Query {
	return Query{
		model:    m,
		hash:     viewer.HashModel(m),
		adapter:  a,
		prompt:   prompt,
		bytes:    requestBytes + len(prompt) + tokenBytes*maxTokens,
		weights:  w,
		excluded: excluded,
	}
}

// Bytes returns an estimate of the bytes that the request and its answer take on
// the way to an engine.
func (q *Query) Bytes() int { return q.bytes }

// window is how many engines a request looks at. The window starts at the
// adapter's hash, so that every node looks for an adapter in the same place.
const window = 48

// Decide returns the engine for a query and the engine's owner, or nil when no
// engine takes the work. It reads one set of views and neither waits nor
// allocates.
func (p *Placer) Decide(q *Query, engines []*bundler.EngineEndpoint) (*bundler.EngineEndpoint, string) {
	views := p.views.Load()
	now := time.Now()
	if len(engines) <= window {
		best, owner, _ := p.decideAmong(q, engines, views, now)
		return best, owner
	}
	start := int(q.hash % uint64(len(engines)))
	var (
		best  *bundler.EngineEndpoint
		owner string
		low   = math.Inf(1)
	)
	// A window whose engines all have a queue is followed by the next one.
	for seen := 0; seen < len(engines) && low > saturated; seen += window {
		from := (start + seen) % len(engines)
		to := min(from+window, len(engines))
		if e, o, cost := p.decideAmong(q, engines[from:to], views, now); cost < low {
			best, owner, low = e, o, cost
		}
	}
	return best, owner
}

func (p *Placer) decideAmong(q *Query, engines []*bundler.EngineEndpoint, views *viewer.Views, now time.Time) (*bundler.EngineEndpoint, string, float64) {
	var (
		best     *bundler.EngineEndpoint
		bestView *viewer.View
		low      = math.Inf(1)
	)
	w := p.prepare(q)
	for _, e := range engines {
		view := views.Engine(e.Name())
		if view == nil || !p.takes(q, e, view) {
			continue
		}
		if cost := p.cost(q, &w, e, view, now); cost < low {
			best, bestView, low = e, view, cost
		}
	}
	if best == nil {
		return nil, "", low
	}
	p.recent.note(bestView)
	if w.blocks > 0 {
		p.history.note(w.prefixes[w.blocks-1], bestView)
	}
	return best, bestView.Owner(), low
}

// takes reports whether an engine may run the query at all.
func (p *Placer) takes(q *Query, e *bundler.EngineEndpoint, v *viewer.View) bool {
	return v.Accepts() && q.adapter.OfferedIn(e.Region()) && !slices.Contains(q.excluded, e.Name()) && !p.leaves(e.Name())
}

// cost orders the engines by the policy; the lowest is chosen.
func (p *Placer) cost(q *Query, w *weighing, e *bundler.EngineEndpoint, v *viewer.View, now time.Time) float64 {
	switch p.policy.(type) {
	case LeastLoaded:
		jobs := float64(v.Running() + v.Queued() + p.recent.count(v))
		tie := float64(p.next()>>11) / (1 << 53)
		if e.Region() != p.region {
			tie++
		}
		return jobs/float64(max(v.Batch(), 1)) + tie*tieBreak
	case Random:
		return float64(p.next())
	case AdapterHash:
		return float64(mix(q.hash ^ v.EngineHash()))
	default:
		return p.weigh(q, w, e, v, now)
	}
}

// tieBreak is too small to outweigh one job.
const tieBreak = 1e-6
