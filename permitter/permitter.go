package permitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/avoider"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// requestTimeout limits one request to the host that spaces the requests.
	requestTimeout = 400 * time.Millisecond
	// fallbackShare is the share of a rate that all hosts together use without the host
	// that spaces the requests, and the share that a host grants while another one may
	// space the requests, too.
	fallbackShare = 0.5
	// maxUnsent limits the reports that are kept until they are taken.
	maxUnsent = 1024
	// ReportLifetime is how long hosts that join are told of a limit.
	ReportLifetime = 30 * time.Second
)

// Report is the news of the limit of an endpoint process.
type Report struct {
	endpoint string
	born     int64
	limit    tracker.Limit
}

// NewReport returns the news of the limit of an endpoint process, which its id and its
// start time in Unix milliseconds identify.
func NewReport(endpoint string, born int64, limit tracker.Limit) Report {
	return Report{endpoint: endpoint, born: born, limit: limit}
}

// Endpoint returns the id of the endpoint.
func (r Report) Endpoint() string { return r.endpoint }

// Born returns the start time of the endpoint's process in Unix milliseconds.
func (r Report) Born() int64 { return r.born }

// Limit returns the limit.
func (r Report) Limit() tracker.Limit { return r.limit }

// process identifies the endpoint process.
func (r Report) process() string { return fmt.Sprintf("%s/%d", r.endpoint, r.born) }

// Request asks for a turn at an endpoint. It tells what the host knows of the limit.
type Request struct {
	Report
	maxWait time.Duration
}

// NewRequest returns a request that can wait for at most maxWait.
func NewRequest(r Report, maxWait time.Duration) Request { return Request{Report: r, maxWait: maxWait} }

// MaxWait returns how long the request can wait.
func (r Request) MaxWait() time.Duration { return r.maxWait }

// Response is the verdict on a request and what the host that gave it knows of the limit.
type Response struct {
	verdict limiter.Verdict
	limit   tracker.Limit
}

// NewResponse returns a response.
func NewResponse(v limiter.Verdict, l tracker.Limit) Response { return Response{verdict: v, limit: l} }

// Verdict returns the verdict.
func (r Response) Verdict() limiter.Verdict { return r.verdict }

// Limit returns what the host that gave the verdict knows of the limit.
func (r Response) Limit() tracker.Limit { return r.limit }

// Remote requests a turn from the host at an address.
type Remote interface {
	Admit(ctx context.Context, address string, request Request) (Response, error)
}

// Members provides the hosts.
type Members interface {
	View() *enroller.View
	Self() string
}

// Permitter obtains turns for the calls of this host and grants those at the endpoints
// whose requests it spaces. It is safe for concurrent use.
type Permitter struct {
	remote       Remote
	members      Members
	endpoints    *tracker.Tracker
	turns        *limiter.Limiter // at the endpoints whose requests this host spaces
	fallback     *limiter.Limiter
	unresponsive avoider.Avoider
	mu           sync.Mutex
	unsent       []Report
}

// New returns a permitter.
func New(remote Remote, members Members, endpoints *tracker.Tracker) *Permitter {
	return &Permitter{
		remote: remote, members: members, endpoints: endpoints,
		turns: limiter.New(), fallback: limiter.New(limiter.WithFirstWait()),
	}
}

// ObserveLimit records the limit that an endpoint named in an answer, or that it named none,
// and reports whether that is news.
func (p *Permitter) ObserveLimit(e *tracker.Endpoint, l tracker.Limit) (changed bool) {
	if !e.RecordLimit(l) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsent) < maxUnsent {
		p.unsent = append(p.unsent, NewReport(e.ID(), e.Born(), l))
	}
	return true
}

// TakeUnsent returns the news that has not been sent to other hosts yet, and clears it.
func (p *Permitter) TakeUnsent() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.unsent
	p.unsent = nil
	return list
}

// Learn applies the news of another host.
func (p *Permitter) Learn(list []Report) {
	for _, r := range list {
		if e := p.endpoint(r); e != nil {
			e.RecordLimit(r.limit)
		}
	}
}

// endpoint returns the endpoint process of a report, or nil if it is not known.
func (p *Permitter) endpoint(r Report) *tracker.Endpoint {
	e := p.endpoints.Current().Endpoint(r.endpoint)
	if e == nil || e.Born() != r.born {
		return nil
	}
	return e
}

// Admit requests a turn for a call at an endpoint. The call can wait for at most maxWait.
func (p *Permitter) Admit(ctx context.Context, e *tracker.Endpoint, maxWait time.Duration) limiter.Verdict {
	limit, limited := e.Limit(time.Now())
	if !limited {
		return limiter.Granted{}
	}
	view := p.members.View()
	request := NewRequest(NewReport(e.ID(), e.Born(), limit), maxWait)
	name := view.FirstChoice(e)
	if name == p.members.Self() {
		return p.Grant(request).verdict
	}
	if host := view.Host(name); host != nil && !p.unresponsive.Avoids(name) {
		response, err := p.ask(ctx, host, request)
		if err == nil {
			e.RecordLimit(response.limit)
			return response.verdict
		}
	}
	return p.fallBack(request, view.LiveCount())
}

func (p *Permitter) ask(ctx context.Context, host *enroller.Host, r Request) (Response, error) {
	var response Response
	err := p.unresponsive.Do(ctx, host.Name(), requestTimeout, func(ctx context.Context) (err error) {
		response, err = p.remote.Admit(ctx, host.PeerAddress(), r)
		return err
	})
	if err != nil {
		return Response{}, fmt.Errorf("request turn from host %s: %w", host.Name(), err)
	}
	return response, nil
}

// fallBack decides with this host's share of the rate.
func (p *Permitter) fallBack(r Request, hosts int) limiter.Verdict {
	rate, _ := r.limit.Rate()
	return p.fallback.Admit(r.process(), rate*fallbackShare/float64(max(hosts, 1)), r.maxWait, time.Now())
}

// Grant decides on the request of a host for a turn at an endpoint whose requests this
// host spaces.
func (p *Permitter) Grant(r Request) Response {
	now := time.Now()
	limit := r.limit
	if e := p.endpoint(r.Report); e != nil {
		e.RecordLimit(limit)
		known, limited := e.Limit(now)
		if !limited {
			return NewResponse(limiter.Granted{}, tracker.NewNoLimit(now))
		}
		limit = known
	}
	rate, limited := limit.Rate()
	if !limited {
		return NewResponse(limiter.Granted{}, limit)
	}
	if !p.spacesAlone(r.Report) {
		rate *= fallbackShare
	}
	return NewResponse(p.turns.Admit(r.process(), rate, r.maxWait, now), limit)
}

// spacesAlone reports whether no other host spaces the requests to an endpoint. For a
// while after a host has joined or left, hosts may disagree on which one does; each that
// is not sure then grants a part of the rate.
func (p *Permitter) spacesAlone(r Report) bool {
	e := p.endpoint(r)
	return e != nil && p.members.View().SettledChoice(e, p.members.Self())
}
