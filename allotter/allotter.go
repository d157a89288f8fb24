package allotter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/avoider"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// requestTimeout limits one request to another host.
	requestTimeout = 300 * time.Millisecond
	// isolatedShare is the share of what the bounds allow beyond a quota that the first calls of
	// isolated hosts may use.
	isolatedShare = 0.5
	// maxLocalRefusal is how long a host refuses calls without asking after a quota owner
	// refused one.
	maxLocalRefusal = 100 * time.Millisecond
)

// backoff is how long calls do not ask a host that did not answer. Delegations are sent to it
// every delegationInterval in the meantime, and calls ask it again once it has answered one.
const backoff = 3 * delegationInterval

// ErrEnded reports that a host grants nothing any more: it is about to leave, or no process accepts
// connections at its address.
var ErrEnded = eris.New("the host has ended")

// Remote sends messages to the host at an address.
type Remote interface {
	// Draw asks for the tokens of a call. It fails with ErrEnded if the host has ended.
	Draw(ctx context.Context, address string, r Request) (accountant.Verdict, error)
	// SendDelegation sends a delegation by this host, and fails like Draw.
	SendDelegation(ctx context.Context, address string, d Delegation) error
}

// Members provides the hosts.
type Members interface {
	View() *enroller.View
	Self() string
	Leaving() bool
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
	bounds       accountant.Bounds
	log          *logger.Logger
	delegations  *delegations
	owned        *accountant.Accountant // what this host grants to all hosts
	local        *accountant.Accountant // what this host grants itself while it is isolated
	unresponsive *avoider.Avoider
	ended        sync.Map // names of hosts whose process had ended when they were asked last
	refusals     sync.Map // workspace → *refusal
	balances     sync.Map // workspace → *balance
	changes      *ownerChanges
	reports      reports
}

// New returns an allotter. Run has to be called for it to keep its place among the hosts.
func New(remote Remote, members Members, tables Tables, observer Observer, b accountant.Bounds, log *logger.Logger) *Allotter {
	return &Allotter{
		remote: remote, members: members, tables: tables, observer: observer, bounds: b, log: log.Component("allotter"),
		delegations: &delegations{byWorkspace: make(map[string]*workspaceDelegations)},
		owned:       accountant.New(b), local: accountant.New(b, accountant.WithOverdraft()),
		unresponsive: avoider.New(avoider.WithBackoff(backoff)),
		changes:      newOwnerChanges(),
		reports:      reports{byAccount: make(map[account]Report)},
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
	if wait, refused := a.refusedRecently(workspace, t, cost, now); refused {
		return charge{verdict: accountant.NewExceeded(wait, accountant.Balance{}), source: Cached{}}
	}
	ranking := a.members.View().Ranking(workspace)
	for i, h := range ranking.Hosts() {
		if a.unresponsive.Avoids(h.Name()) {
			continue
		}
		r := a.withBalance(NewRequest(a.members.Self(), workspace, t, cost).As(a.role(ranking, i)), h.Name(), now)
		verdict, err := a.ask(ctx, h, r)
		if err == nil {
			a.recordRefusal(workspace, verdict, cost, now)
			a.recordOwner(h.Name(), workspace, r.role, verdict, now)
			a.recordElsewhere(ranking, i, workspace, verdict, cost)
			return charge{verdict: verdict, source: sourceOf(i), account: account{h.Name(), workspace}}
		}
		if ctx.Err() != nil {
			return charge{verdict: accountant.NewExceeded(0, accountant.Balance{}), source: sourceOf(i)}
		}
	}
	verdict := a.drawLocally(workspace, t, cost, ranking, now)
	a.recordElsewhere(ranking, len(ranking.Hosts()), workspace, verdict, cost)
	return charge{verdict: verdict, source: Local{}, account: account{workspace: workspace}}
}

// recordElsewhere records a grant by a host other than the quota owner, for a report to the owner
// once it answers again. The owner has counted this host's part as its own in the meantime,
// unless it has been unresponsive for longer than unresponsiveTime.
func (a *Allotter) recordElsewhere(r *enroller.Ranking, index int, workspace string, v accountant.Verdict, cost float64) {
	if _, granted := v.(accountant.Granted); !granted || index == 0 || len(r.Hosts()) == 0 {
		return
	}
	owner := account{r.Hosts()[0].Name(), workspace}
	if _, whole := a.role(r, index).(Substitute); whole {
		_ = a.reports.take(owner) // it has granted nothing for this host recently
		return
	}
	a.reports.add(owner, NewReport(0, 0, cost))
}

// role returns what the host at an index of a ranking is to this one.
func (a *Allotter) role(r *enroller.Ranking, index int) Role {
	if index == 0 && r.HandedOver() {
		return Substitute{} // the host that leaves grants nothing any more
	}
	if index == 0 {
		return Primary{}
	}
	for _, h := range r.Hosts()[:index] {
		if _, ended := a.ended.Load(h.Name()); !ended && a.unresponsive.FailingFor(h.Name()) < unresponsiveTime {
			return Standby{}
		}
	}
	return Substitute{}
}

func sourceOf(index int) Source {
	if index == 0 {
		return Owner{}
	}
	return Fallback{}
}

// ask sends a request to a host, which may be this one.
func (a *Allotter) ask(ctx context.Context, h *enroller.Host, r Request) (accountant.Verdict, error) {
	r = r.With(a.reports.take(account{h.Name(), r.workspace}))
	if h.Name() == a.members.Self() {
		verdict, err := a.Grant(r)
		if err != nil {
			a.ended.Store(h.Name(), struct{}{}) // until this process ends
		}
		return verdict, err
	}
	var verdict accountant.Verdict
	err := a.send(ctx, h, func(ctx context.Context) (err error) {
		verdict, err = a.remote.Draw(ctx, h.PeerAddress(), r)
		return err
	})
	if err != nil {
		a.reports.restore(account{h.Name(), r.workspace}, r.report)
		return nil, fmt.Errorf("draw from host %s: %w", h.Name(), err)
	}
	return verdict, nil
}

// send sends a message to another host, and repeats it if the first attempt fails early: that
// connection may belong to an earlier process, and a new one shows whether a process runs.
func (a *Allotter) send(ctx context.Context, h *enroller.Host, message func(context.Context) error) error {
	known := a.unresponsive.Avoids(h.Name())
	err := a.unresponsive.Do(ctx, h.Name(), requestTimeout, func(ctx context.Context) error {
		err := message(ctx)
		if err != nil && ctx.Err() == nil && !errors.Is(err, ErrEnded) {
			err = message(ctx)
		}
		return err
	})
	if err != nil && errors.Is(err, ErrEnded) {
		a.ended.Store(h.Name(), struct{}{})
	} else if err == nil || ctx.Err() == nil {
		a.ended.Delete(h.Name())
	}
	if err != nil && ctx.Err() == nil && !known {
		a.log.Warn("quota-owner-unresponsive", logger.With(logger.KeyPeer, h.Name()), logger.Err(err))
	}
	return err
}

// drawLocally charges a call to this host's own part of the rate. All hosts may be isolated at the
// same moment, so that the first call is granted at once on as many of them as the bounds
// allow, and waits on the others for a part of the time in which its tokens become available.
func (a *Allotter) drawLocally(workspace string, t accountant.Terms, cost float64, r *enroller.Ranking, now time.Time) accountant.Verdict {
	const steps = 1 << 10
	phase := float64(xxhash.Sum64String(a.members.Self()+"\x00"+workspace)%steps) / steps
	hosts := float64(max(r.Serving(), 1))
	first := isolatedShare * a.bounds.Allowance(t) / (cost * hosts)
	share := halfShare
	view := a.members.View()
	if _, whole := a.role(r, len(r.Hosts())).(Substitute); whole && view.Current() {
		share = 1
	} else if self := view.Host(a.members.Self()); self == nil || view.Expired(self) {
		share = a.bounds.LostShare() // hosts that do not see this one's row share the rate among them
	}
	return a.local.Draw(workspace, t, accountant.NewPart(share/hosts, min(first-phase, 0)*cost), cost, now)
}
