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

// request is one request of a trace.
type request struct {
	at      time.Duration // of arrival, from the start of the trace
	adapter int
	region  int // of the caller
	tokens  int
	session int
}

// deployment describes the engines and the load of one of the two customers at their
// current size.
type deployment struct {
	name       string
	regions    []string
	engines    int
	storeRate  float64
	callerTime time.Duration // one way

	// A session is a series of requests by one caller for one adapter.
	sessionRate        float64       // per second
	requestsPerSession float64       // mean number of requests
	pause              time.Duration // mean time between the requests of a session
	tokens             int           // mean
	deadline           time.Duration

	loadStall, batchEfficiency float64 // weights of the placement
}

const (
	slots = 4
	batch = 8
	// loadTime is the time of one load while at most 8 are in flight.
	loadTime = 250 * time.Millisecond
	// zipfExponent gives 42% of the sessions to the 20 most popular of 3,000
	// adapters.
	zipfExponent = 1.0
	// homeShare is the share of sessions that come from the adapter's own region.
	homeShare = 0.8
)

// deployments returns the two customers' deployments. Their session rates follow
// from the weight store's rate. A policy that ignores where adapters are loaded
// needs one load for nearly every engine that a session's requests reach, about 8
// per session here. The session rates keep even these loads below the store's rate.
// Above it, the load queues would grow without limit, the load stall of every such
// policy would equal the deadline, and the comparison would measure the deadline.
// At clearing, clerks scan batches of cheques of one bank; at tender, members send
// few small requests.
func deployments() []deployment {
	return []deployment{
		{
			name: "clearing", regions: []string{"lj", "mb", "kp"}, engines: 9, storeRate: 2, callerTime: 3 * time.Millisecond,
			sessionRate: 0.2, requestsPerSession: 12, pause: time.Second, tokens: 50, deadline: 30 * time.Second,
			loadStall: 3, batchEfficiency: 1,
		},
		{
			name: "tender", regions: []string{"superior", "erie", "ontario"}, engines: 12, storeRate: 3, callerTime: time.Millisecond,
			sessionRate: 0.35, requestsPerSession: 8, pause: 1500 * time.Millisecond, tokens: 60, deadline: 30 * time.Second,
			loadStall: 1, batchEfficiency: 3,
		},
	}
}

// newTrace generates the requests of a trace in order of arrival. At half of its
// length the adapters' popularity shifts: the popularity ranks are drawn anew, as at
// the end of a day. Each of two flash crowds requests one rarely used adapter.
func newTrace(d deployment, seed uint64, length time.Duration) []request {
	r := rand.New(rand.NewPCG(seed, uint64(len(d.name))))
	firstRanks, secondRanks := r.Perm(adapters), r.Perm(adapters)
	zipf := newZipf(adapters, zipfExponent)
	var trace []request
	session := 0
	addSession := func(at time.Duration, adapter, requests int) {
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
		ranks := firstRanks
		if at > length/2 {
			ranks = secondRanks
		}
		addSession(at, ranks[zipf.draw(r)], geometric(r, d.requestsPerSession))
	}
	for _, start := range []time.Duration{length * 3 / 10, length * 3 / 4} {
		adapter := firstRanks[adapters/2+r.IntN(adapters/2)]
		for at := start; at < start+flashTime; at += exponential(r, flashPause) {
			addSession(at, adapter, 1)
		}
	}
	slices.SortFunc(trace, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	return trace
}

// A flash crowd sends 10 requests per second for one adapter during 20 s, more than
// one engine's batch can hold.
const (
	flashTime  = 20 * time.Second
	flashPause = 100 * time.Millisecond
)

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// geometric draws from the geometric distribution on 1, 2, ... with the given mean.
func geometric(r *rand.Rand, mean float64) int {
	return 1 + int(math.Log(1-r.Float64())/math.Log(1-1/mean))
}

// zipf holds the cumulative weights of a Zipf distribution.
type zipf []float64

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

// beladyLoads returns the lowest number of loads that serve a trace in order of
// arrival. It pools the slots of all engines into one cache that evicts the adapter
// whose next request is furthest in the future (Belady's algorithm). The cache keeps
// one copy of each adapter, pins none, and its loads take no time. A policy that
// lets requests wait could need fewer loads by serving them out of order.
func beladyLoads(trace []request, slots int) int {
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
	cached := make(map[int]int) // index of the next request by adapter
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
	victim, latest := -1, -1
	for a, n := range cached {
		if n > latest {
			victim, latest = a, n
		}
	}
	return victim
}
