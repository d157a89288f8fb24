package procurer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/avoider"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Local reserves capacity on the engines of this host.
type Local interface {
	Reserve(ctx context.Context, req supplier.ReserveRequest) supplier.ReserveResponse
}

// Remote reserves capacity on the engines of the host at an address.
type Remote interface {
	Reserve(ctx context.Context, address string, req supplier.ReserveRequest) (supplier.ReserveResponse, error)
	// ReportSpeed reports the speed of an engine to its owner, the host at an address.
	ReportSpeed(ctx context.Context, address string, r SpeedReport) error
}

// Members provides the owners of engines.
type Members interface {
	View() *enroller.View
	Self() string
}

// Samples provides what the calls of this host showed of the speed of engines.
type Samples interface {
	// Pending returns the samples of an engine that its owner has not received.
	Pending(engine string) []estimator.Sample
	// Resend makes Pending return all samples that are kept for an engine again.
	Resend(engine string)
}

const (
	// requestTimeout limits one request to an owner, including the order that the owner
	// may have to send.
	requestTimeout = 700 * time.Millisecond
	// maxModelsInUse limits the models in use that one request lists.
	maxModelsInUse = 64
)

var errNoOwner = eris.New("engine has no owner that is alive and responds")

// Procurer requests capacity from owners and keeps track of the models in use.
type Procurer struct {
	local        Local
	remote       Remote
	members      Members
	samples      Samples
	unresponsive avoider.Avoider
	mu           sync.Mutex
	inUse        map[string]map[connector.Model]*modelUse // by engine id
	reports      reports
}

// New returns a procurer.
func New(local Local, remote Remote, members Members, samples Samples) *Procurer {
	return &Procurer{local: local, remote: remote, members: members, samples: samples, inUse: make(map[string]map[connector.Model]*modelUse)}
}

// Use records that a call uses a model of an engine until release is called. The
// next request to the engine's owner lists it, so that the owner does not evict it.
func (p *Procurer) Use(engine string, m connector.Model) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := p.inUse[engine]
	if models == nil {
		models = make(map[connector.Model]*modelUse)
		p.inUse[engine] = models
	}
	u := models[m]
	if u == nil {
		u = &modelUse{}
		models[m] = u
	}
	u.running++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		u.running--
		u.ended = true
	}
}

// modelUse counts the calls of this host that use a model of an engine.
type modelUse struct {
	running int
	ended   bool // a call ended since the last request
}

// takeModelsInUse returns the models that are in use or were since the last request,
// and forgets those that are not in use any more.
func (p *Procurer) takeModelsInUse(engine string) []connector.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := p.inUse[engine]
	list := make([]connector.Model, 0, len(models))
	for m, u := range models {
		if len(list) < maxModelsInUse {
			list = append(list, m)
		}
		u.ended = false
		if u.running == 0 {
			delete(models, m)
		}
	}
	return list
}

// Reserve requests capacity for a call on an engine. It fails if the owner is unknown
// or does not answer.
func (p *Procurer) Reserve(ctx context.Context, e *tracker.Endpoint, m connector.Model, opts ...supplier.ReserveOption) (supplier.ReserveResponse, error) {
	view := p.members.View()
	owner, ok := view.Owner(e.ID())
	if !ok {
		return nil, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := supplier.NewReserveRequest(e.ID(), m, append(opts, supplier.WithModelsInUse(p.takeModelsInUse(e.ID())))...)
	if owner.Host() == p.members.Self() {
		return p.local.Reserve(ctx, req), nil
	}
	host := view.Host(owner.Host())
	if !view.Alive(host) || p.unresponsive.Avoids(owner.Host()) {
		return nil, errNoOwner
	}
	supplier.WithSamples(p.samples.Pending(e.ID()))(&req)
	resp, err := p.remote.Reserve(ctx, host.PeerAddress(), req)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.unresponsive.RecordFailure(owner.Host())
		}
		return nil, fmt.Errorf("request capacity from owner %s: %w", owner.Host(), err)
	}
	if granted, ok := resp.(supplier.Granted); ok && granted.Unsure() {
		p.samples.Resend(e.ID())
	}
	return resp, nil
}
