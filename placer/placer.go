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

// Source provides the latest views of the engines.
type Source interface {
	// Load returns the latest views with a single atomic load.
	Load() *viewer.Views
}

// DrainChecker reports which endpoints must get no new work. Draining is called
// for every candidate of every request and must not take a lock.
type DrainChecker interface {
	Draining(endpoint string) bool
}

// Placer chooses endpoints for attempts. It is safe for concurrent use.
type Placer struct {
	views       Source
	region      string
	policy      Policy
	drains      DrainChecker
	random      atomic.Uint64
	recent      recentPlacements
	history     prefixHistory
	outstanding [counterSlots]atomic.Int64 // outstanding calls by hash of the instance's name
}

// counterSlots is the size of the tables of counters indexed by the hash of an
// endpoint's name. A collision makes two endpoints look busier than they are.
const counterSlots = 1 << 10

// Option sets an optional property of a Placer.
type Option func(*Placer)

// WithPolicy sets the policy by which engines are chosen. The default is Weighted.
func WithPolicy(policy Policy) Option { return func(p *Placer) { p.policy = policy } }

// WithDrainChecker excludes the endpoints that c reports as draining.
func WithDrainChecker(c DrainChecker) Option { return func(p *Placer) { p.drains = c } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(p *Placer) { p.random.Store(seed) } }

// New returns a placer for a node in region.
func New(views Source, region string, opts ...Option) *Placer {
	p := &Placer{views: views, region: region, policy: Weighted{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Apply chooses the endpoint of an attempt and records the decision in the trail
// of ctx, if there is one.
func (p *Placer) Apply(ctx context.Context, a *Attempt) (*Placed, error) {
	placed, err := p.place(a)
	if trail := recorder.From(ctx); trail != nil {
		p.record(trail, a, placed, err)
	}
	return placed, err
}

// record adds the decision about an attempt to trail. Replayed requests have no
// decision.
func (p *Placer) record(trail *recorder.Trail, a *Attempt, placed *Placed, err error) {
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
		return nil, classifier.NewUnavailable("no engine for the adapter takes work", classifier.RetryAfter(retryNoEndpoint))
	}
	return &Placed{Attempt: a, choice: &OnEngine{engine: engine, owner: owner}}, nil
}

func (p *Placer) placeCall(a *Attempt, route *resolver.ServiceRoute) (*Placed, error) {
	endpoint, calls := p.leastOutstanding(a, route.Service().Endpoints())
	if endpoint == nil {
		return nil, classifier.NewUnavailable("no instance of the service takes work", classifier.RetryAfter(retryNoEndpoint))
	}
	calls.Add(1)
	return &Placed{Attempt: a, choice: &OnService{endpoint: endpoint}, outstanding: calls}, nil
}

// leastOutstanding returns the instance with the fewest outstanding calls and the
// counter of its calls. It prefers instances in the node's own region.
func (p *Placer) leastOutstanding(a *Attempt, endpoints []*bundler.ServiceEndpoint) (*bundler.ServiceEndpoint, *atomic.Int64) {
	var (
		best  *bundler.ServiceEndpoint
		calls *atomic.Int64
		local bool
	)
	for _, e := range endpoints {
		if a.Excludes(e.Name()) || p.draining(e.Name()) {
			continue
		}
		here := e.Region() == p.region
		if local && !here {
			continue
		}
		n := &p.outstanding[xxhash.Sum64String(e.Name())%counterSlots]
		if best == nil || here && !local || n.Load() < calls.Load() {
			best, calls, local = e, n, here
		}
	}
	return best, calls
}

func (p *Placer) draining(endpoint string) bool {
	return p.drains != nil && p.drains.Draining(endpoint)
}

// randomUint64 returns the next number of a SplitMix64 sequence.
func (p *Placer) randomUint64() uint64 { return mix(p.random.Add(0x9e3779b97f4a7c15)) }

// mix is the finaliser of SplitMix64. It mixes the bits of a counter or of two
// combined hashes.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
