package pacer

import (
	"math"
	"time"
)

const (
	// paceTime is the time constant of the average of reported paces, which change many
	// times a second.
	paceTime = time.Second
	// paceMemory and maxPaceMemory bound the time constant with which the last average
	// returns to the usual pace while no answer comes. An endpoint that was slow gets calls
	// again, which show how fast it is now. The time constant is memoryIntervals times the
	// interval between answers: the average of a host that rarely calls an endpoint would
	// otherwise expire before each call.
	paceMemory      = 4 * time.Second
	maxPaceMemory   = 30 * time.Second
	memoryIntervals = 3
	// minPace and maxPace bound a reported pace, so that a malformed one has no lasting
	// effect.
	minPace = 0.1
	maxPace = 50.0
)

// average is an exponential moving average of samples that come at irregular times.
type average struct {
	value    float64
	at       time.Time     // of the latest sample; zero if there is none
	interval time.Duration // average time between samples
}

// intervalWeight is the weight of one interval in the average time between samples.
const intervalWeight = 0.3

// add adds a sample. The weight of older samples falls with the time constant.
func (a *average) add(sample float64, now time.Time, constant time.Duration) {
	if a.at.IsZero() {
		a.value, a.at = sample, now
		return
	}
	elapsed := max(now.Sub(a.at), 0)
	weight := 1 - math.Exp(-float64(elapsed)/float64(constant))
	a.value += weight * (sample - a.value)
	a.interval += time.Duration(intervalWeight * float64(elapsed-a.interval))
	a.at = now
}

// speed is what the answers of an endpoint show of its speed.
type speed struct {
	pace average // duration of work as a multiple of the usual one
	// reported is whether the endpoint reports its pace itself.
	reported  bool
	usual     float64 // seconds that a call usually takes without waiting; 0 if not known
	recent    average // seconds that recent calls took without waiting
	steady    float64 // the same, over a number of calls at whatever rate they come
	occupancy average // seconds for which recent calls were in flight
	count     int     // durations that were recorded
}

const (
	// occupancyTime is the time constant of the average time for which calls are in flight.
	occupancyTime = time.Second
	// recentTime is the time constant of the average of recent durations.
	recentTime = time.Second
	// steadyWeight is the weight of one call in the average from which the usual duration
	// is learned. Calls differ, so that a single short one says little.
	steadyWeight = 0.2
	// warmUp is the number of calls of a new process whose durations are not compared with
	// the usual one: caches are cold.
	warmUp = 3
	// usualFall and usualRise are the weights with which a steady average that is below or
	// above the usual duration changes it. The usual duration is that of an endpoint
	// without load, which the lower averages show.
	usualFall = 0.2
	usualRise = 0.004
)

// addPace records a reported pace, 1 being the usual one.
func (s *speed) addPace(pace float64, now time.Time) {
	s.reported = true
	s.pace.add(min(max(pace, minPace), maxPace), now, paceTime)
}

// addDuration records the duration of a call that met the given number of waiting calls
// per slot.
func (s *speed) addDuration(took time.Duration, waiting float64, now time.Time) {
	s.count++
	s.occupancy.add(took.Seconds(), now, occupancyTime)
	work := took.Seconds() / (1 + waiting)
	if s.reported {
		work /= s.pace.value
	}
	if s.count <= warmUp {
		if s.usual == 0 || work < s.usual {
			s.usual, s.steady = work, work
		}
		return
	}
	s.recent.add(work, now, recentTime)
	s.steady += steadyWeight * (work - s.steady)
	weight := usualRise
	if s.steady < s.usual {
		weight = usualFall
	}
	s.usual += weight * (s.steady - s.usual)
	if !s.reported {
		s.pace.add(min(max(s.recent.value/s.usual, minPace), maxPace), now, paceTime)
	}
}

// current returns the pace at a time, if the latest one holds for a time.
func (s *speed) current(now time.Time, hold time.Duration) float64 {
	if s.pace.at.IsZero() {
		return 1
	}
	age := max(now.Sub(s.pace.at)-hold, 0)
	memory := min(max(memoryIntervals*s.pace.interval, paceMemory), maxPaceMemory)
	return 1 + (s.pace.value-1)*math.Exp(-float64(age)/float64(memory))
}
