package reporter

import (
	"fmt"
	"strings"
	"time"
)

// Window is a time span that ends with the report.
type Window struct {
	name   string
	length time.Duration
}

// The windows, from short to long.
var (
	FiveMinutes = Window{"5m", 5 * time.Minute}
	OneHour     = Window{"1h", time.Hour}
	SixHours    = Window{"6h", 6 * time.Hour}
	ThreeDays   = Window{"3d", 72 * time.Hour}
)

// Windows returns all windows, from short to long.
func Windows() []Window { return []Window{FiveMinutes, OneHour, SixHours, ThreeDays} }

// Name returns the window's name.
func (w Window) Name() string { return w.name }

// Length returns the window's length.
func (w Window) Length() time.Duration { return w.length }

// ParseWindow returns the window with a name.
func ParseWindow(name string) (Window, error) {
	var names []string
	for _, w := range Windows() {
		if w.name == name {
			return w, nil
		}
		names = append(names, w.name)
	}
	return Window{}, fmt.Errorf("window %q does not exist; there are %s", name, strings.Join(names, ", "))
}

// Rate is the counts and the burn rate of one window.
type Rate struct {
	window Window
	count  count
	budget float64 // number of bad events that the objective allows
}

// Window returns the window.
func (r Rate) Window() Window { return r.window }

// Good returns the number of good events.
func (r Rate) Good() uint64 { return r.count.good }

// Bad returns the number of bad events.
func (r Rate) Bad() uint64 { return r.count.bad }

// Total returns the number of all events.
func (r Rate) Total() uint64 { return r.count.total() }

// Burn returns the burn rate: the number of bad events divided by the number that
// the objective allows. A rate of 1 uses up the error budget exactly at the end
// of the budget period. Without events it is 0.
func (r Rate) Burn() float64 {
	if r.budget == 0 {
		return 0
	}
	return float64(r.count.bad) / r.budget
}

func (r *Rate) add(l Level, c count) {
	r.count.add(c)
	r.budget += float64(c.total()) * (1 - l.objective)
}

// Alarm is an alert rule that a line of a report meets: Urgent, Soon or Slow.
type Alarm interface {
	// String returns the name in reports.
	String() string
	// Long and Short return the two windows that must reach the limit.
	Long() Window
	Short() Window
	// Limit returns the burn rate that both windows must reach.
	Limit() float64
	alarm()
}

// The limits follow from a budget period of 30 days (720 hours): an alarm fires
// when a share of the whole budget is used within the long window. The short
// window must reach the limit as well, so that an alarm ends soon after its
// cause.
const (
	urgentLimit = 14.4 // 2% of the budget in 1 hour: 0.02 * 720 / 1
	soonLimit   = 6    // 5% of the budget in 6 hours: 0.05 * 720 / 6
	slowLimit   = 1    // 10% of the budget in 3 days: 0.10 * 720 / 72
)

// minBadEvents is the minimum number of bad events in the long window. It
// prevents alarms for a single failed request of an adapter with few requests.
const minBadEvents = 10

type (
	// Urgent requires an operator now.
	Urgent struct{}
	// Soon requires an operator within the shift.
	Soon struct{}
	// Slow requires an investigation within days.
	Slow struct{}
)

func (Urgent) String() string { return "urgent" }
func (Soon) String() string   { return "soon" }
func (Slow) String() string   { return "slow" }

func (Urgent) Long() Window { return OneHour }
func (Soon) Long() Window   { return SixHours }
func (Slow) Long() Window   { return ThreeDays }

func (Urgent) Short() Window { return FiveMinutes }
func (Soon) Short() Window   { return OneHour }
func (Slow) Short() Window   { return SixHours }

func (Urgent) Limit() float64 { return urgentLimit }
func (Soon) Limit() float64   { return soonLimit }
func (Slow) Limit() float64   { return slowLimit }

func (Urgent) alarm() {}
func (Soon) alarm()   {}
func (Slow) alarm()   {}

// mostUrgentAlarm returns the most urgent alarm that the rates meet, or nil.
func mostUrgentAlarm(rates []Rate) Alarm {
	for _, a := range []Alarm{Urgent{}, Soon{}, Slow{}} {
		long, ok := rateOf(rates, a.Long())
		short, shortOK := rateOf(rates, a.Short())
		if ok && shortOK && long.Bad() >= minBadEvents && long.Burn() >= a.Limit() && short.Burn() >= a.Limit() {
			return a
		}
	}
	return nil
}

func rateOf(rates []Rate, w Window) (Rate, bool) {
	for _, r := range rates {
		if r.window == w {
			return r, true
		}
	}
	return Rate{}, false
}
