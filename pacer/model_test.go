package pacer_test

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflyford/dragonflyford/pacer"
)

const step = 4 * time.Millisecond

// report is what the modelled endpoint writes into its answers.
type report int

const (
	fullReport report = iota // running, waiting, slots, pace
	loadOnly                 // running, waiting
	noReport
)

// endpoint models an endpoint that runs and queues calls.
type endpoint struct {
	slots, queue int
	work         time.Duration // usual duration of a call
	pace         float64
	down         bool
	lenient      bool // accepts calls beyond its queue
	report       report
	running      []*call
	waiting      []*call
}

type call struct {
	host   int
	sentAt time.Time
	left   time.Duration
}

// site models hosts that share one endpoint. Calls arrive at each host at the same rate and
// wait there for room, up to a bound.
type site struct {
	rng      *rand.Rand
	now      time.Time
	endpoint *endpoint
	pacers   []*pacer.Pacer
	own      []int
	pending  []int
	rate     float64 // calls a second of all hosts together
	skew     float64 // share of the calls that come to the first host
	// of the last interval
	done, refused, sent, peak int
}

func newSite(seed uint64, hosts int, e *endpoint, rate float64) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), endpoint: e, rate: rate}
	for range hosts {
		s.pacers, s.own, s.pending = append(s.pacers, nil), append(s.own, 0), append(s.pending, 0)
	}
	s.restart()
	return s
}

// restart replaces the endpoint's process: its calls are lost.
func (s *site) restart() {
	if s.pacers[0] != nil {
		s.lose()
	}
	for i := range s.pacers {
		s.pacers[i] = pacer.New(s.now, s.endpoint.slots, s.rng.Float64())
	}
}

// fail makes the endpoint unreachable for a time.
func (s *site) fail(d time.Duration) {
	s.lose()
	s.endpoint.down = true
	s.run(d)
	s.endpoint.down = false
}

func (s *site) lose() {
	for _, c := range append(s.endpoint.running, s.endpoint.waiting...) {
		s.own[c.host]--
		s.pacers[c.host].Broken(s.moment())
	}
	s.endpoint.running, s.endpoint.waiting = nil, nil
}

func (s *site) moment() pacer.Moment { return pacer.At(s.now, len(s.pacers), s.endpoint.work) }

func (s *site) load() pacer.Load {
	e := s.endpoint
	l := pacer.NewLoad(len(e.running), len(e.waiting))
	switch e.report {
	case fullReport:
		noise := 0.7 + 0.6*s.rng.Float64()
		return l.WithSlots(e.slots).WithPace(e.pace * noise)
	case loadOnly:
		return l
	default:
		return pacer.Load{}
	}
}

// run advances the site and counts what happens in the interval.
func (s *site) run(d time.Duration) {
	s.done, s.refused, s.sent, s.peak = 0, 0, 0, 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.arrive()
		for i := range s.pacers {
			host := (i + int(s.now.UnixMilli())) % len(s.pacers)
			for s.pending[host] > 0 && s.pacers[host].Take(s.moment(), s.own[host]) {
				s.pending[host]--
				s.send(host)
			}
		}
		s.serve()
	}
}

func (s *site) arrive() {
	n := s.rate * step.Seconds()
	for ; s.rng.Float64() < n; n-- {
		host := s.rng.IntN(len(s.pacers))
		if s.rng.Float64() < s.skew {
			host = 0
		}
		if s.pending[host] < 20 {
			s.pending[host]++
		}
	}
}

func (s *site) send(host int) {
	e := s.endpoint
	s.sent++
	if e.down {
		s.pacers[host].Broken(s.moment())
		return
	}
	s.peak = max(s.peak, len(e.running)+len(e.waiting)+1)
	if !e.lenient && len(e.waiting) >= e.queue {
		s.refused++
		s.pacers[host].Refused(s.moment(), s.now, s.load())
		return
	}
	s.own[host]++
	varied := time.Duration((0.5 + s.rng.Float64()) * float64(e.work))
	e.waiting = append(e.waiting, &call{host: host, sentAt: s.now, left: varied})
}

func (s *site) serve() {
	e := s.endpoint
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	left := e.running[:0]
	var ended []*call
	for _, c := range e.running {
		if c.left -= time.Duration(float64(step) / e.pace); c.left <= 0 {
			ended = append(ended, c)
		} else {
			left = append(left, c)
		}
	}
	e.running = left
	for _, c := range ended {
		s.own[c.host]--
		s.done++
		s.pacers[c.host].Answered(s.moment(), c.sentAt, s.load())
		s.pacers[c.host].Completed(s.moment(), s.now.Sub(c.sentAt))
	}
}

// capacity returns the number of calls that the endpoint can complete in an interval.
func (e *endpoint) capacity(d time.Duration) float64 {
	return float64(e.slots) * d.Seconds() / e.work.Seconds() / e.pace
}
