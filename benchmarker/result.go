package benchmarker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/requester"
)

// Quantiles summarises a distribution in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result holds the measurements of a run, as a JSON document.
type Result struct {
	Seed         uint64         `json:"seed"`
	DurationS    float64        `json:"duration_s"`
	Requests     int            `json:"requests"`
	Completed    int            `json:"completed"`
	NotRun       int            `json:"not_run"`
	Unknown      int            `json:"unknown"`
	Resumed      int            `json:"resumed"`
	Tokens       int            `json:"tokens"`
	WrongAnswers int            `json:"wrong_answers"`
	Problems     map[string]int `json:"problems"`
	FirstTokenMS Quantiles      `json:"first_token_ms"`
	TokenGapMS   Quantiles      `json:"token_gap_ms"`
	CallMS       Quantiles      `json:"call_ms"`
}

// ParseResult decodes a result. Unknown fields are errors.
func ParseResult(data []byte) (*Result, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var r Result
	if err := dec.Decode(&r); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	if err := checkEnd(dec); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return &r, nil
}

// The histograms cover 10 µs to 10 minutes with three significant digits.
const (
	lowestMicros  = 10
	highestMicros = 600_000_000
	digits        = 3
)

// Distribution collects durations. It is safe for concurrent use.
type Distribution struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewDistribution returns an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{histogram: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// Record adds a duration.
func (d *Distribution) Record(v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record(d.histogram, v)
}

// Quantiles summarises the distribution.
func (d *Distribution) Quantiles() Quantiles {
	d.mu.Lock()
	defer d.mu.Unlock()
	return quantiles(d.histogram)
}

// collector collects the results of concurrent requests.
type collector struct {
	timeout    time.Duration
	mu         sync.Mutex
	result     Result
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	call       *hdrhistogram.Histogram
	postings   []Posting
}

// Posting holds the outcomes that a caller received for one non-idempotent
// call.
type Posting struct {
	caller   string
	key      string
	outcomes []classifier.Outcome
}

// Caller returns the name of the caller.
func (p Posting) Caller() string { return p.caller }

// Key returns the idempotency key.
func (p Posting) Key() string { return p.key }

// Outcomes returns the outcome of every attempt in order.
func (p Posting) Outcomes() []classifier.Outcome { return p.outcomes }

// LastOutcome returns the outcome of the last attempt.
func (p Posting) LastOutcome() classifier.Outcome { return p.outcomes[len(p.outcomes)-1] }

func newCollector(seed uint64, timeout time.Duration) *collector {
	return &collector{
		timeout:    timeout,
		result:     Result{Seed: seed, Problems: make(map[string]int)},
		firstToken: hdrhistogram.New(lowestMicros, highestMicros, digits),
		tokenGap:   hdrhistogram.New(lowestMicros, highestMicros, digits),
		call:       hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (c *collector) count(o classifier.Outcome, p *requester.Problem) {
	c.result.Requests++
	switch o.(type) {
	case classifier.Done:
		c.result.Completed++
	case classifier.NotRun:
		c.result.NotRun++
	default:
		c.result.Unknown++
	}
	if p != nil {
		c.result.Problems[p.Kind()]++
	}
}

// addGeneration records a generation. The time to its first token counts from
// the time at which the request was due.
func (c *collector) addGeneration(g *requester.GenerationResult, due time.Time, wrong bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(g.Outcome(), g.Problem())
	c.result.Tokens += len(g.Tokens())
	if g.Resumes() > 0 {
		c.result.Resumed++
	}
	if wrong {
		c.result.WrongAnswers++
	}
	if len(g.Tokens()) > 0 {
		record(c.firstToken, g.Timing().FirstToken().Sub(due))
	} else {
		record(c.firstToken, c.failureTime(g.Timing(), due))
	}
	for _, gap := range g.Timing().Gaps() {
		record(c.tokenGap, gap)
	}
}

func (c *collector) addReply(r *requester.Reply, due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(r.Outcome(), r.Problem())
	if _, done := r.Outcome().(classifier.Done); done {
		record(c.call, r.Timing().Ended().Sub(due))
	} else {
		record(c.call, c.failureTime(r.Timing(), due))
	}
}

// failureTime returns the latency of a request without an answer. It is at
// least the timeout, so that a system cannot improve its latencies by failing
// slow requests.
func (c *collector) failureTime(t requester.Timing, due time.Time) time.Duration {
	return max(t.Ended().Sub(due), c.timeout)
}

func (c *collector) addPosting(p Posting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.postings = append(c.postings, p)
}

func (c *collector) summary(elapsed time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.DurationS = elapsed.Seconds()
	r.FirstTokenMS = quantiles(c.firstToken)
	r.TokenGapMS = quantiles(c.tokenGap)
	r.CallMS = quantiles(c.call)
	return &r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}
