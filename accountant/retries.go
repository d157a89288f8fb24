package accountant

import "time"

// MaxWait limits the time after which the caller of a refused call is to try again. Callers
// that wait for longer give up.
const MaxWait = 8 * time.Second

// Retries spreads the retries of refused calls over time. The zero value is ready for use.
type Retries struct{ next time.Time }

// Next returns the wait of a refused call, which is at least earliest. The next refused call
// waits for longer by step. Once the waits reach MaxWait they begin at earliest again, so
// that retries do not gather at MaxWait.
func (r *Retries) Next(now time.Time, earliest, step time.Duration) time.Duration {
	if first := now.Add(earliest); r.next.Before(first) || r.next.Sub(now) > MaxWait {
		r.next = first
	}
	wait := min(r.next.Sub(now), MaxWait)
	r.next = r.next.Add(step)
	return max(wait, time.Millisecond)
}

// perSecond returns the time in which units become available at a rate, at most MaxWait.
func perSecond(units, rate float64) time.Duration {
	if units >= rate*MaxWait.Seconds() {
		return MaxWait
	}
	return time.Duration(units / rate * float64(time.Second))
}
