package trial_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const adapters = 3000

// request is one arrival of a trace.
type request struct {
	at      time.Duration
	adapter int
	region  int // of the caller
	tokens  int
	session int
}

// deployment is one of the two customers at today's size.
type deployment struct {
	name       string
	regions    []string
	engines    int
	storeRate  float64
	callerTime time.Duration // one way

	// The load. A session is a series of requests by one caller for one adapter.
	sessionRate float64       // per second
	perSession  float64       // mean number of requests
	pause       time.Duration // mean time between the requests of a session
	tokens      int           // mean
	deadline    time.Duration

	loadStall, batchEfficiency float64 // weights
}

const (
	slots = 4
	batch = 8
	// loadTime is how long one load takes while at most 8 are in flight.
	loadTime = 250 * time.Millisecond
	// zipfExponent makes the 20 most popular of 3,000 adapters take 42% of the
	// sessions.
	zipfExponent = 1.0
	// homeShare is the share of sessions that come from the adapter's own region.
	homeShare = 0.8
)

// The offered load follows from the store. A policy that ignores where adapters
// are loaded needs one load for nearly every engine that a session's requests
// reach, about 8 per session here. The session rates keep even that below the
// store's rate. Above it, the queues for loads grow without limit, every such
// policy's stall is the deadline, and the comparison would measure the deadline.
// Clerks scan batches of cheques of one bank; members send few small requests.
func deployments() []deployment {
	return []deployment{
		{
			name: "clearing", regions: []string{"lj", "mb", "kp"}, engines: 9, storeRate: 2, callerTime: 3 * time.Millisecond,
			sessionRate: 0.2, perSession: 12, pause: time.Second, tokens: 50, deadline: 30 * time.Second,
			loadStall: 3, batchEfficiency: 1,
		},
		{
			name: "tender", regions: []string{"superior", "erie", "ontario"}, engines: 12, storeRate: 3, callerTime: time.Millisecond,
			sessionRate: 0.35, perSession: 8, pause: 1500 * time.Millisecond, tokens: 60, deadline: 30 * time.Second,
			loadStall: 1, batchEfficiency: 3,
		},
	}
}

// newTrace draws the arrivals of a trace. At half of its length comes dusk: the
// popular adapters give way to ones that were quiet. Two flash crowds flood an
// adapter that is rarely used.
func newTrace(d deployment, seed uint64, length time.Duration) []request {
	r := rand.New(rand.NewPCG(seed, uint64(len(d.name))))
	noon, dusk := r.Perm(adapters), r.Perm(adapters)
	zipf := newZipf(adapters, zipfExponent)
	var trace []request
	session := 0
	add := func(at time.Duration, adapter, requests int) {
		region := adapter % len(d.regions)
		if r.Float64() > homeShare {
			region = r.IntN(len(d.regions))
		}
		for range requests {
			if at < length {
				tokens := d.tokens/2 + r.IntN(d.tokens)
				trace = append(trace, request{at: at, adapter: adapter, region: region, tokens: tokens, session: session})
			}
			at += exponential(r, d.pause)
		}
		session++
	}
	mean := time.Duration(float64(time.Second) / d.sessionRate)
	for at := exponential(r, mean); at < length; at += exponential(r, mean) {
		ranks := noon
		if at > length/2 {
			ranks = dusk
		}
		add(at, ranks[zipf.draw(r)], geometric(r, d.perSession))
	}
	for _, start := range []time.Duration{length * 3 / 10, length * 3 / 4} {
		adapter := noon[adapters/2+r.IntN(adapters/2)]
		for at := start; at < start+flashTime; at += exponential(r, flashPause) {
			add(at, adapter, 1)
		}
	}
	slices.SortFunc(trace, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return trace
}

// A flash crowd is 20 s of 10 requests per second for one adapter, more than
// one engine's batch can take.
const (
	flashTime  = 20 * time.Second
	flashPause = 100 * time.Millisecond
)

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// geometric draws a number from 1 with the given mean.
func geometric(r *rand.Rand, mean float64) int {
	return 1 + int(math.Log(1-r.Float64())/math.Log(1-1/mean))
}

type zipf []float64 // cumulative

func newZipf(n int, s float64) zipf {
	z := make(zipf, n)
	sum := 0.0
	for i := range z {
		sum += 1 / math.Pow(float64(i+1), s)
		z[i] = sum
	}
	return z
}

func (z zipf) draw(r *rand.Rand) int {
	return sort.SearchFloat64s(z, r.Float64()*z[len(z)-1])
}

// bound returns the fewest loads that serve a trace: each request finds its
// adapter loaded, in the order of arrival, in the slots of all engines pooled
// into one cache that evicts the adapter whose next request is furthest away
// (Belady). It needs no second copies, pins nothing, and loads take no time. A
// policy that lets requests wait could do with fewer loads by serving them out
// of order.
func bound(trace []request, slots int) int {
	next := make([]int, len(trace))
	last := make(map[int]int)
	for i := len(trace) - 1; i >= 0; i-- {
		n, ok := last[trace[i].adapter]
		if !ok {
			n = len(trace) + i
		}
		next[i] = n
		last[trace[i].adapter] = i
	}
	cached := make(map[int]int) // adapter to its next request
	loads := 0
	for i, r := range trace {
		if _, ok := cached[r.adapter]; !ok {
			loads++
			if len(cached) == slots {
				delete(cached, furthest(cached))
			}
		}
		cached[r.adapter] = next[i]
	}
	return loads
}

func furthest(cached map[int]int) int {
	victim, far := -1, -1
	for a, n := range cached {
		if n > far {
			victim, far = a, n
		}
	}
	return victim
}
