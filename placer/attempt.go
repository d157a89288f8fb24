package placer

import (
	"slices"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
)

// Attempt is one attempt at a claimed request.
type Attempt struct {
	*claimer.Claimed
	id        string
	nextToken int
	excluded  []string
}

// NewAttempt returns an attempt that starts at the token with index next and
// avoids the excluded endpoints.
func NewAttempt(c *claimer.Claimed, id string, next int, excluded []string) *Attempt {
	return &Attempt{Claimed: c, id: id, nextToken: next, excluded: excluded}
}

// AttemptID returns the id that every part of the response must carry.
func (a *Attempt) AttemptID() string { return a.id }

// NextToken returns the index of the first token to produce.
func (a *Attempt) NextToken() int { return a.nextToken }

// Excludes reports whether the attempt avoids an endpoint.
func (a *Attempt) Excludes(endpoint string) bool { return slices.Contains(a.excluded, endpoint) }

// Choice is the endpoint of an attempt: OnEngine, OnService or NoEndpoint.
type Choice interface{ choice() }

// OnEngine runs the attempt on a model engine through the engine's owner.
type OnEngine struct {
	engine *bundler.EngineEndpoint
	owner  string
}

func (c *OnEngine) Engine() *bundler.EngineEndpoint { return c.engine }

// Owner returns the node that owns the engine.
func (c *OnEngine) Owner() string { return c.owner }

// OnService runs the attempt on an instance of a plain service.
type OnService struct {
	endpoint *bundler.ServiceEndpoint
}

// Endpoint returns the instance.
func (c *OnService) Endpoint() *bundler.ServiceEndpoint { return c.endpoint }

// NoEndpoint is the choice for a replayed request, which returns a stored answer.
type NoEndpoint struct{}

func (*OnEngine) choice()  {}
func (*OnService) choice() {}
func (NoEndpoint) choice() {}

// Placed is an attempt with the endpoint that was chosen for it.
type Placed struct {
	*Attempt
	choice      Choice
	outstanding *atomic.Int64 // outstanding calls of the service instance
}

// Choice returns the endpoint that the attempt runs on.
func (p *Placed) Choice() Choice { return p.choice }

// CallDone ends the accounting of a call to a plain service. It must be called
// once for each attempt that was placed on a service.
func (p *Placed) CallDone() {
	if p.outstanding != nil {
		p.outstanding.Add(-1)
	}
}
