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
	used    map[string]map[connector.Model]struct{} // engine → models in use since the last question
}

// New returns a procurer.
func New(local Local, remote Remote, members Members) *Procurer {
	return &Procurer{local: local, remote: remote, members: members, used: make(map[string]map[connector.Model]struct{})}
}

// Used notes that a call uses a model that the engine holds. Owners hear of it
// with the next question, so that they keep what is in use.
func (p *Procurer) Used(engine string, m connector.Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := p.used[engine]
	if models == nil {
		models = make(map[connector.Model]struct{})
		p.used[engine] = models
	}
	if len(models) < maxUsed {
		models[m] = struct{}{}
	}
}

func (p *Procurer) takeUsed(engine string) []connector.Model {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]connector.Model, 0, len(p.used[engine]))
	for m := range p.used[engine] {
		list = append(list, m)
	}
	delete(p.used, engine)
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
