package placer

import (
	"context"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Attempt is one try at a claimed request.
type Attempt struct {
	*claimer.Claimed
	id       string
	next     int
	excluded []string
}

// NewAttempt returns an attempt that starts at the token with index next and
// avoids the excluded endpoints.
func NewAttempt(c *claimer.Claimed, id string, next int, excluded []string) *Attempt {
	return &Attempt{Claimed: c, id: id, next: next, excluded: excluded}
}

// AttemptID returns the id that every part of the answer must carry.
func (a *Attempt) AttemptID() string { return a.id }

// Next returns the index of the first token to produce.
func (a *Attempt) Next() int { return a.next }

// Excludes reports whether the attempt avoids an endpoint.
func (a *Attempt) Excludes(endpoint string) bool {
	for _, e := range a.excluded {
		if e == endpoint {
			return true
		}
	}
	return false
}

// Choice is where an attempt runs: OnEngine, OnService or Nowhere.
type Choice interface{ choice() }

// OnEngine runs the attempt on a model engine through the engine's owner.
type OnEngine struct {
	engine *bundler.EngineEndpoint
	owner  string
}

// Engine returns the engine.
func (c *OnEngine) Engine() *bundler.EngineEndpoint { return c.engine }

// Owner returns the node that owns the engine.
func (c *OnEngine) Owner() string { return c.owner }

// OnService runs the attempt on an instance of a plain service.
type OnService struct {
	endpoint *bundler.ServiceEndpoint
}

// Endpoint returns the instance.
func (c *OnService) Endpoint() *bundler.ServiceEndpoint { return c.endpoint }

// Nowhere needs no endpoint, because the answer exists already.
type Nowhere struct{}

func (*OnEngine) choice()  {}
func (*OnService) choice() {}
func (Nowhere) choice()    {}

// Placed is an attempt with its endpoint.
type Placed struct {
	*Attempt
	choice Choice
}

// Choice returns where the attempt runs.
func (p *Placed) Choice() Choice { return p.choice }

// Source gives the latest views by one atomic load.
type Source interface {
	Load() *viewer.Views
}

// Placer chooses endpoints.
type Placer struct {
	views  Source
	region string
}

// New returns a placer for a node in region.
func New(views Source, region string) *Placer {
	return &Placer{views: views, region: region}
}

// Apply chooses the endpoint of an attempt.
func (p *Placer) Apply(_ context.Context, a *Attempt) (*Placed, error) {
	if _, ok := a.Claim().(*claimer.Replay); ok {
		return &Placed{Attempt: a, choice: Nowhere{}}, nil
	}
	choice, err := p.choose(a)
	if err != nil {
		return nil, err
	}
	return &Placed{Attempt: a, choice: choice}, nil
}

func (p *Placer) choose(a *Attempt) (Choice, error) {
	switch route := a.Route().(type) {
	case *resolver.GenerationRoute:
		return p.chooseEngine(a, route)
	case *resolver.ServiceRoute:
		return p.chooseService(a, route)
	default:
		return nil, classifier.NewInvalid("the request has no route")
	}
}

func (p *Placer) chooseEngine(a *Attempt, route *resolver.GenerationRoute) (Choice, error) {
	views := p.views.Load()
	var (
		best      *bundler.EngineEndpoint
		bestOwner string
		bestScore = -1 << 30
	)
	for _, e := range route.Engines() {
		view := views.Engine(e.Name())
		if view == nil || !view.Accepts() || a.Excludes(e.Name()) || !route.Adapter().OfferedIn(e.Region()) {
			continue
		}
		score := 100*int(view.Residency(route.Model())) - view.Running() - view.Queued()
		if e.Region() != p.region {
			score -= 50
		}
		if score > bestScore {
			best, bestOwner, bestScore = e, view.Owner(), score
		}
	}
	if best == nil {
		return nil, classifier.NewUnavailable("no engine for the adapter takes work", classifier.RetryAfter(retryWhenNone))
	}
	return &OnEngine{engine: best, owner: bestOwner}, nil
}

func (p *Placer) chooseService(a *Attempt, route *resolver.ServiceRoute) (Choice, error) {
	var remote *bundler.ServiceEndpoint
	for _, e := range route.Service().Endpoints() {
		if a.Excludes(e.Name()) {
			continue
		}
		if e.Region() == p.region {
			return &OnService{endpoint: e}, nil
		}
		remote = e
	}
	if remote == nil {
		return nil, classifier.NewUnavailable("no instance of the service takes work", classifier.RetryAfter(retryWhenNone))
	}
	return &OnService{endpoint: remote}, nil
}
