package placer

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Query holds the properties of one generation that the choice of an engine
// depends on, apart from the state of the engines.
type Query struct {
	model    connector.Model
	hash     uint64
	adapter  *bundler.Adapter
	prompt   string
	bytes    int // estimated size of request and response on the network
	weights  bundler.Weights
	excluded []string
}

// Estimated bytes on the network for a request, besides its prompt, and for each
// token of the response, including framing.
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

// Bytes returns the estimated size of the request and its response on the network,
// in bytes.
func (q *Query) Bytes() int { return q.bytes }

// windowSize is the number of engines that are compared at a time. The first
// window starts at the adapter's hash, so that all nodes compare the same engines
// for an adapter.
const windowSize = 48

// Decide returns the engine for a query and the node that owns the engine, or nil
// if no engine accepts the query. It works on one snapshot of the views and
// neither blocks nor allocates.
func (p *Placer) Decide(q *Query, engines []*bundler.EngineEndpoint) (*bundler.EngineEndpoint, string) {
	views := p.views.Load()
	now := time.Now()
	if len(engines) <= windowSize {
		best, owner, _ := p.decideAmong(q, engines, views, now)
		return best, owner
	}
	start := int(q.hash % uint64(len(engines)))
	var (
		best  *bundler.EngineEndpoint
		owner string
		low   = math.Inf(1)
	)
	// The next window is tried only if all engines of this one are saturated.
	for seen := 0; seen < len(engines) && low > saturatedCost; seen += windowSize {
		from := (start + seen) % len(engines)
		to := min(from+windowSize, len(engines))
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
	in := p.costInputs(q)
	for _, e := range engines {
		view := views.Engine(e.Name())
		if view == nil || !p.accepts(q, e, view) {
			continue
		}
		if cost := p.cost(q, &in, e, view, now); cost < low {
			best, bestView, low = e, view, cost
		}
	}
	if best == nil {
		return nil, "", low
	}
	p.recent.record(bestView)
	if in.blocks > 0 {
		p.history.record(in.prefixes[in.blocks-1], bestView)
	}
	return best, bestView.Owner(), low
}

// accepts reports whether an engine is eligible for the query.
func (p *Placer) accepts(q *Query, e *bundler.EngineEndpoint, v *viewer.View) bool {
	return v.Accepts() && q.adapter.OfferedIn(e.Region()) && !slices.Contains(q.excluded, e.Name()) && !p.draining(e.Name())
}

// cost returns the cost of an engine under the placement policy. The engine with
// the lowest cost is chosen.
func (p *Placer) cost(q *Query, in *costInputs, e *bundler.EngineEndpoint, v *viewer.View, now time.Time) float64 {
	switch p.policy.(type) {
	case LeastLoaded:
		jobs := float64(v.Running() + v.Queued() + p.recent.count(v))
		tie := float64(p.randomUint64()>>11) / (1 << 53)
		if e.Region() != p.region {
			tie++
		}
		return jobs/float64(max(v.Batch(), 1)) + tie*tieBreak
	case Random:
		return float64(p.randomUint64())
	case AdapterHash:
		return float64(mix(q.hash ^ v.EngineHash()))
	default:
		return p.weightedCost(q, in, e, v, now)
	}
}

// tieBreak scales the term that breaks ties between equally loaded engines. It is
// too small to outweigh one job.
const tieBreak = 1e-6
