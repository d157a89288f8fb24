package estimator

import (
	"slices"
	"time"
)

const (
	// window is the number of prefills that an estimate is based on.
	window = 64
	// recentWindow is the number of newest prefills that are compared with the whole
	// window, to follow an engine that has become slow.
	recentWindow = 16
	// change is the factor between both from which on only the newest are used. An
	// engine that has become fast shows in the fastest of the whole window.
	change = 2
	// minSamples is the number of prefills below which the time of a prompt token is
	// taken from the service.
	minSamples = 8
	// refitInterval is the number of new prefills after which the estimate is computed
	// again.
	refitInterval = 4
	// sampleLifetime is the age at which a sample is no longer used.
	sampleLifetime = 30 * time.Second
	// The time for generation after a prompt, as a share of the prompt's time, grows
	// with each stream that paused for too long, and falls with each other one, so that
	// about one stream in ten pauses for nearly too long on an engine with many prompts.
	pauseGrowth = 0.02
	pauseDecay  = 0.002
	maxPause    = 0.3
	// generationDecay is the factor by which each generation reduces the weight of the
	// earlier ones.
	generationDecay = 1 - 1.0/32
)

// timedPrefill is a prefill and when it was recorded.
type timedPrefill struct {
	Prefill
	at time.Time
}

// speed estimates one engine or one service. Its owner serialises the calls.
type speed struct {
	prefills []timedPrefill // oldest first, at most window
	sinceFit int
	took     float64   // decayed sum of the times of generations, in nanoseconds
	expected float64   // decayed sum of their expected tokens
	last     time.Time // of the last sample
	current  Estimate  // zero durations are unknown
}

// add records a sample and reports whether the estimate changed.
func (s *speed) add(sample Sample, now time.Time) bool {
	s.last = now
	switch sample := sample.(type) {
	case Prefill:
		if len(s.prefills) == window {
			s.prefills = slices.Delete(s.prefills, 0, 1)
		}
		s.prefills = append(s.prefills, timedPrefill{Prefill: sample, at: now})
		if s.sinceFit++; s.sinceFit < refitInterval && len(s.prefills) != minSamples {
			return false
		}
		s.sinceFit = 0
		s.fit(now)
	case Occupancy:
		s.current.jobs, s.current.jobsAt = sample.jobs, now
	case Slowdown:
		s.current.slowAt = time.Time{}
		if sample.Notable() {
			s.current.slowAt = now
		}
	case Generation:
		s.addGeneration(sample)
		if sample.paused {
			s.current.pause = min(s.current.pause+pauseGrowth, maxPause)
		} else {
			s.current.pause = max(s.current.pause-pauseDecay, 0)
		}
	}
	return true
}

// maxOutlier bounds the time of one generation, as a multiple of what was expected.
const maxOutlier = 4

// addGeneration updates the time of an output token. It is the ratio of two sums,
// because the mean of the ratios is too high where the expected lengths are far off.
func (s *speed) addGeneration(g Generation) {
	took, tokens := float64(g.took), float64(g.expectedTokens)
	if s.current.outputToken > 0 {
		took = min(took, maxOutlier*tokens*float64(s.current.outputToken))
	}
	s.took = s.took*generationDecay + took
	s.expected = s.expected*generationDecay + tokens
	s.current.outputToken = time.Duration(s.took / s.expected)
}

// fit computes the time of a prompt token.
func (s *speed) fit(now time.Time) {
	s.prefills = slices.DeleteFunc(s.prefills, func(p timedPrefill) bool { return now.Sub(p.at) > sampleLifetime })
	s.current.samples = len(s.prefills)
	if len(s.prefills) < minSamples {
		return
	}
	token, spread := perToken(s.prefills)
	if len(s.prefills) > recentWindow {
		recent, recentSpread := perToken(s.prefills[len(s.prefills)-recentWindow:])
		if recent > token*change {
			token, spread = recent, recentSpread
		}
	}
	s.current.promptToken, s.current.spread = time.Duration(token), spread
}

// fastShare is the quantile of the time per token that is used. Other work of the
// engine, the network and a short prompt make a call slower than its prompt alone; a
// prompt that the engine had cached in part makes it faster, which is rarer.
const fastShare = 0.1

// perToken returns the time of a prompt token in nanoseconds, and the interquartile
// range of the samples as a share of it.
func perToken(prefills []timedPrefill) (token, spread float64) {
	ratios := make([]float64, len(prefills))
	for i, p := range prefills {
		ratios[i] = float64(p.took) / float64(p.tokens)
	}
	slices.Sort(ratios)
	token = quantile(ratios, fastShare)
	return token, (quantile(ratios, 0.75) - quantile(ratios, 0.25)) / token
}

func quantile(sorted []float64, q float64) float64 { return sorted[int(q*float64(len(sorted)-1))] }
