package reporter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxSubjects bounds the subjects that a report lists for each level.
const maxSubjects = 10

// maxFaults bounds the errors of unreadable objects that a report lists.
const maxFaults = 20

// Line is the burn rates of one level in one scope.
type Line struct {
	level Level
	scope Scope
	rates []Rate
}

// Level returns the service level.
func (l *Line) Level() Level { return l.level }

// Scope returns the events that the line covers.
func (l *Line) Scope() Scope { return l.scope }

// Rates returns the rates from the shortest to the longest window.
func (l *Line) Rates() []Rate { return l.rates }

// Alarm returns the most urgent alarm, or nil.
func (l *Line) Alarm() Alarm { return mostUrgentAlarm(l.rates) }

// Point is the burn rate in one step of a trend.
type Point struct {
	at   time.Time
	rate Rate
}

// At returns the start of the step.
func (p Point) At() time.Time { return p.at }

// Burn returns the burn rate.
func (p Point) Burn() float64 { return p.rate.Burn() }

// Trend is the burn rate of a level in a scope over time.
type Trend struct {
	scope  Scope
	points []Point
}

// Scope returns the events that the trend covers.
func (t *Trend) Scope() Scope { return t.scope }

// Points returns the points in order of time, without gaps.
func (t *Trend) Points() []Point { return t.points }

// Report is the burn rates of all levels.
type Report struct {
	from    time.Time
	until   time.Time
	nodes   int
	objects int
	faults  []error
	failed  int
	lines   []*Line
	trends  map[string][]*Trend
}

// From returns the start of the longest window.
func (r *Report) From() time.Time { return r.from }

// Until returns the end of all windows.
func (r *Report) Until() time.Time { return r.until }

// Nodes returns the number of nodes whose counts the report includes.
func (r *Report) Nodes() int { return r.nodes }

// Objects returns the number of objects that were merged.
func (r *Report) Objects() int { return r.objects }

// Failed returns the number of objects that could not be read. Their counts are
// missing from the report.
func (r *Report) Failed() int { return r.failed }

// Faults returns the errors of the first maxFaults objects that could not be
// read.
func (r *Report) Faults() []error { return r.faults }

// Lines returns the lines ordered by level, and from wide to narrow scopes.
func (r *Report) Lines() []*Line { return r.lines }

// Trends returns the trends of the level with the given name: first everywhere,
// then by region.
func (r *Report) Trends(level string) []*Trend { return r.trends[level] }

// lineKey identifies the line or trend that counts are added to.
type lineKey struct {
	level string
	scope Scope
}

// aggregator adds up the counts of objects. It keeps a bounded number of sums and
// no individual counts, so that a report on all nodes fits in memory.
type aggregator struct {
	from      time.Time
	until     time.Time
	windows   []Window
	trendStep time.Duration

	mu         sync.Mutex // guards the fields below; objects are read by several goroutines
	nodes      map[string]bool
	objects    int
	faults     []error
	failed     int
	levels     map[string]newestLevel
	rates      map[lineKey][]Rate
	trendRates map[lineKey][]Rate
}

// newestLevel is the newest definition of a level and the time of its counts.
type newestLevel struct {
	Level
	at time.Time
}

// before orders definitions of a level, also those of the same time, so that the
// report does not depend on the order in which objects are read.
func (l newestLevel) before(other newestLevel) bool {
	return cmp.Or(l.at.Compare(other.at), compareLevels(l.Level, other.Level)) < 0
}

// trendPoints is the number of points of a trend, unless a step would be shorter
// than a minute.
const trendPoints = 72

func newAggregator(until time.Time, longest Window) *aggregator {
	agg := &aggregator{
		from:       until.Add(-longest.length),
		until:      until,
		trendStep:  max((longest.length / trendPoints).Truncate(time.Minute), time.Minute),
		nodes:      make(map[string]bool),
		levels:     make(map[string]newestLevel),
		rates:      make(map[lineKey][]Rate),
		trendRates: make(map[lineKey][]Rate),
	}
	for _, w := range Windows() {
		if w.length <= longest.length {
			agg.windows = append(agg.windows, w)
		}
	}
	return agg
}

// addObject adds the counts of an object, or the error of reading it.
func (agg *aggregator) addObject(k objectKey, o readResult) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	if o.err != nil {
		agg.failed++
		if len(agg.faults) < maxFaults {
			agg.faults = append(agg.faults, o.err)
		}
		return
	}
	agg.objects++
	agg.nodes[k.node] = true
	for _, b := range o.blocks {
		agg.addBlock(o.region, b)
	}
}

// addBlock adds a block to the lines and trends that it belongs to. It adds up
// the counts of the block before it looks up the sums in the maps, because a
// report of three days on 560 nodes has about a hundred million counts.
func (agg *aggregator) addBlock(region string, b block) {
	first := int(b.start.Sub(agg.from) / time.Minute)
	begin, end := max(-first, 0), min(len(b.counts), agg.minutes(agg.until.Sub(agg.from))-first)
	if begin >= end || sum(b.counts[begin:end]).total() == 0 {
		return
	}
	name := b.level.name
	if last, ok := agg.levels[name]; !ok || last.before(newestLevel{Level: b.level, at: b.start}) {
		agg.levels[name] = newestLevel{Level: b.level, at: b.start}
	}
	wide := []lineKey{{name, Everywhere{}}, {name, InRegion{region}}}
	agg.addRates(append(wide[:2:2], lineKey{name, OfSubject{b.subject}}), b, first, begin, end)
	agg.addTrendRates(wide, b, first, begin, end)
}

// minutes converts a duration to whole minutes.
func (agg *aggregator) minutes(d time.Duration) int { return int(d / time.Minute) }

// addRates adds the counts of a block with indexes from begin to end to the
// windows. The block starts first minutes after the start of the longest window.
func (agg *aggregator) addRates(keys []lineKey, b block, first, begin, end int) {
	total := agg.minutes(agg.until.Sub(agg.from))
	for i, w := range agg.windows {
		events := sum(b.counts[min(max(total-agg.minutes(w.length)-first, begin), end):end])
		for _, k := range keys {
			rates := agg.rates[k]
			if rates == nil {
				rates = newRates(agg.windows)
				agg.rates[k] = rates
			}
			rates[i].add(b.level, events)
		}
	}
}

// addTrendRates adds the same counts to the steps of the trends.
func (agg *aggregator) addTrendRates(keys []lineKey, b block, first, begin, end int) {
	step := agg.minutes(agg.trendStep)
	for begin < end {
		i := (first + begin) / step
		next := min((i+1)*step-first, end)
		events := sum(b.counts[begin:next])
		for _, k := range keys {
			steps := agg.trendRates[k]
			if steps == nil {
				steps = make([]Rate, agg.until.Sub(agg.from)/agg.trendStep)
				agg.trendRates[k] = steps
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

func (agg *aggregator) report() *Report {
	r := &Report{
		from:    agg.from,
		until:   agg.until,
		nodes:   len(agg.nodes),
		objects: agg.objects,
		faults:  agg.faults,
		failed:  agg.failed,
		trends:  make(map[string][]*Trend),
	}
	byLevel := make(map[string][]*Line)
	for k, rates := range agg.rates {
		byLevel[k.level] = append(byLevel[k.level], &Line{level: agg.levels[k.level].Level, scope: k.scope, rates: rates})
	}
	for k, steps := range agg.trendRates {
		r.trends[k.level] = append(r.trends[k.level], agg.newTrend(k.scope, steps))
	}
	for _, name := range slices.Sorted(maps.Keys(byLevel)) {
		r.lines = append(r.lines, topLines(byLevel[name])...)
		slices.SortFunc(r.trends[name], func(a, b *Trend) int { return compareScopes(a.scope, b.scope) })
	}
	return r
}

// topLines returns the lines that cover everything or a region, and the lines of
// the subjects with the most bad events in the longest window.
func topLines(lines []*Line) []*Line {
	slices.SortFunc(lines, func(a, b *Line) int {
		return cmp.Or(
			cmp.Compare(rank(a.scope), rank(b.scope)),
			cmp.Compare(a.subjectOrder(), b.subjectOrder()),
			compareScopes(a.scope, b.scope),
		)
	})
	firstSubject := slices.IndexFunc(lines, func(l *Line) bool { return l.coversSubject() })
	if firstSubject < 0 {
		return lines
	}
	return lines[:min(firstSubject+maxSubjects, len(lines))]
}

func (l *Line) coversSubject() bool {
	_, ok := l.scope.(OfSubject)
	return ok
}

// subjectOrder returns a sort key that orders subjects by descending number of
// bad events. It is 0 for other scopes, which are ordered by name.
func (l *Line) subjectOrder() int64 {
	if !l.coversSubject() {
		return 0
	}
	return -int64(l.rates[len(l.rates)-1].Bad())
}

func (agg *aggregator) newTrend(s Scope, steps []Rate) *Trend {
	t := &Trend{scope: s, points: make([]Point, len(steps))}
	for i, rate := range steps {
		t.points[i] = Point{at: agg.from.Add(time.Duration(i) * agg.trendStep), rate: rate}
	}
	return t
}
