package admitter

import (
	"container/heap"
	"container/list"
	"time"
)

// priorityStep is how much earlier a request counts as arrived per step of
// priority. A request is thus overtaken only by requests that arrive within the
// steps between them, so that low priorities do not starve.
const priorityStep = time.Second

// waiter is one request that waits for its turn.
type waiter struct {
	caller   string
	rank     time.Time
	sequence uint64 // orders equal ranks
	index    int    // position in the caller's heap, or notQueued
	granted  chan struct{}
}

const notQueued = -1

func newWaiter(caller string, priority int, now time.Time) *waiter {
	return &waiter{
		caller:  caller,
		rank:    now.Add(-time.Duration(priority) * priorityStep),
		index:   notQueued,
		granted: make(chan struct{}),
	}
}

// waiters is a heap of one caller's requests, earliest rank first.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	if h[i].rank.Equal(h[j].rank) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].rank.Before(h[j].rank)
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = notQueued
	return w
}

// line is the queue of one caller.
type line struct {
	waiters waiters
	turn    *list.Element
}

// queue serves the callers in turn, one request each. All operations take time
// logarithmic in the number of requests of one caller.
type queue struct {
	capacity int
	waiting  int
	pushed   uint64
	lines    map[string]*line
	turns    *list.List // of caller names
}

func newQueue(capacity int) queue {
	return queue{capacity: capacity, lines: make(map[string]*line), turns: list.New()}
}

// hasRoom reports whether a caller may add a request: it may hold as many places
// as are free. One caller alone thus gets half of the queue, and there is always
// a place for a caller that has none.
func (q *queue) hasRoom(caller string) bool {
	held := 0
	if l, ok := q.lines[caller]; ok {
		held = len(l.waiters)
	}
	return held < q.capacity-q.waiting
}

// ahead returns an upper bound of how many waiting requests get a place before w.
func (q *queue) ahead(w *waiter) int {
	rounds := 0
	if l, ok := q.lines[w.caller]; ok && !w.rank.Before(l.waiters[0].rank) {
		rounds = len(l.waiters)
	}
	return min(q.waiting, (rounds+1)*len(q.lines))
}

func (q *queue) push(w *waiter) {
	l, ok := q.lines[w.caller]
	if !ok {
		l = &line{turn: q.turns.PushBack(w.caller)}
		q.lines[w.caller] = l
	}
	q.pushed++
	w.sequence = q.pushed
	heap.Push(&l.waiters, w)
	q.waiting++
}

// pop removes the request whose turn it is. The queue must not be empty.
func (q *queue) pop() *waiter {
	caller := q.turns.Front().Value.(string)
	l := q.lines[caller]
	w := heap.Pop(&l.waiters).(*waiter)
	q.turns.MoveToBack(l.turn)
	q.shrink(caller, l)
	return w
}

// remove takes a waiter out of the queue. It reports false if the waiter has had
// its turn.
func (q *queue) remove(w *waiter) bool {
	if w.index == notQueued {
		return false
	}
	l := q.lines[w.caller]
	heap.Remove(&l.waiters, w.index)
	q.shrink(w.caller, l)
	return true
}

// shrink counts one request less and forgets a caller without requests.
func (q *queue) shrink(caller string, l *line) {
	q.waiting--
	if len(l.waiters) > 0 {
		return
	}
	q.turns.Remove(l.turn)
	delete(q.lines, caller)
}
