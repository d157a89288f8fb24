package reporter

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// shards is how many copies of the counters a minute has, so that requests on
// different cores rarely write to the same cache line. It is a power of two.
const shards = 8

// Columns that exist in every minute; named adapters follow.
const (
	columnServices = iota
	columnOthers
	columnsFixed
)

// minute holds the counters of one minute. Its layout never changes; only the
// counters do. Requests find it by one atomic load.
type minute struct {
	start   time.Time
	levels  []Level
	names   []string // of the named adapters
	columns map[string]int
	cells   [shards][]atomic.Uint64
}

func newMinute(start time.Time, levels []Level, names []string) *minute {
	m := &minute{start: start, levels: levels, names: names, columns: make(map[string]int, len(names))}
	for i, name := range names {
		m.columns[name] = columnsFixed + i
	}
	for i := range m.cells {
		m.cells[i] = make([]atomic.Uint64, len(levels)*m.width()*2)
	}
	return m
}

func (m *minute) width() int { return columnsFixed + len(m.names) }

// column returns the column of an adapter; "" stands for services.
func (m *minute) column(adapter string) int {
	if adapter == "" {
		return columnServices
	}
	if c, ok := m.columns[adapter]; ok {
		return c
	}
	return columnOthers
}

func (m *minute) subject(column int) Subject {
	switch column {
	case columnServices:
		return Services{}
	case columnOthers:
		return OtherAdapters{}
	default:
		return NewAdapter(m.names[column-columnsFixed])
	}
}

// verdict is what an event is for a level.
type verdict int

const (
	good verdict = iota
	bad
)

func (m *minute) cell(level, column int, v verdict) int {
	return (level*m.width()+column)*2 + int(v)
}

func (m *minute) add(level, column int, v verdict) {
	m.cells[rand.Uint32()%shards][m.cell(level, column, v)].Add(1)
}

func (m *minute) sum(level, column int, v verdict) uint64 {
	var n uint64
	for i := range m.cells {
		n += m.cells[i][m.cell(level, column, v)].Load()
	}
	return n
}

// samples returns the counters that are not zero.
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

// current reports whether the minute still fits the time and the bundle.
func (m *minute) current(start time.Time, levels []Level) bool {
	return m.start.Equal(start) && slices.Equal(m.levels, levels)
}

// series names the counts that belong together.
type series struct {
	level   Level
	subject Subject
}

// count is a number of events.
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
