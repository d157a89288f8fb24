package procurer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Local answers for the engines of this host.
type Local interface {
	Reserve(ctx context.Context, w supplier.ReserveRequest) supplier.ReserveResponse
}

// Remote asks other hosts.
type Remote interface {
	Reserve(ctx context.Context, address string, w supplier.ReserveRequest) (supplier.ReserveResponse, error)
}

// Members knows the owners of engines.
type Members interface {
	View() *enroller.View
	Self() string
}

const (
	// askTimeout bounds one question to an owner, its order included.
	askTimeout = 700 * time.Millisecond
	// silenceTime is how long a host that did not answer is not asked again.
	silenceTime = time.Second
	// maxUsed bounds the models in use that one question names.
	maxUsed = 64
)

var errNoOwner = eris.New("the engine has no owner that answers")

// Procurer asks owners.
type Procurer struct {
	local   Local
	remote  Remote
	members Members
	silence sync.Map // host → time.Time of the last question without an answer
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

// Reserve asks for a place for a call on an engine. It fails if the owner is not
// known or does not answer.
func (p *Procurer) Reserve(ctx context.Context, e *tracker.Endpoint, m connector.Model, opts ...supplier.ReserveOption) (supplier.ReserveResponse, error) {
	view := p.members.View()
	owner, ok := view.Owner(e.ID())
	if !ok {
		return nil, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	w := supplier.NewReserveRequest(e.ID(), m, append(opts, supplier.WithModelsInUse(p.takeUsed(e.ID())))...)
	if owner.Host() == p.members.Self() {
		return p.local.Reserve(ctx, w), nil
	}
	host := view.Host(owner.Host())
	if !view.Alive(host) || p.silent(owner.Host()) {
		return nil, errNoOwner
	}
	s, err := p.remote.Reserve(ctx, host.PeerAddress(), w)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.silence.Store(owner.Host(), time.Now())
		}
		return nil, fmt.Errorf("ask owner %s: %w", owner.Host(), err)
	}
	return s, nil
}

// silent reports whether a host failed to answer a short time ago.
func (p *Procurer) silent(host string) bool {
	at, ok := p.silence.Load(host)
	return ok && time.Since(at.(time.Time)) < silenceTime
}
