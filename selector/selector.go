package selector

import (
	"cmp"
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
}

func (c Choice) Endpoint() *tracker.Endpoint { return c.endpoint }

// MinVersion returns the newest named version of the call's model, which is
// the oldest one that may serve the call, or 0 if none is known.
func (c Choice) MinVersion() int64 { return c.minVersion }

// ModelLoaded reports whether the endpoint has the call's model loaded, as far as
// this host knows. It is always true for services without engines.
func (c Choice) ModelLoaded() bool { return c.modelLoaded }

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
	usable := available(snapshot.Usable(r.Service().Name()), avoid, now)
	if len(usable) == 0 {
		return Choice{}, classifier.NewUnavailable("no endpoint of the service is left", classifier.RetryAfter(retryNoEndpoint))
	}
	if r.Service().EngineSpec() == nil || r.Model().Base() == "" {
		return s.choosePlain(usable, now)
	}
	return s.chooseEngine(snapshot, r.Model(), usable, loadsQueued, now)
}

// Usable reports whether an endpoint that was chosen earlier may still receive new
// calls.
func (s *Selector) Usable(e *tracker.Endpoint) bool {
	return s.endpoints.Current().Endpoint(e.ID()) == e
}

// available returns the endpoints that are neither avoided nor ejected. If all of
// them are ejected, it returns the ejected ones, because a service without any
// endpoint would be worse.
func available(list []*tracker.Endpoint, avoid func(*tracker.Endpoint) bool, now time.Time) []*tracker.Endpoint {
	var healthy, ejected []*tracker.Endpoint
	for _, e := range list {
		switch {
		case avoid(e):
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
		fill := e.EstimatedCalls(now) / float64(e.Slots())
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

func overloaded(n int) error {
	return classifier.NewOverloaded(fmt.Sprintf("all %d endpoints are full", n), classifier.RetryAfter(retryWhenFull))
}

// candidate is an engine with the properties that decide whether it is chosen for
// one model. Candidates are ordered by rendezvous hashing.
type candidate struct {
	endpoint *tracker.Endpoint
	hash     uint64
	busy     float64
	remote   bool
	loaded   bool
	cached   bool
}

func (s *Selector) chooseEngine(snapshot *tracker.Snapshot, m connector.Model, list []*tracker.Endpoint, loadsQueued bool, now time.Time) (Choice, error) {
	minVersion := snapshot.NamedVersion(m)
	seed := xxhash.Sum64String(m.Base() + "/" + m.Adapter())
	candidates := make([]candidate, 0, len(list))
	withBase := 0
	for _, e := range list {
		if !e.HoldsBase(m.Base()) {
			continue
		}
		withBase++
		busy := e.EstimatedCalls(now)
		if busy >= maxCallsPerSlot*float64(e.Slots()) || e.Waiting(now) > maxEngineQueue || e.Full(now) {
			continue
		}
		candidates = append(candidates, candidate{
			endpoint: e, hash: mix(seed ^ e.Hash()), busy: busy + failurePenalty*e.FailureRate()*float64(e.Slots()),
			remote: e.Region() != s.region, loaded: e.Holds(m, minVersion), cached: e.RecentlyHeld(m),
		})
	}
	if len(candidates) == 0 {
		if withBase == 0 {
			return Choice{}, classifier.NewUnavailable("no engine holds the base model", classifier.RetryAfter(retryNoBase))
		}
		return Choice{}, overloaded(withBase)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	best := s.pick(candidates, m, loadsQueued, now)
	return Choice{endpoint: best.endpoint, minVersion: minVersion, modelLoaded: best.loaded}, nil
}

// pick returns an engine for a model from candidates in rendezvous order: one in
// the host's own region that has the model loaded or can load it fast, else such
// an engine in another region, else the first one in the own region. It skips
// engines that are much busier than the least busy one.
func (s *Selector) pick(candidates []candidate, m connector.Model, loadsQueued bool, now time.Time) candidate {
	local, remote := leastBusy(candidates, false), leastBusy(candidates, true)
	if c, ok := preferLoaded(local, candidate.loadsFast); ok {
		return c
	}
	if c, ok := preferLoaded(remote, candidate.loadsFast); ok && (len(local) == 0 || loadsQueued || s.allowRemote(m, now)) {
		return c
	}
	if len(local) > 0 {
		return local[0]
	}
	return remote[0]
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

// leastBusy returns the engines in the host's own region, or those in other
// regions, that exceed the load of the least busy one by at most maxImbalance.
func leastBusy(candidates []candidate, remote bool) []candidate {
	least := math.Inf(1)
	for _, c := range candidates {
		if c.remote == remote {
			least = min(least, c.busy)
		}
	}
	var list []candidate
	for _, c := range candidates {
		if c.remote == remote && c.busy <= least+maxImbalance*float64(c.endpoint.Slots()) {
			list = append(list, c)
		}
	}
	return list
}

func (c candidate) isLoaded() bool { return c.loaded }

// loadsFast reports whether a call can be served without a load from the weight
// store.
func (c candidate) loadsFast() bool { return c.loaded || c.cached }

// preferLoaded returns the first engine that has the model loaded, else the first
// acceptable one.
func preferLoaded(list []candidate, acceptable func(candidate) bool) (candidate, bool) {
	for _, accept := range []func(candidate) bool{candidate.isLoaded, acceptable} {
		if i := slices.IndexFunc(list, accept); i >= 0 {
			return list[i], true
		}
	}
	return candidate{}, false
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
