package assembler

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/logger"
)

// speedMetrics show what this host assumes of the engines that it owns. Engines come
// and go, so that the slowest and the median of them stand for all.
type speedMetrics struct {
	sure, unsure            tally.Gauge
	slowPrompt, usualPrompt tally.Gauge // tokens per second
	slowOutput, usualOutput tally.Gauge // tokens per second
	usualSpread, longestGap tally.Gauge
}

func newSpeedMetrics(scope tally.Scope) *speedMetrics {
	gauge := func(name, label, value string) tally.Gauge {
		return scope.Tagged(map[string]string{label: value}).Gauge(name)
	}
	return &speedMetrics{
		sure: gauge("engines", "speed", "known"), unsure: gauge("engines", "speed", "assumed"),
		slowPrompt:  gauge("engine_prompt_tokens_per_second", "engine", "slowest"),
		usualPrompt: gauge("engine_prompt_tokens_per_second", "engine", "median"),
		slowOutput:  gauge("engine_output_tokens_per_second", "engine", "slowest"),
		usualOutput: gauge("engine_output_tokens_per_second", "engine", "median"),
		usualSpread: gauge("engine_speed_spread", "engine", "median"),
		longestGap:  gauge("engine_decode_pause_share", "engine", "longest"),
	}
}

// update sets the metrics from the estimates of the engines that this host owns.
func (m *speedMetrics) update(owned []estimator.Estimate) {
	sure := 0
	var prompt, output, spread, pause []float64
	for _, e := range owned {
		if e.Sure() {
			sure++
		}
		prompt = append(prompt, tokensPerSecond(e.PromptToken()))
		output = append(output, tokensPerSecond(e.OutputToken()))
		spread = append(spread, e.Spread())
		pause = append(pause, e.DecodePause(time.Second).Seconds())
	}
	m.sure.Update(float64(sure))
	m.unsure.Update(float64(len(owned) - sure))
	if len(owned) == 0 {
		return
	}
	for _, values := range [][]float64{prompt, output, spread, pause} {
		slices.Sort(values)
	}
	middle := len(owned) / 2
	m.slowPrompt.Update(prompt[0])
	m.usualPrompt.Update(prompt[middle])
	m.slowOutput.Update(output[0])
	m.usualOutput.Update(output[middle])
	m.usualSpread.Update(spread[middle])
	m.longestGap.Update(pause[len(pause)-1])
}

func tokensPerSecond(perToken time.Duration) float64 {
	if perToken <= 0 {
		return 0
	}
	return float64(time.Second) / float64(perToken)
}

// updateSpeeds updates the metrics of the owned engines, and forgets engines that are
// gone.
func (h *Host) updateSpeeds() {
	h.speeds.Prune(time.Now())
	var owned []estimator.Estimate
	for id, e := range h.fleet.Current().All() {
		if _, ok := h.members.Owns(id); ok {
			owned = append(owned, h.speeds.Estimate(id, e.Service()))
		}
	}
	h.speedMetrics.update(owned)
}

// logSpeed logs a change in the speed of an engine that affects decisions.
func (h *Host) logSpeed(c estimator.Change) {
	h.log.Info("engine-speed-changed", logger.With(logger.KeyEndpoint, c.Engine()),
		logger.With(logger.KeyRate, int64(tokensPerSecond(c.To().PromptToken()))),
		logger.With(logger.KeyRateBefore, int64(tokensPerSecond(c.From().PromptToken()))),
		logger.With(logger.KeyCount, c.To().Samples()))
}
