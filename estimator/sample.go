package estimator

import "time"

// Sample is an observation of one call at an engine: a Prefill, a Generation, an
// Occupancy or a Slowdown.
type Sample interface{ sample() }

// Prefill is the processing of a prompt, up to the first piece of the answer.
type Prefill struct {
	tokens int
	took   time.Duration
}

// NewPrefill returns the sample of a prompt of the given length, whose answer began
// after took. Network round trips are not part of took.
func NewPrefill(tokens int, took time.Duration) Prefill { return Prefill{tokens: tokens, took: took} }

// Tokens returns the length of the prompt.
func (p Prefill) Tokens() int { return p.tokens }

// Took returns the time until the first piece of the answer.
func (p Prefill) Took() time.Duration { return p.took }

// Generation is a complete output of an engine.
type Generation struct {
	expectedTokens int
	took           time.Duration
	paused         bool
}

// NewGeneration returns the sample of an output of expectedTokens, as estimated when
// the call arrived, that took the given time from its first piece to its last one.
// Paused is whether a pause between two events was about as long as is acceptable, or
// longer.
func NewGeneration(expectedTokens int, took time.Duration, paused bool) Generation {
	return Generation{expectedTokens: expectedTokens, took: took, paused: paused}
}

// ExpectedTokens returns the estimated length of the output.
func (g Generation) ExpectedTokens() int { return g.expectedTokens }

// Took returns the time from the first piece of the output to its last one.
func (g Generation) Took() time.Duration { return g.took }

// Paused reports whether a pause between two events was too long or nearly so.
func (g Generation) Paused() bool { return g.paused }

// Occupancy is the number of jobs that an engine runs or has waiting, as it reported
// with an answer.
type Occupancy struct{ jobs int }

// NewOccupancy returns the sample of an engine with a number of jobs.
func NewOccupancy(jobs int) Occupancy { return Occupancy{jobs: jobs} }

// Jobs returns the number of jobs.
func (o Occupancy) Jobs() int { return o.jobs }

// Slowdown is how much longer than usual work takes on the machine of an engine, as the
// engine reported with an answer. Other work of the machine causes it, and it passes within
// a second.
type Slowdown struct{ factor float64 }

// NewSlowdown returns the sample of an engine whose work takes factor times as long as usual.
func NewSlowdown(factor float64) Slowdown { return Slowdown{factor: factor} }

// Factor returns the duration of work as a multiple of the usual one.
func (s Slowdown) Factor() float64 { return s.factor }

// notableSlowdown is the factor from which on prompts should wait. Below it, a pause that is
// planned to be acceptable stays so.
const notableSlowdown = 1.25

// Notable reports whether prompts should wait until the slowdown is over.
func (s Slowdown) Notable() bool { return s.factor >= notableSlowdown }

func (Slowdown) sample()   {}
func (Prefill) sample()    {}
func (Generation) sample() {}
func (Occupancy) sample()  {}

// maxSlowdown is the highest factor that is taken for a report.
const maxSlowdown = 1000

// valid reports whether a sample can be used. Hosts receive samples from others.
func valid(s Sample) bool {
	switch s := s.(type) {
	case Prefill:
		return s.tokens > 0 && s.took > 0
	case Generation:
		return s.expectedTokens > 0 && s.took > 0
	case Occupancy:
		return s.jobs >= 0
	case Slowdown:
		return s.factor > 0 && s.factor <= maxSlowdown
	default:
		return false
	}
}
