package meter

import "github.com/uber-go/tally/v4"

// other stands for every label value that is not listed.
const other = "other"

// Counters are counters of one name that differ in one label. The values of the
// label are fixed when the counters are made.
type Counters struct {
	byValue map[string]tally.Counter
	rest    tally.Counter
}

// NewCounters returns one counter per value, and one for all other values.
func NewCounters(scope tally.Scope, name, label string, values ...string) *Counters {
	counter := func(value string) tally.Counter {
		return scope.Tagged(map[string]string{label: value}).Counter(name)
	}
	c := &Counters{byValue: make(map[string]tally.Counter, len(values)), rest: counter(other)}
	for _, v := range values {
		c.byValue[v] = counter(v)
	}
	return c
}

// Inc adds one to the counter of a value.
func (c *Counters) Inc(value string) { c.Add(value, 1) }

// Add adds n to the counter of a value.
func (c *Counters) Add(value string, n int64) {
	if counter, ok := c.byValue[value]; ok {
		counter.Inc(n)
		return
	}
	c.rest.Inc(n)
}
