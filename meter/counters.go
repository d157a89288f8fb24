package meter

import "github.com/uber-go/tally/v4"

// other is the label value that replaces all values that are not listed.
const other = "other"

// Counters is a set of counters with the same name and different values of one
// label. The label values are fixed on creation, which bounds the number of time
// series.
type Counters struct {
	byValue map[string]tally.Counter
	other   tally.Counter
}

// NewCounters returns one counter per label value, and one for all other values.
func NewCounters(scope tally.Scope, name, label string, values ...string) *Counters {
	counter := func(value string) tally.Counter {
		return scope.Tagged(map[string]string{label: value}).Counter(name)
	}
	c := &Counters{byValue: make(map[string]tally.Counter, len(values)), other: counter(other)}
	for _, v := range values {
		c.byValue[v] = counter(v)
	}
	return c
}

// Inc adds one to the counter of a label value.
func (c *Counters) Inc(value string) { c.Add(value, 1) }

// Add adds n to the counter of a label value.
func (c *Counters) Add(value string, n int64) {
	if counter, ok := c.byValue[value]; ok {
		counter.Inc(n)
		return
	}
	c.other.Inc(n)
}
