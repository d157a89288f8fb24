package demonstrator

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/emulator"
)

// Plan holds the parameters of a demo.
type Plan struct {
	deployment string
	duration   time.Duration
	seed       uint64
	rate       float64
}

// Limits of a demo.
const (
	minDuration = time.Second
	maxDuration = time.Hour
	maxRate     = 200 // requests per second; about the capacity of the fakes of both deployments
)

// NewPlan returns a validated plan. Duration is a text such as "20s"; rate is
// in requests per second.
func NewPlan(deployment, duration string, seed uint64, rate float64) (Plan, error) {
	if deployment != emulator.Clearing && deployment != emulator.Tender {
		return Plan{}, fmt.Errorf("--deployment is %q; allowed is %q or %q", deployment, emulator.Clearing, emulator.Tender)
	}
	d, err := time.ParseDuration(duration)
	if err != nil || d < minDuration || d > maxDuration {
		return Plan{}, fmt.Errorf("--for is %q; allowed is a duration from %v to %v, such as \"20s\"", duration, minDuration, maxDuration)
	}
	if !(rate > 0 && rate <= maxRate) { // also rejects NaN
		return Plan{}, fmt.Errorf("--rate is %v; allowed is above 0 and up to %d", rate, maxRate)
	}
	return Plan{deployment: deployment, duration: d, seed: seed, rate: rate}, nil
}
