package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is a failure that a fake simulates from Inject until Clear: Down, Slow,
// AnswerLost, Crossed, LoadFails, RestartCold, CrashOn or Lag.
type Fault interface{ fault() }

// Down makes a fake unreachable. Responses in transit are lost and running
// streams break.
type Down struct{}

// Slow delays each request, and each step of an engine.
type Slow struct{ by time.Duration }

// NewSlow returns a fault that adds a delay.
func NewSlow(by time.Duration) Slow { return Slow{by: by} }

// By returns the added delay.
func (f Slow) By() time.Duration { return f.by }

// chance determines which events a fault affects: the next count events, and
// after them each event with the probability share.
type chance struct {
	share float64
	count int
}

// Share returns the probability that an event is affected, from 0 to 1.
func (c chance) Share() float64 { return c.share }

// Count returns how many of the next events are affected.
func (c chance) Count() int { return c.count }

func (c *chance) hit(random *rand.Rand) bool {
	if c.count > 0 {
		c.count--
		return true
	}
	return c.share > 0 && random.Float64() < c.share
}

// AnswerLost lets writes, orders and calls take effect but drops the response.
type AnswerLost struct{ chance }

// NewAnswerLost returns a fault that drops the responses to the next count
// requests, and to later ones with the probability share.
func NewAnswerLost(count int, share float64) AnswerLost {
	return AnswerLost{chance{share: share, count: count}}
}

// Crossed sends a client the response to another request. An engine sends a
// token of another job before one of the stream's own tokens; a service repeats
// the reply to the previous operation in place of the reply. It has no effect
// while there is no other request.
type Crossed struct{ chance }

// NewCrossed returns a fault that affects the next count responses, and later
// ones with the probability share.
func NewCrossed(count int, share float64) Crossed {
	return Crossed{chance{share: share, count: count}}
}

// LoadFails makes loads from the weight store fail.
type LoadFails struct{ chance }

// NewLoadFails returns a fault that fails the next count loads, and later ones
// with the probability share.
func NewLoadFails(count int, share float64) LoadFails {
	return LoadFails{chance{share: share, count: count}}
}

// RestartCold restarts an engine at once. It comes back after the delay with a
// new instance id, empty slots and an empty cache.
type RestartCold struct{ delay time.Duration }

// NewRestartCold returns a restart that takes delay.
func NewRestartCold(delay time.Duration) RestartCold { return RestartCold{delay: delay} }

// Delay returns how long the engine is unavailable.
func (f RestartCold) Delay() time.Duration { return f.delay }

// CrashOn makes an engine crash at the first step of any job whose prompt
// contains the marker. It restarts cold after the delay.
type CrashOn struct {
	marker string
	delay  time.Duration
}

// NewCrashOn returns a fault that is triggered by marker.
func NewCrashOn(marker string, delay time.Duration) CrashOn {
	return CrashOn{marker: marker, delay: delay}
}

// Marker returns the text that triggers the crash.
func (f CrashOn) Marker() string { return f.marker }

// Delay returns how long the engine is unavailable.
func (f CrashOn) Delay() time.Duration { return f.delay }

// Lag sets the age of the reports of an engine or of the host list.
type Lag struct{ by time.Duration }

// NewLag returns a fault that replaces the fake's lag.
func NewLag(by time.Duration) Lag { return Lag{by: by} }

// By returns the lag.
func (f Lag) By() time.Duration { return f.by }

func (Down) fault()        {}
func (Slow) fault()        {}
func (AnswerLost) fault()  {}
func (Crossed) fault()     {}
func (LoadFails) fault()   {}
func (RestartCold) fault() {}
func (CrashOn) fault()     {}
func (Lag) fault()         {}

// UnsupportedFaultError reports a fault that a fake cannot simulate.
type UnsupportedFaultError struct {
	fake  string
	fault Fault
}

// Fake returns the kind of the fake.
func (e *UnsupportedFaultError) Fake() string { return e.fake }

// Fault returns the fault.
func (e *UnsupportedFaultError) Fault() Fault { return e.fault }

func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("%s does not support the fault %T", e.fake, e.fault)
}

// FaultInjector is a fake that simulates faults.
type FaultInjector interface {
	// Inject adds a fault; a second fault of the same type replaces the first.
	// CrashOn faults with different markers are active together.
	Inject(f Fault) error
	// Clear ends all faults.
	Clear()
}
