package supplier

import (
	"slices"
	"sync"
	"time"
)

// span is a time that an engine spends on the prompt of one call.
type span struct{ start, end time.Time }

// calendar plans when an engine reads which prompt. While an engine reads prompts,
// the streams that it generates stand still, so that prompts that come all at once
// make the answers of all other calls pause.
type calendar struct {
	mu    sync.Mutex
	spans []span // in order, without overlaps
}

// reserve plans a prompt that takes cost at the first free time from earliest on,
// if that is not after latest. It returns when the prompt may be sent.
func (c *calendar) reserve(now, earliest, latest time.Time, cost time.Duration) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = slices.DeleteFunc(c.spans, func(s span) bool { return s.end.Before(now) })
	start, at := earliest, len(c.spans)
	for i, s := range c.spans {
		if !start.Add(cost).After(s.start) {
			at = i
			break
		}
		if s.end.After(start) {
			start = s.end
		}
	}
	if start.After(latest) {
		return start, false
	}
	c.spans = slices.Insert(c.spans, at, span{start: start, end: start.Add(cost)})
	return start, true
}
