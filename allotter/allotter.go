package allotter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/avoider"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// requestTimeout limits one request to another host.
	requestTimeout = 300 * time.Millisecond
	// maxLocalRefusal is how long a host refuses calls without asking after it was told that
	// the bucket is empty.
	maxLocalRefusal = 100 * time.Millisecond
)

// Remote sends messages to the host at an address.
type Remote interface {
	// Draw asks for the tokens of a call.
	Draw(ctx context.Context, address string, r Request) (accountant.Verdict, error)
	// SendPresence sends the presence of this host.
	SendPresence(ctx context.Context, address string, p Presence) error
}

// Members provides the hosts.
type Members interface {
	View() *enroller.View
	Self() string
}

// Tables provides the configuration.
type Tables interface{ Current() *router.Table }

// Allotter charges the calls of this host to the quotas of their workspaces, and keeps the
// buckets of the quotas that this host owns. It is safe for concurrent use.
type Allotter struct {
	remote       Remote
	members      Members
	tables       Tables
	observer     Observer
	log          *logger.Logger
	lendings     *lendings
	owned        *accountant.Accountant // what this host grants to all hosts
	alone        *accountant.Accountant // what this host grants itself while it reaches no other one
	unresponsive avoider.Avoider
	refusals     sync.Map // workspace → *refusal
	returns      returns
}

// New returns an allotter. Run has to be called for it to keep its place among the hosts.
func New(remote Remote, members Members, tables Tables, observer Observer, log *logger.Logger) *Allotter {
	return &Allotter{
		remote: remote, members: members, tables: tables, observer: observer, log: log.Component("allotter"),
		lendings: &lendings{byWorkspace: make(map[string]*lending)},
		owned:    accountant.New(), alone: accountant.New(accountant.WithOverdraft()),
		returns: returns{tokens: make(map[account]float64)},
	}
}

// charge is the result of the request for a call's tokens.
type charge struct {
	verdict accountant.Verdict
	source  Source
	account account // that the tokens were taken from
}

// draw charges the cost of a call.
func (a *Allotter) draw(ctx context.Context, workspace string, t accountant.Terms, cost float64) charge {
	now := time.Now()
	if wait, refused := a.refusedLately(workspace, t, cost, now); refused {
		return charge{verdict: accountant.NewExceeded(wait), source: Recent{}}
	}
	ranking := a.members.View().Ranking(workspace)
	for i, h := range ranking.Hosts() {
		if a.unresponsive.Avoids(h.Name()) {
			continue
		}
		r := NewRequest(a.members.Self(), workspace, t, cost)
		var source Source = Owner{}
		if i > 0 {
			r, source = r.AsFallback(), Second{}
		}
		verdict, err := a.ask(ctx, h, r)
		if err == nil {
			a.recordRefusal(workspace, verdict, cost, now)
			return charge{verdict: verdict, source: source, account: account{h.Name(), workspace}}
		}
		if ctx.Err() != nil {
			return charge{verdict: accountant.NewExceeded(0), source: Owner{}}
		}
	}
	verdict := a.drawAlone(workspace, t, cost, ranking.Live(), now)
	return charge{verdict: verdict, source: Alone{}, account: account{workspace: workspace}}
}

// ask sends a request to a host, which may be this one.
func (a *Allotter) ask(ctx context.Context, h *enroller.Host, r Request) (accountant.Verdict, error) {
	key := account{h.Name(), r.workspace}
	if h.Name() == a.members.Self() {
		return a.Grant(r.Returning(a.returns.take(key))), nil
	}
	r = r.Returning(a.returns.take(key))
	var verdict accountant.Verdict
	err := a.unresponsive.Do(ctx, h.Name(), requestTimeout, func(ctx context.Context) (err error) {
		verdict, err = a.remote.Draw(ctx, h.PeerAddress(), r)
		return err
	})
	if err != nil {
		if ctx.Err() == nil {
			a.log.Warn("quota-owner-silent", logger.With(logger.KeyPeer, h.Name()), logger.Err(err))
		}
		return nil, fmt.Errorf("draw from host %s: %w", h.Name(), err)
	}
	return verdict, nil
}

// drawAlone charges a call to this host's own share. The first call waits, by a part of the
// time in which its tokens become available that differs between hosts: all of them may be
// cut off at the same moment.
func (a *Allotter) drawAlone(workspace string, t accountant.Terms, cost float64, hosts int, now time.Time) accountant.Verdict {
	const steps = 1 << 10
	phase := float64(xxhash.Sum64String(a.members.Self()+"\x00"+workspace)%steps) / steps
	return a.alone.Draw(workspace, t, accountant.NewPart(halfShare/float64(max(hosts, 1)), -phase*cost), cost, now)
}

// Grant decides on the request of a host, which may be this one.
func (a *Allotter) Grant(r Request) accountant.Verdict {
	now := time.Now()
	a.hear(r.workspace, r.from, r.fallback, now)
	if r.returned > 0 {
		a.owned.Return(r.workspace, r.returned)
	}
	t := a.newest(r)
	return a.owned.Draw(r.workspace, t, a.lendings.part(r.workspace, t, now), r.cost, now)
}

// newest returns the newer one of the terms that the host that asks knows and those that this
// host knows.
func (a *Allotter) newest(r Request) accountant.Terms {
	table := a.tables.Current()
	if table == nil || table.Version() <= r.terms.Version() {
		return r.terms
	}
	w := table.Workspace(r.workspace)
	if w == nil || !w.Quota().Limited() {
		return r.terms
	}
	return termsOf(table, w)
}

func termsOf(t *router.Table, w *router.Workspace) accountant.Terms {
	return accountant.NewTerms(t.Version(), w.Quota().Rate(), w.Quota().Burst())
}

// hear records that a host reaches this one.
func (a *Allotter) hear(workspace, host string, fallback bool, now time.Time) {
	if a.lendings.record(workspace, host, fallback, now) {
		// Another host granted the quota until now.
		a.owned.Limit(workspace, startShare, now)
		a.count()
	}
}

// Hear records the presence of another host.
func (a *Allotter) Hear(p Presence) {
	now := time.Now()
	for _, q := range p.quotas {
		a.hear(q.workspace, p.from, p.fallback, now)
		if q.returned > 0 {
			a.owned.Return(q.workspace, q.returned)
		}
	}
}

func (a *Allotter) count() {
	view := a.members.View()
	a.lendings.count(view.Ranking("").Live(), view.Current(), time.Now())
}
