package reporter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxSubjects bounds the adapters that a report lists for each level.
const maxSubjects = 10

// maxFaults bounds the unreadable objects that a report names.
const maxFaults = 20

// Line is the burn of one level in one scope.
type Line struct {
	level Level
	scope Scope
	rates []Rate
}

// Level returns the level.
func (l *Line) Level() Level { return l.level }

// Scope returns what the line covers.
func (l *Line) Scope() Scope { return l.scope }

// Rates returns the rates from the shortest to the longest window.
func (l *Line) Rates() []Rate { return l.rates }

// Alarm returns the most pressing alarm, or nil.
func (l *Line) Alarm() Alarm { return alarmOf(l.rates) }

// Point is the burn rate in a part of the covered time.
type Point struct {
	at   time.Time
	rate Rate
}

// At returns the start of the part.
func (p Point) At() time.Time { return p.at }

// Burn returns the burn rate.
func (p Point) Burn() float64 { return p.rate.Burn() }

// Trend is how the burn rate of a level developed in a scope.
type Trend struct {
	scope  Scope
	points []Point
}

// Scope returns what the course covers.
func (c *Trend) Scope() Scope { return c.scope }

// Points returns the burn rates in order of time, without gaps.
func (c *Trend) Points() []Point { return c.points }

// Report is the burn of all levels.
type Report struct {
	from    time.Time
	until   time.Time
	nodes   int
	objects int
	faults  []error
	failed  int
	lines   []*Line
	courses map[string][]*Trend
}

// From returns the start of the longest window.
func (r *Report) From() time.Time { return r.from }

// Until returns the end of all windows.
func (r *Report) Until() time.Time { return r.until }

// Nodes returns how many nodes the report has counts of.
func (r *Report) Nodes() int { return r.nodes }

// Objects returns how many objects were merged.
func (r *Report) Objects() int { return r.objects }

// Failed returns how many objects could not be read; their counts are missing.
func (r *Report) Failed() int { return r.failed }

// Faults returns the first of the objects that could not be read.
func (r *Report) Faults() []error { return r.faults }

// Lines returns the lines by level, from wide scopes to narrow ones.
func (r *Report) Lines() []*Line { return r.lines }

// Trends returns the development of a level by name, first everywhere and then
// by region.
func (r *Report) Trends(level string) []*Trend { return r.courses[level] }

// place is where counts of a report go.
type place struct {
	level string
	scope Scope
}

// history sums samples up. It holds a bounded number of sums and no samples, so
// that a report over all nodes fits in memory.
type history struct {
	from    time.Time
	until   time.Time
	windows []Window
	step    time.Duration

	mu      sync.Mutex // guards what follows; objects are read by several goroutines
	nodes   map[string]bool
	objects int
	faults  []error
	failed  int
	levels  map[string]newestLevel
	rates   map[place][]Rate
	steps   map[place][]Rate
}

// newestLevel is a level as it stood last.
type newestLevel struct {
	Level
	at time.Time
}

// before orders states of a level, also those of the same time, so that the order
// in which objects are read does not show.
func (l newestLevel) before(other newestLevel) bool {
	return cmp.Or(l.at.Compare(other.at), compareLevels(l.Level, other.Level)) < 0
}

// coursePoints is how many parts a course has.
const coursePoints = 72

func newHistory(until time.Time, longest Window) *history {
	h := &history{
		from:   until.Add(-longest.length),
		until:  until,
		step:   max((longest.length / coursePoints).Truncate(time.Minute), time.Minute),
		nodes:  make(map[string]bool),
		levels: make(map[string]newestLevel),
		rates:  make(map[place][]Rate),
		steps:  make(map[place][]Rate),
	}
	for _, w := range Windows() {
		if w.length <= longest.length {
			h.windows = append(h.windows, w)
		}
	}
	return h
}

// take adds what was read of an object.
func (h *history) take(k objectKey, o object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.err != nil {
		h.failed++
		if len(h.faults) < maxFaults {
			h.faults = append(h.faults, o.err)
		}
		return
	}
	h.objects++
	h.nodes[k.node] = true
	for _, b := range o.blocks {
		h.add(o.region, b)
	}
}

// add sums a block up before it looks for the places of the sums, because a
// report of three days over 560 nodes has about a hundred million counts.
func (h *history) add(region string, b block) {
	first := int(b.start.Sub(h.from) / time.Minute)
	begin, end := max(-first, 0), min(len(b.counts), h.minutes(h.until.Sub(h.from))-first)
	if begin >= end || sum(b.counts[begin:end]).total() == 0 {
		return
	}
	name := b.level.name
	if last, ok := h.levels[name]; !ok || last.before(newestLevel{Level: b.level, at: b.start}) {
		h.levels[name] = newestLevel{Level: b.level, at: b.start}
	}
	wide := []place{{name, Everywhere{}}, {name, InRegion{region}}}
	h.addRates(append(wide[:2:2], place{name, OfSubject{b.subject}}), b, first, begin, end)
	h.addSteps(wide, b, first, begin, end)
}

// minutes returns a time span in minutes.
func (h *history) minutes(d time.Duration) int { return int(d / time.Minute) }

// addRates adds the minutes of a block from begin to end to the windows. The
// block starts first minutes after the longest window.
func (h *history) addRates(places []place, b block, first, begin, end int) {
	total := h.minutes(h.until.Sub(h.from))
	for i, w := range h.windows {
		events := sum(b.counts[min(max(total-h.minutes(w.length)-first, begin), end):end])
		for _, p := range places {
			rates := h.rates[p]
			if rates == nil {
				rates = newRates(h.windows)
				h.rates[p] = rates
			}
			rates[i].add(b.level, events)
		}
	}
}

// addSteps does the same for the parts of the courses.
func (h *history) addSteps(places []place, b block, first, begin, end int) {
	step := h.minutes(h.step)
	for begin < end {
		i := (first + begin) / step
		next := min((i+1)*step-first, end)
		events := sum(b.counts[begin:next])
		for _, p := range places {
			steps := h.steps[p]
			if steps == nil {
				steps = make([]Rate, h.until.Sub(h.from)/h.step)
				h.steps[p] = steps
			}
			steps[i].add(b.level, events)
		}
		begin = next
	}
}

func newRates(windows []Window) []Rate {
	rates := make([]Rate, len(windows))
	for i, w := range windows {
		rates[i].window = w
	}
	return rates
}

func (h *history) report() *Report {
	r := &Report{
		from:    h.from,
		until:   h.until,
		nodes:   len(h.nodes),
		objects: h.objects,
		faults:  h.faults,
		failed:  h.failed,
		courses: make(map[string][]*Trend),
	}
	byLevel := make(map[string][]*Line)
	for p, rates := range h.rates {
		byLevel[p.level] = append(byLevel[p.level], &Line{level: h.levels[p.level].Level, scope: p.scope, rates: rates})
	}
	for p, steps := range h.steps {
		r.courses[p.level] = append(r.courses[p.level], h.course(p.scope, steps))
	}
	for _, name := range slices.Sorted(maps.Keys(byLevel)) {
		r.lines = append(r.lines, worst(byLevel[name])...)
		slices.SortFunc(r.courses[name], func(a, b *Trend) int { return compareScopes(a.scope, b.scope) })
	}
	return r
}

// worst keeps the wide scopes and the subjects with the most bad events in the
// longest window.
func worst(lines []*Line) []*Line {
	slices.SortFunc(lines, func(a, b *Line) int {
		return cmp.Or(
			cmp.Compare(rank(a.scope), rank(b.scope)),
			cmp.Compare(a.narrowBad(), b.narrowBad()),
			compareScopes(a.scope, b.scope),
		)
	})
	wide := slices.IndexFunc(lines, func(l *Line) bool { return l.narrow() })
	if wide < 0 {
		return lines
	}
	return lines[:min(wide+maxSubjects, len(lines))]
}

func (l *Line) narrow() bool {
	_, ok := l.scope.(OfSubject)
	return ok
}

// narrowBad orders narrow scopes by falling number of bad events, and leaves the
// others to their names.
func (l *Line) narrowBad() int64 {
	if !l.narrow() {
		return 0
	}
	return -int64(l.rates[len(l.rates)-1].Bad())
}

func (h *history) course(s Scope, steps []Rate) *Trend {
	c := &Trend{scope: s, points: make([]Point, len(steps))}
	for i, rate := range steps {
		c.points[i] = Point{at: h.from.Add(time.Duration(i) * h.step), rate: rate}
	}
	return c
}
