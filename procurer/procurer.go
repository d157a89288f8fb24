package procurer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Local answers for the engines of this host.
type Local interface {
	Supply(ctx context.Context, w supplier.Want) supplier.Supply
}

// Remote asks other hosts.
type Remote interface {
	Supply(ctx context.Context, address string, w supplier.Want) (supplier.Supply, error)
}

// Members knows the owners of engines.
type Members interface {
	View() *enroller.View
	Self() string
}

const (
	// askTimeout bounds one question to an owner, its order included.
	askTimeout = 900 * time.Millisecond
	// maxUsed bounds the models in use that one question names.
	maxUsed       = 64
	retryNoOwner  = 500 * time.Millisecond
	retryUnheard  = 300 * time.Millisecond
	reasonNoOwner = "engine has no owner"
	reasonUnheard = "owner does not answer"
)

// Procurer asks owners.
type Procurer struct {
	local   Local
	remote  Remote
	members Members
	mu      sync.Mutex
	used    map[string]map[connector.Model]*use // by engine
}

// New returns a procurer.
func New(local Local, remote Remote, members Members) *Procurer {
	return &Procurer{local: local, remote: remote, members: members, used: make(map[string]map[connector.Model]*use)}
}

// Use notes that a call uses a model that the engine holds, until release is
// called. Owners hear of it with the next question, so that they keep what is in
// use.
func (p *Procurer) Use(engine string, m connector.Model) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := p.used[engine]
	if models == nil {
		models = make(map[connector.Model]*use)
		p.used[engine] = models
	}
	u := models[m]
	if u == nil {
		u = &use{}
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

// use is the use of a model at an engine by the calls of this host.
type use struct {
	running int
	ended   bool // whether a call ended since the last question
}

// takeUsed returns the models that are in use or were since the last question.
func (p *Procurer) takeUsed(engine string) []connector.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := p.used[engine]
	list := make([]connector.Model, 0, len(models))
	for m, u := range models {
		if len(list) < maxUsed {
			list = append(list, m)
		}
		u.ended = false
		if u.running == 0 {
			delete(models, m)
		}
	}
	return list
}

// Procure asks for at least a version of a model on an engine. Missing says that
// the engine refused a call because it does not hold the model.
func (p *Procurer) Procure(ctx context.Context, e *tracker.Endpoint, m connector.Model, version int64, missing bool) supplier.Supply {
	view := p.members.View()
	owner, ok := view.Owner(e.ID())
	if !ok {
		return supplier.NewDeclined(reasonNoOwner, retryNoOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	w := supplier.NewWant(e.ID(), m, version, missing, p.takeUsed(e.ID()))
	if owner.Host() == p.members.Self() {
		return p.local.Supply(ctx, w)
	}
	host := view.Host(owner.Host())
	if !view.Alive(host) {
		return supplier.NewDeclined(reasonNoOwner, retryNoOwner)
	}
	s, err := p.remote.Supply(ctx, host.Peers(), w)
	if err != nil {
		return supplier.NewDeclined(reasonUnheard+": "+err.Error(), retryUnheard)
	}
	return s
}
