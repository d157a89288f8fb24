package reporter

import (
	"cmp"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// maxLevels bounds the levels of one bundle that a node counts. The memory of a
// node and the size of an object grow with it.
const maxLevels = 16

// Level is a service level as defined in the bundle that was in force when its
// events were counted.
type Level struct {
	name      string
	measure   string
	threshold time.Duration
	objective float64
}

func newLevel(l bundler.ServiceLevel) Level {
	return Level{name: l.Name(), measure: l.Measure(), threshold: l.Threshold(), objective: l.Objective()}
}

func newLevels(list []bundler.ServiceLevel) []Level {
	list = list[:min(len(list), maxLevels)]
	levels := make([]Level, len(list))
	for i, l := range list {
		levels[i] = newLevel(l)
	}
	return levels
}

// Name returns the name of the service level.
func (l Level) Name() string { return l.name }

// Measure returns one of bundler's Measure constants.
func (l Level) Measure() string { return l.measure }

// Threshold returns the largest value that counts as good, or zero for the
// measure success.
func (l Level) Threshold() time.Duration { return l.threshold }

// Objective returns the required share of good events.
func (l Level) Objective() float64 { return l.objective }

// compareLevels orders levels by name, and different definitions of the same name
// by their values.
func compareLevels(a, b Level) int {
	return cmp.Or(
		strings.Compare(a.name, b.name),
		strings.Compare(a.measure, b.measure),
		cmp.Compare(a.threshold, b.threshold),
		cmp.Compare(a.objective, b.objective),
	)
}
