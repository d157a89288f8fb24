package selector

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// Cost of leaving the host's own data centre or region, as a share of an
	// endpoint's slots: a farther endpoint is chosen when the nearer one is busier
	// by more than this.
	otherDataCentreCost = 0.25
	otherRegionCost     = 0.6
	// failurePenalty is the cost of an endpoint that fails all calls. It equals
	// having three times its slots in use.
	failurePenalty = 3.0
	// maxImbalance is how many more calls than the least busy engine a preferred
	// engine may have, as a share of its slots, before the next one is taken. The
	// owners of the engines schedule prompts one after another, so using a busier
	// engine costs little, whereas loading the model on another one costs much.
	maxImbalance = 0.5
	// maxCallsPerSlot is the number of calls per slot at which an engine gets no
	// more calls.
	maxCallsPerSlot = 1.25
	// maxEngineQueue is the longest queue of an engine that still gets calls.
	maxEngineQueue = 8
	// maxPlainCallsPerSlot is the number of calls per slot at which the queue of an
	// endpoint that is not an engine counts as full.
	maxPlainCallsPerSlot = 4.0

	// maxRemoteCalls is how many calls for one model a host sends to another region
	// before the model is loaded in the host's own region. A load from the weight
	// store costs as much as the cross-region traffic of a dozen calls, and all hosts
	// of the region contribute to that dozen.
	maxRemoteCalls = 4
	// remoteWindow is the time over which the calls are counted.
	remoteWindow = 30 * time.Second

	retryWhenFull   = 400 * time.Millisecond
	retryNoEndpoint = 500 * time.Millisecond
	retryNoBase     = time.Second
)

// Choice is the endpoint chosen for a call.
type Choice struct {
	endpoint    *tracker.Endpoint
	minVersion  int64
	modelLoaded bool
	claimed     bool
}

func (c Choice) Endpoint() *tracker.Endpoint { return c.endpoint }

// MinVersion returns the newest named version of the call's model, which is
// the oldest one that may serve the call, or 0 if none is known.
func (c Choice) MinVersion() int64 { return c.minVersion }

// ModelLoaded reports whether the endpoint has the call's model loaded, as far as
// this host knows. It is always true for services without engines.
func (c Choice) ModelLoaded() bool { return c.modelLoaded }

// Claimed reports whether the call counts as in flight at the endpoint already. The caller
// must end the claim with tracker.Endpoint.Unclaim.
func (c Choice) Claimed() bool { return c.claimed }

// Selector chooses endpoints for the calls of one host.
type Selector struct {
	endpoints   *tracker.Tracker
	dataCentre  string
	region      string
	remoteCalls atomic.Pointer[remoteCalls]
}

// remoteCalls counts the calls of one remoteWindow that were sent to another region.
type remoteCalls struct {
	since   time.Time
	byModel sync.Map // connector.Model → *atomic.Int32
}

// New returns a selector for a host in a data centre and region.
func New(endpoints *tracker.Tracker, dataCentre, region string) *Selector {
	s := &Selector{endpoints: endpoints, dataCentre: dataCentre, region: region}
	s.remoteCalls.Store(&remoteCalls{since: time.Now()})
	return s
}

// Choose returns the endpoint for a call, or a fault. It skips endpoints for which
// avoid returns true. If loadsQueued is true, a load of the call's model would have to
// wait for others, and an engine that holds it is preferred in whatever region.
func (s *Selector) Choose(r *router.Routed, avoid func(*tracker.Endpoint) bool, loadsQueued bool) (Choice, error) {
	snapshot := s.endpoints.Current()
	now := time.Now()
	all := snapshot.Usable(r.Service().Name())
	plain := r.Service().EngineSpec() == nil || r.Model().Base() == ""
	if plain && len(all) > 0 && all[0].Paced() {
		return s.choosePaced(r, all, avoid, now)
	}
	usable := available(all, avoid, now)
	if len(usable) == 0 {
		return Choice{}, classifier.NewUnavailable("no endpoint of the service is left", classifier.RetryAfter(retryWhenPaused(all, now)))
	}
	if plain {
		return s.choosePlain(usable, now)
	}
	return s.chooseEngine(snapshot, r.Model(), usable, loadsQueued, now)
}

// Usable reports whether an endpoint that was chosen earlier may still receive new
// calls.
func (s *Selector) Usable(e *tracker.Endpoint) bool {
	return acceptsCalls(e, time.Now()) && s.endpoints.Current().Endpoint(e.ID()) == e
}

// AnyLeft reports whether the call could be sent to an endpoint now that avoid does not
// return true for. Unlike Choose, it does not count an ejected endpoint.
func (s *Selector) AnyLeft(r *router.Routed, avoid func(*tracker.Endpoint) bool) bool {
	now := time.Now()
	plain := r.Service().EngineSpec() == nil || r.Model().Base() == ""
	return slices.ContainsFunc(s.endpoints.Current().Usable(r.Service().Name()), func(e *tracker.Endpoint) bool {
		if !acceptsCalls(e, now) || e.Ejected(now) || avoid(e) {
			return false
		}
		if plain {
			return plainFill(e, now) < maxPlainCallsPerSlot
		}
		_, capacity := busyCalls(e, now)
		return capacity && e.HoldsBase(r.Model().Base())
	})
}

// AnyLimited reports whether any endpoint of the call's service names a limit on the rate
// of requests.
func (s *Selector) AnyLimited(r *router.Routed) bool {
	now := time.Now()
	return slices.ContainsFunc(s.endpoints.Current().Usable(r.Service().Name()), func(e *tracker.Endpoint) bool {
		_, limited := e.Limit(now)
		return limited
	})
}

// acceptsCalls reports whether an endpoint has not said that it wants no calls.
func acceptsCalls(e *tracker.Endpoint, now time.Time) bool {
	return !e.Leaving() && e.Paused(now) <= 0
}

// retryWhenPaused returns the time until the first of the endpoints takes calls again,
// but at least retryNoEndpoint.
func retryWhenPaused(list []*tracker.Endpoint, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, e := range list {
		if d := e.Paused(now); !e.Leaving() && d > 0 && (first == 0 || d < first) {
			first = d
		}
	}
	return max(first, retryNoEndpoint)
}

// available returns the endpoints that accept calls and are neither avoided nor ejected. If all of
// them are ejected, it returns the ejected ones, because a service without any
// endpoint would be worse. It allocates only if there is one to leave out.
func available(list []*tracker.Endpoint, avoid func(*tracker.Endpoint) bool, now time.Time) []*tracker.Endpoint {
	excluded := func(e *tracker.Endpoint) bool { return !acceptsCalls(e, now) || avoid(e) }
	usable := func(e *tracker.Endpoint) bool { return !excluded(e) && !e.Ejected(now) }
	first := slices.IndexFunc(list, func(e *tracker.Endpoint) bool { return !usable(e) })
	if first < 0 {
		return list
	}
	var healthy, ejected []*tracker.Endpoint
	for _, e := range list {
		switch {
		case excluded(e):
		case e.Ejected(now):
			ejected = append(ejected, e)
		default:
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

func (s *Selector) distance(e *tracker.Endpoint) float64 {
	switch {
	case e.DataCentre() == s.dataCentre:
		return 0
	case e.Region() == s.region:
		return otherDataCentreCost
	default:
		return otherRegionCost
	}
}

func (s *Selector) choosePlain(list []*tracker.Endpoint, now time.Time) (Choice, error) {
	var best *tracker.Endpoint
	var bestCost float64
	for _, e := range list {
		fill := plainFill(e, now)
		cost := fill + s.distance(e) + failurePenalty*e.FailureRate()
		if fill < maxPlainCallsPerSlot && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Choice{}, overloaded(len(list))
	}
	return Choice{endpoint: best, modelLoaded: true}, nil
}

// plainFill returns the number of calls per slot at an endpoint that is not an engine.
func plainFill(e *tracker.Endpoint, now time.Time) float64 {
	return e.EstimatedCalls(now) / float64(e.Slots())
}

func overloaded(n int) error {
	return classifier.NewOverloaded(fmt.Sprintf("all %d endpoints are full", n), classifier.RetryAfter(retryWhenFull))
}

// place is where an engine is, as seen from the host.
type place int

const (
	local  place = iota // in the host's own region
	remote              // in another region
	places
)

// candidate is the engine of a place that comes first for a model in rendezvous order.
type candidate struct {
	endpoint *tracker.Endpoint
	hash     uint64
}

// offer replaces the candidate by an engine that comes before it.
func (c *candidate) offer(e *tracker.Endpoint, hash uint64) {
	if c.endpoint == nil || hash > c.hash {
		c.endpoint, c.hash = e, hash
	}
}

// shortlist holds the first engines of one place that have the model loaded, that have
// recently held it, so that they load it fast, and of all engines.
type shortlist struct{ loaded, cached, any candidate }

// preferred returns the first engine that serves the model without a load from the
// weight store, or nil.
func (l *shortlist) preferred() *tracker.Endpoint {
	if l.loaded.endpoint != nil {
		return l.loaded.endpoint
	}
	return l.cached.endpoint
}

// chooseEngine chooses among the engines of list. It reads them twice and allocates
// nothing, because a call waits for it.
func (s *Selector) chooseEngine(snapshot *tracker.Snapshot, m connector.Model, list []*tracker.Endpoint, loadsQueued bool, now time.Time) (Choice, error) {
	withBase, capacity := 0, false
	least := [places]float64{math.Inf(1), math.Inf(1)}
	for _, e := range list {
		if !e.HoldsBase(m.Base()) {
			continue
		}
		withBase++
		if busy, ok := busyCalls(e, now); ok {
			capacity = true
			least[s.place(e)] = min(least[s.place(e)], busy)
		}
	}
	switch {
	case withBase == 0:
		return Choice{}, classifier.NewUnavailable("no engine holds the base model", classifier.RetryAfter(retryNoBase))
	case !capacity:
		return Choice{}, overloaded(withBase)
	}
	minVersion := snapshot.NamedVersion(m)
	lists := s.shortlists(m, minVersion, list, least, now)
	e := s.pick(&lists, m, loadsQueued, now)
	return Choice{endpoint: e, minVersion: minVersion, modelLoaded: e.Holds(m, minVersion)}, nil
}

// shortlists returns the shortlists of both places. It skips engines that are much
// busier than the least busy one of their place.
func (s *Selector) shortlists(m connector.Model, minVersion int64, list []*tracker.Endpoint, least [places]float64, now time.Time) [places]shortlist {
	var lists [places]shortlist
	seed := modelSeed(m)
	for _, e := range list {
		busy, ok := busyCalls(e, now)
		at := s.place(e)
		if !ok || busy > least[at]+maxImbalance*float64(e.Slots()) || !e.HoldsBase(m.Base()) {
			continue
		}
		hash := mix(seed ^ e.Hash())
		lists[at].any.offer(e, hash)
		switch {
		case e.Holds(m, minVersion):
			lists[at].loaded.offer(e, hash)
		case e.RecentlyHeld(m):
			lists[at].cached.offer(e, hash)
		}
	}
	return lists
}

// busyCalls returns the number of calls of an engine with the price of its failures,
// or false if it gets no more calls.
func busyCalls(e *tracker.Endpoint, now time.Time) (float64, bool) {
	calls := e.EstimatedCalls(now)
	if calls >= maxCallsPerSlot*float64(e.Slots()) || e.Waiting(now) > maxEngineQueue || e.Full(now) {
		return 0, false
	}
	// A slow engine with few calls takes as long as a usual one with more of them.
	pace := e.ReportedPace(now)
	return (calls+1)*pace - 1 + failurePenalty*e.FailureRate()*float64(e.Slots()), true
}

func (s *Selector) place(e *tracker.Endpoint) place {
	if e.Region() == s.region {
		return local
	}
	return remote
}

// pick returns an engine for a model: one in the host's own region that has the model
// loaded or can load it fast, else such an engine in another region, else the first
// one in the own region.
func (s *Selector) pick(lists *[places]shortlist, m connector.Model, loadsQueued bool, now time.Time) *tracker.Endpoint {
	if e := lists[local].preferred(); e != nil {
		return e
	}
	nearest := lists[local].any.endpoint
	if e := lists[remote].preferred(); e != nil && (nearest == nil || loadsQueued || s.allowRemote(m, now)) {
		return e
	}
	if nearest != nil {
		return nearest
	}
	return lists[remote].any.endpoint
}

// allowRemote counts a call for a model that is about to go to another region, and
// reports whether the limit on such calls permits it.
func (s *Selector) allowRemote(m connector.Model, now time.Time) bool {
	calls := s.remoteCalls.Load()
	if now.Sub(calls.since) > remoteWindow {
		next := &remoteCalls{since: now}
		if s.remoteCalls.CompareAndSwap(calls, next) {
			calls = next
		}
	}
	n, ok := calls.byModel.Load(m)
	if !ok {
		n, _ = calls.byModel.LoadOrStore(m, &atomic.Int32{})
	}
	return n.(*atomic.Int32).Add(1) <= maxRemoteCalls
}

// modelSeed returns a hash of a model's name.
func modelSeed(m connector.Model) uint64 {
	return xxhash.Sum64String(m.Base()) ^ mix(xxhash.Sum64String(m.Adapter()))
}

// mix is the finaliser of SplitMix64. It makes the orders of the engines for two
// models independent of each other.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
