package estimator

import "time"

// Estimate is what is known about the speed of an engine. It is immutable.
type Estimate struct {
	promptToken time.Duration // to process a prompt token
	outputToken time.Duration // to generate an output token, pauses for the prompts of other calls included
	pause       float64       // see DecodePause
	samples     int           // recent prefills of the engine itself
	spread      float64       // of the time of a prompt token; see Spread
	jobs        int           // latest report of the engine itself
	jobsAt      time.Time     // zero if there is none
	slowAt      time.Time     // latest report of a notable slowdown; zero if a later report denies it
}

// NewEstimate returns an estimate that is based on no sample.
func NewEstimate(promptToken, outputToken time.Duration) Estimate {
	return Estimate{promptToken: promptToken, outputToken: outputToken}
}

// PromptToken returns the time that the engine takes to process a prompt token.
func (e Estimate) PromptToken() time.Duration { return e.promptToken }

// OutputToken returns the time that the engine takes to generate an output token.
func (e Estimate) OutputToken() time.Duration { return e.outputToken }

// Samples returns the number of recent prompts of the engine itself that the estimate
// is based on.
func (e Estimate) Samples() int { return e.samples }

// Spread returns the interquartile range of the samples' time of a prompt token as a
// share of the estimate: the smaller it is, the surer is the estimate.
func (e Estimate) Spread() float64 { return e.spread }

// Jobs returns the number of jobs of the engine at its latest report, and when that
// arrived; the time is zero if there was none.
func (e Estimate) Jobs() (n int, at time.Time) { return e.jobs, e.jobsAt }

// slowHold is how long an engine counts as slow after it last reported so. Calls that it
// gets meanwhile would stall its streams for longer than usual, and without calls it reports
// nothing.
const slowHold = 250 * time.Millisecond

// SlowUntil returns the time at which the engine is expected to work at its usual speed again,
// or the zero time if it does so.
func (e Estimate) SlowUntil() time.Time {
	if e.slowAt.IsZero() {
		return time.Time{}
	}
	return e.slowAt.Add(slowHold)
}

// Sure reports whether the estimate is based on enough samples of the engine itself.
func (e Estimate) Sure() bool { return e.samples >= minSamples }

// PrefillTime returns the expected time to process a prompt.
func (e Estimate) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.promptToken
}

// GenerationTime returns the expected time to generate an output.
func (e Estimate) GenerationTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.outputToken
}

// DecodePause returns the time that must be left for the generation of outputs after
// a prompt, so that the pauses within streams stay acceptable. Engines differ in how
// they interleave both, so that the share is learned from the pauses that occur.
func (e Estimate) DecodePause(prefill time.Duration) time.Duration {
	return time.Duration(e.pause * float64(prefill))
}
