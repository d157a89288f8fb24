package placer

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Source gives the latest views by one atomic load.
type Source interface {
	Load() *viewer.Views
}

// DrainChecker tells which endpoints take no new work. It is asked for every
// candidate of every request and takes no lock.
type DrainChecker interface {
	Draining(endpoint string) bool
}

// Placer chooses endpoints.
type Placer struct {
	views   Source
	region  string
	policy  Policy
	leaving DrainChecker
	random  atomic.Uint64
	recent  recent
	history history
	calls   [counters]atomic.Int64 // outstanding calls by hash of the instance
}

// counters is the size of the tables that count by hash of an endpoint's name.
// A collision makes two endpoints look busier than they are.
const counters = 1 << 10

// Option sets an optional property of a Placer.
type Option func(*Placer)

// WithPolicy sets how engines are chosen; Weighted is the default.
func WithPolicy(policy Policy) Option { return func(p *Placer) { p.policy = policy } }

// WithDrainChecker keeps new work away from endpoints that leave.
func WithDrainChecker(l DrainChecker) Option { return func(p *Placer) { p.leaving = l } }

// WithSeed fixes the random choices.
func WithSeed(seed uint64) Option { return func(p *Placer) { p.random.Store(seed) } }

// New returns a placer for a node in region.
func New(views Source, region string, opts ...Option) *Placer {
	p := &Placer{views: views, region: region, policy: Weighted{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Apply chooses the endpoint of an attempt.
func (p *Placer) Apply(ctx context.Context, a *Attempt) (*Placed, error) {
	placed, err := p.place(a)
	if trail := recorder.From(ctx); trail != nil {
		p.note(trail, a, placed, err)
	}
	return placed, err
}

// note records the decision about an attempt. A stored answer has none.
func (p *Placer) note(trail *recorder.Trail, a *Attempt, placed *Placed, err error) {
	if err != nil {
		trail.Note(recorder.StagePlacer, "none", fmt.Sprintf("%s; excluded %q", err, a.excluded))
		return
	}
	switch choice := placed.choice.(type) {
	case *OnEngine:
		trail.Note(recorder.StagePlacer, "engine "+choice.engine.Name(), fmt.Sprintf("policy %s, excluded %q", p.policy, a.excluded))
	case *OnService:
		trail.Note(recorder.StagePlacer, "service endpoint "+choice.endpoint.Name(), fmt.Sprintf("fewest outstanding calls, excluded %q", a.excluded))
	}
}

func (p *Placer) place(a *Attempt) (*Placed, error) {
	if _, ok := a.Claim().(*claimer.Replay); ok {
		return &Placed{Attempt: a, choice: NoEndpoint{}}, nil
	}
	switch route := a.Route().(type) {
	case *resolver.GenerationRoute:
		return p.placeGeneration(a, route)
	case *resolver.ServiceRoute:
		return p.placeCall(a, route)
	default:
		return nil, classifier.NewInvalid("the request has no route")
	}
}

func (p *Placer) placeGeneration(a *Attempt, route *resolver.GenerationRoute) (*Placed, error) {
	q := NewQuery(route.Model(), route.Adapter(), route.Target().Prompt(), route.Target().MaxTokens(), a.Snapshot().Weights(), a.excluded)
	engine, owner := p.Decide(&q, route.Engines())
	if engine == nil {
		return nil, classifier.NewUnavailable("no engine for the adapter takes work", classifier.RetryAfter(retryWhenNone))
	}
	return &Placed{Attempt: a, choice: &OnEngine{engine: engine, owner: owner}}, nil
}

func (p *Placer) placeCall(a *Attempt, route *resolver.ServiceRoute) (*Placed, error) {
	endpoint, calls := p.leastCalls(a, route.Service().Endpoints())
	if endpoint == nil {
		return nil, classifier.NewUnavailable("no instance of the service takes work", classifier.RetryAfter(retryWhenNone))
	}
	calls.Add(1)
	return &Placed{Attempt: a, choice: &OnService{endpoint: endpoint}, calls: calls}, nil
}

// leastCalls returns the instance with the fewest outstanding calls, in the
// node's own region if one there takes work.
func (p *Placer) leastCalls(a *Attempt, endpoints []*bundler.ServiceEndpoint) (*bundler.ServiceEndpoint, *atomic.Int64) {
	var (
		best  *bundler.ServiceEndpoint
		calls *atomic.Int64
		local bool
	)
	for _, e := range endpoints {
		if a.Excludes(e.Name()) || p.leaves(e.Name()) {
			continue
		}
		here := e.Region() == p.region
		if local && !here {
			continue
		}
		n := &p.calls[xxhash.Sum64String(e.Name())%counters]
		if best == nil || here && !local || n.Load() < calls.Load() {
			best, calls, local = e, n, here
		}
	}
	return best, calls
}

func (p *Placer) leaves(endpoint string) bool {
	return p.leaving != nil && p.leaving.Draining(endpoint)
}

// next returns a random number.
func (p *Placer) next() uint64 { return mix(p.random.Add(0x9e3779b97f4a7c15)) }

// mix is the finaliser of SplitMix64. It spreads a counter or two combined
// hashes over all bits.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
