package reporter

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// shards is the number of copies of the counters, so that requests on different
// cores rarely write to the same cache line. It is a power of two.
const shards = 8

// Columns that every minute has. The columns of named adapters follow them.
const (
	columnServices = iota
	columnOtherAdapters
	fixedColumns
)

// minute holds the counters of one minute. All fields but the counters are
// immutable. Requests access the current minute through an atomic pointer.
type minute struct {
	start   time.Time
	levels  []Level
	names   []string       // adapters that are counted by name
	columns map[string]int // by adapter name
	cells   [shards][]atomic.Uint64
}

func newMinute(start time.Time, levels []Level, names []string) *minute {
	m := &minute{start: start, levels: levels, names: names, columns: make(map[string]int, len(names))}
	for i, name := range names {
		m.columns[name] = fixedColumns + i
	}
	for i := range m.cells {
		m.cells[i] = make([]atomic.Uint64, len(levels)*m.width()*2)
	}
	return m
}

func (m *minute) width() int { return fixedColumns + len(m.names) }

// column returns the column of an adapter, or that of services if adapter is "".
func (m *minute) column(adapter string) int {
	if adapter == "" {
		return columnServices
	}
	if c, ok := m.columns[adapter]; ok {
		return c
	}
	return columnOtherAdapters
}

func (m *minute) subject(column int) Subject {
	switch column {
	case columnServices:
		return Services{}
	case columnOtherAdapters:
		return OtherAdapters{}
	default:
		return NewAdapter(m.names[column-fixedColumns])
	}
}

// outcome is the result of evaluating an event against a level.
type outcome int

const (
	good outcome = iota
	bad
)

// cellIndex returns the index of a counter in a shard.
func (m *minute) cellIndex(level, column int, o outcome) int {
	return (level*m.width()+column)*2 + int(o)
}

func (m *minute) add(level, column int, o outcome) {
	m.cells[rand.Uint32()%shards][m.cellIndex(level, column, o)].Add(1)
}

func (m *minute) sum(level, column int, o outcome) uint64 {
	var n uint64
	for i := range m.cells {
		n += m.cells[i][m.cellIndex(level, column, o)].Load()
	}
	return n
}

// samples returns the counts that are not zero.
func (m *minute) samples() []sample {
	var list []sample
	for l, level := range m.levels {
		for c := range m.width() {
			s := sample{
				series: series{level: level, subject: m.subject(c)},
				minute: m.start,
				count:  count{good: m.sum(l, c, good), bad: m.sum(l, c, bad)},
			}
			if s.total() > 0 {
				list = append(list, s)
			}
		}
	}
	return list
}

// matches reports whether the minute has the given start and levels.
func (m *minute) matches(start time.Time, levels []Level) bool {
	return m.start.Equal(start) && slices.Equal(m.levels, levels)
}

// series identifies a time series of counts.
type series struct {
	level   Level
	subject Subject
}

// count is a number of good and bad events.
type count struct {
	good uint64
	bad  uint64
}

func (c count) total() uint64 { return c.good + c.bad }

func (c *count) add(other count) {
	c.good += other.good
	c.bad += other.bad
}

func sum(counts []count) count {
	var all count
	for _, c := range counts {
		all.add(c)
	}
	return all
}

// sample is the count of a series in one minute.
type sample struct {
	series
	count
	minute time.Time
}
